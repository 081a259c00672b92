/** Takeover of a cell: collects live grants and slow-start levels from the nodes. */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry, UpstreamId, VmId } from '@hibiscusbank/core';
import type { Membership } from '@hibiscusbank/peers';
import type { HostedCell } from './cell-host.js';
import type { CollectParams, CollectReply } from './messages.js';
import type { SchedulerMetrics } from './metrics.js';
import type { PeerCalls } from './peer-calls.js';

export const COLLECT_LIMIT_MS = 1_000;
/** Rounds in which the peers may still name another owner after a clock gap. */
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
  /** Asks all VMs of the data centre; the cell grants nothing until then, for at most 1 s. */
  collect(hosted: HostedCell, afterGap: boolean): Promise<void>;
  /** Asks a VM that was thought dead for the grants that it still has. */
  reclaim(hosted: readonly HostedCell[], vm: VmId): void;
}

interface Round {
  readonly answers: CollectReply[];
  readonly warmth: Map<UpstreamId, { level: number; ageMs: number }>;
}

/** Creates the collector of one host. */
export function createCollector(options: CollectorOptions): Collector {
  const { self, membership, telemetry, metrics, calls } = options;

  /** Leaving VMs still have grants, and a suspect one may be live. */
  const listHolders = (): VmId[] => {
    const { dataCentre } = membership.self;
    const others = membership
      .members()
      .filter((m) => m.dataCentre === dataCentre && m.state !== 'dead' && m.vm !== self);
    return [self, ...others.map((m) => m.vm)];
  };

  const ask = async (hosted: HostedCell, vm: VmId, round: Round): Promise<void> => {
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
    // An answer after the time limit still counts: its grants occupy the upstreams.
    cell.fileCollected(reply.grants, vm);
    hosted.epoch = Math.max(hosted.epoch, reply.epoch);
    round.answers.push(reply);
    for (const { upstream, level, ageMs } of reply.warmth) {
      const known = round.warmth.get(upstream);
      if (known === undefined || ageMs < known.ageMs) round.warmth.set(upstream, { level, ageMs });
    }
  };

  const applyWarmth = ({ cell }: HostedCell, round: Round): void => {
    const now = monotonicMs();
    for (const state of cell.state.upstreams()) {
      const evidence = round.warmth.get(state.entry.id);
      if (state.collectedWarmth) continue;
      state.collectedWarmth = true;
      if (evidence !== undefined) state.slowStart.continueAt(evidence.level, now);
    }
  };

  /** Whether most of the peers that answered name another owner. */
  const isDisputed = (round: Round): boolean => {
    const others = round.answers.filter((a) => a.owner !== undefined && a.owner !== self);
    return others.length * 2 > round.answers.length;
  };

  const runRound = async (hosted: HostedCell): Promise<Round> => {
    const round: Round = { answers: [], warmth: new Map() };
    const timeout = new AbortController();
    const asked = Promise.all(listHolders().map((vm) => ask(hosted, vm, round)));
    await Promise.race([asked, sleep(COLLECT_LIMIT_MS, timeout.signal)]);
    timeout.abort();
    return round;
  };

  return {
    collect: async (hosted, afterGap) => {
      hosted.ready = false;
      hosted.collection += 1;
      const { collection } = hosted;
      const startedAt = monotonicMs();
      const isCurrent = (): boolean => options.isHosted(hosted) && hosted.collection === collection;
      let round = await runRound(hosted);
      for (let i = 0; afterGap && isCurrent() && isDisputed(round); i += 1) {
        if (i === MAX_DISPUTED_ROUNDS) break;
        await sleep(COLLECT_LIMIT_MS);
        round = await runRound(hosted);
      }
      if (!isCurrent()) return;
      applyWarmth(hosted, round);
      hosted.ready = true;
      metrics.takeovers.inc();
      telemetry.log('cellTakenOver', {
        cell: hosted.cell.plan().id,
        grants: hosted.cell.state.grantCount(),
        answers: round.answers.length,
        elapsedMs: Math.round(monotonicMs() - startedAt),
      });
      hosted.cell.dispatch();
    },
    reclaim: (cells, vm) => {
      for (const hosted of cells) {
        const records = [...hosted.cell.state.grants()];
        const isConcerned = records.some((r) => r.holder === vm && r.abandonedAt !== undefined);
        if (isConcerned) void ask(hosted, vm, { answers: [], warmth: new Map() });
      }
    },
  };
}
