/** Describes cells to operators: owners, upstreams, queues, and why an upstream is not used. */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId } from '@hibiscusbank/core';
import type { CellChoice } from './cell-choice.js';
import type { CellHost, HostedCell } from './cell-host.js';
import { canPrefill } from './partition.js';
import type { CellPlan } from './partition.js';
import type { Topology } from './topology.js';
import { findObstacle, slotLimit } from './upstream-state.js';
import type { ColdRights, UpstreamState } from './upstream-state.js';

export interface ExplainContext {
  readonly topology: Topology;
  readonly host: CellHost;
  readonly choice: CellChoice;
}

function explainUpstream(state: UpstreamState, rights: ColdRights): string {
  const now = monotonicMs();
  const { entry, slots, blocks, prefills } = state;
  const parts = [`  upstream ${entry.id} ${entry.role}`];
  if (entry.role !== 'prefill') parts.push(`slots ${slots}/${slotLimit(state, rights)}`);
  if (entry.memoryBlocks > 0) parts.push(`blocks ${blocks}/${entry.memoryBlocks}`);
  if (canPrefill(entry)) {
    parts.push(`prefill backlog ${Math.round(prefills.remainingMs(now))} ms`);
  }
  const full = entry.role !== 'prefill' && slots >= slotLimit(state, rights);
  const obstacle = findObstacle(state, rights, now) ?? (full ? 'no free slot' : undefined);
  parts.push(obstacle === undefined ? 'usable' : `not used: ${obstacle}`);
  return parts.join(', ');
}

function explainHosted({ cell, ready }: HostedCell): string[] {
  const lines = ready ? [] : ['  collecting grants after a takeover; nothing is granted yet'];
  for (const [organisation, length] of cell.waiting.queue.lengths()) {
    lines.push(`  queue ${organisation === '' ? '(open routes)' : organisation}: ${length}`);
  }
  const rights = cell.rights();
  return [...lines, ...cell.state.upstreams().map((state) => explainUpstream(state, rights))];
}

function explainRemote(plan: CellPlan, { topology, choice }: ExplainContext): string[] {
  const summary = choice.summary(plan.id);
  const known =
    summary === undefined
      ? []
      : [`  last known: ${summary.freeSlots}/${summary.slots} free, ${summary.queued} queued`];
  const out = plan.upstreams
    .filter((u) => topology.isOut(u))
    .map((u) => `  upstream ${u.id} ${u.role}, not used: out of service`);
  return [...known, ...out];
}

/** The lines of `explain` for one pool. */
export function explainPool(pool: PoolId, context: ExplainContext): string[] {
  return context.topology.cells(pool).flatMap((plan) => {
    const owner = context.topology.findOwner(plan);
    const capacity = context.topology.capacity(plan);
    const head = `cell ${plan.id}: owner ${owner ?? 'none, no VM is live'}, capacity ${capacity}`;
    const hosted = context.host.hosted().find(({ cell }) => cell.plan().id === plan.id);
    return [head, ...(hosted === undefined ? explainRemote(plan, context) : explainHosted(hosted))];
  });
}
