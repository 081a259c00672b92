/** Collects the live grants and slow-start levels of a cell from the nodes at a takeover. */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry, UpstreamId, VmId } from '@hibiscusbank/core';
import type { Membership } from '@hibiscusbank/peers';
import type { HostedCell } from './cell-host.js';
import type { CollectParams, CollectReply } from './messages.js';
import type { SchedulerMetrics } from './metrics.js';
import type { PeerCalls } from './peer-calls.js';

export const COLLECT_LIMIT_MS = 1_000;
/** Maximum number of repeated rounds while most peers name another owner after a clock gap. */
const MAX_DISPUTED_ROUNDS = 3;

export interface CollectorOptions {
  readonly self: VmId;
  readonly membership: Membership;
  readonly telemetry: Telemetry;
  readonly metrics: SchedulerMetrics;
  readonly calls: PeerCalls;
  readonly isHosted: (hosted: HostedCell) => boolean;
}

export interface Collector {
  /**
   * Asks all VMs of the data centre for their grants. The cell issues no grants until all have
   * replied or `COLLECT_LIMIT_MS` has passed; a disputed ownership after a clock gap adds rounds.
   */
  collect(hosted: HostedCell, afterGap: boolean): Promise<void>;
  /** Asks a VM that is live again after it was marked dead for the grants that it still holds. */
  collectAbandoned(hosted: readonly HostedCell[], vm: VmId): void;
}

interface CollectionRound {
  readonly replies: CollectReply[];
  readonly levels: Map<UpstreamId, { level: number; ageMs: number }>;
}

/** Creates the collector of one host. */
export function createCollector(options: CollectorOptions): Collector {
  const { self, membership, telemetry, metrics, calls } = options;

  /** Returns all VMs that are not dead: leaving ones hold grants, and suspect ones may be live. */
  const listHolders = (): VmId[] => {
    const { dataCentre } = membership.self;
    const otherVms = membership
      .members()
      .filter((m) => m.dataCentre === dataCentre && m.state !== 'dead' && m.vm !== self);
    return [self, ...otherVms.map((m) => m.vm)];
  };

  const collectFrom = async (
    hosted: HostedCell,
    vm: VmId,
    round: CollectionRound,
  ): Promise<void> => {
    const { cell } = hosted;
    const plan = cell.plan();
    const params: CollectParams = {
      cell: plan.id,
      epoch: hosted.epoch,
      upstreams: plan.upstreams.map((u) => u.id),
    };
    const result = await calls.call<CollectReply>(vm, 'cell.collect', params, COLLECT_LIMIT_MS);
    if (result.isErr() || !options.isHosted(hosted)) return;
    const reply = result.value;
    // Grants in a reply after the time limit still count, because they use capacity.
    cell.recordCollected(reply.grants, vm);
    hosted.epoch = Math.max(hosted.epoch, reply.epoch);
    round.replies.push(reply);
    for (const { upstream, level, ageMs } of reply.warmth) {
      const known = round.levels.get(upstream);
      if (known === undefined || ageMs < known.ageMs) round.levels.set(upstream, { level, ageMs });
    }
  };

  const applySlowStartLevels = ({ cell }: HostedCell, round: CollectionRound): void => {
    const now = monotonicMs();
    for (const state of cell.state.upstreams()) {
      const collected = round.levels.get(state.entry.id);
      if (state.slowStartCollected) continue;
      state.slowStartCollected = true;
      if (collected !== undefined) state.slowStart.resumeAt(collected.level, now);
    }
  };

  /** Returns whether most of the replies name another owner. */
  const isOwnershipDisputed = (round: CollectionRound): boolean => {
    const otherOwners = round.replies.filter((r) => r.owner !== undefined && r.owner !== self);
    return otherOwners.length * 2 > round.replies.length;
  };

  const runRound = async (hosted: HostedCell): Promise<CollectionRound> => {
    const round: CollectionRound = { replies: [], levels: new Map() };
    const timeout = new AbortController();
    const allReplies = Promise.all(listHolders().map((vm) => collectFrom(hosted, vm, round)));
    await Promise.race([allReplies, sleep(COLLECT_LIMIT_MS, timeout.signal)]);
    timeout.abort();
    return round;
  };

  return {
    collect: async (hosted, afterGap) => {
      hosted.ready = false;
      hosted.collectionId += 1;
      const { collectionId } = hosted;
      const startedAt = monotonicMs();
      const isCurrent = (): boolean =>
        options.isHosted(hosted) && hosted.collectionId === collectionId;
      let round = await runRound(hosted);
      for (let i = 0; afterGap && isCurrent() && isOwnershipDisputed(round); i += 1) {
        if (i === MAX_DISPUTED_ROUNDS) break;
        await sleep(COLLECT_LIMIT_MS);
        round = await runRound(hosted);
      }
      if (!isCurrent()) return;
      applySlowStartLevels(hosted, round);
      hosted.ready = true;
      metrics.takeovers.inc();
      telemetry.log('cellTakenOver', {
        cell: hosted.cell.plan().id,
        grants: hosted.cell.state.grantCount(),
        answers: round.replies.length,
        elapsedMs: Math.round(monotonicMs() - startedAt),
      });
      hosted.cell.dispatch();
    },
    collectAbandoned: (cells, vm) => {
      for (const hosted of cells) {
        const records = [...hosted.cell.state.grants()];
        const hasAbandonedGrants = records.some(
          (r) => r.holder === vm && r.abandonedAt !== undefined,
        );
        if (hasAbandonedGrants) void collectFrom(hosted, vm, { replies: [], levels: new Map() });
      }
    },
  };
}
