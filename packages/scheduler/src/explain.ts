/** Describes cells for operators: owners, upstreams, queues, and why an upstream is not used. */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId } from '@hibiscusbank/core';
import type { CellChoice } from './cell-choice.js';
import type { CellHost, HostedCell } from './cell-host.js';
import { canPrefill } from './partition.js';
import type { CellPlan } from './partition.js';
import type { Topology } from './topology.js';
import { findUnusableReason, slotLimit } from './upstream-state.js';
import type { ColdStartRights, UpstreamState } from './upstream-state.js';

export interface ExplainContext {
  readonly topology: Topology;
  readonly host: CellHost;
  readonly choice: CellChoice;
}

function explainUpstream(state: UpstreamState, rights: ColdStartRights): string {
  const now = monotonicMs();
  const { entry, usedSlots, usedBlocks, prefills } = state;
  const parts = [`  upstream ${entry.id} ${entry.role}`];
  if (entry.role !== 'prefill') parts.push(`slots ${usedSlots}/${slotLimit(state, rights)}`);
  if (entry.memoryBlocks > 0) parts.push(`blocks ${usedBlocks}/${entry.memoryBlocks}`);
  if (canPrefill(entry)) {
    parts.push(`prefill backlog ${Math.round(prefills.remainingMs(now))} ms`);
  }
  const full = entry.role !== 'prefill' && usedSlots >= slotLimit(state, rights);
  const reason = findUnusableReason(state, rights, now) ?? (full ? 'no free slot' : undefined);
  parts.push(reason === undefined ? 'usable' : `not used: ${reason}`);
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
  const summaryLines =
    summary === undefined
      ? []
      : [`  last known: ${summary.freeSlots}/${summary.slots} free, ${summary.queued} queued`];
  const outOfService = plan.upstreams
    .filter((u) => topology.isOutOfService(u))
    .map((u) => `  upstream ${u.id} ${u.role}, not used: out of service`);
  return [...summaryLines, ...outOfService];
}

/** Returns the lines of `explain` for one pool. */
export function explainPool(pool: PoolId, context: ExplainContext): string[] {
  return context.topology.cells(pool).flatMap((plan) => {
    const owner = context.topology.findOwner(plan);
    const capacity = context.topology.capacity(plan);
    const heading = `cell ${plan.id}: owner ${owner ?? 'none, no VM is live'}, capacity ${capacity}`;
    const hosted = context.host.hosted().find(({ cell }) => cell.plan().id === plan.id);
    return [
      heading,
      ...(hosted === undefined ? explainRemote(plan, context) : explainHosted(hosted)),
    ];
  });
}
