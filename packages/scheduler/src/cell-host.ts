/** The cells that this VM owns: created, dropped and served as membership and tables change. */
import { grantId, monotonicMs } from '@hibiscusbank/core';
import type { CellId, Telemetry, UpstreamId, VmId } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { Membership } from '@hibiscusbank/peers';
import { createAudit } from './audit.js';
import { createCell } from './cell.js';
import type { Cell } from './cell.js';
import { registerCellHandlers } from './cell-handlers.js';
import { createCollector } from './collector.js';
import type { PeerCalls } from './peer-calls.js';
import type { SchedulerMetrics } from './metrics.js';
import type { CellPlan } from './partition.js';
import type { Topology } from './topology.js';
import type { Grant } from './types.js';

const TICK_MS = 200;
/** After a longer gap in the event loop another VM may have taken over. */
export const MAX_CLOCK_GAP_MS = 1_000;

export interface CellHostOptions {
  readonly self: VmId;
  readonly topology: Topology;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly telemetry: Telemetry;
  readonly metrics: SchedulerMetrics;
  readonly calls: PeerCalls;
  readonly holdsLease: (cell: CellId) => number | undefined;
  readonly coldShareWithoutLease: (cell: CellId) => boolean;
  readonly findCachedTokens: (upstream: UpstreamId, prefixHashes: readonly number[]) => number;
  /** Called with the prefixes of each prompt that an engine is about to prefill. */
  readonly onPrefill: (upstream: UpstreamId, prefixHashes: readonly number[]) => void;
  readonly onAbandoned: (grant: Grant) => void;
}

/** A cell with the state of its takeover. */
export interface HostedCell {
  readonly cell: Cell;
  ready: boolean;
  /** Highest epoch seen by this VM and by the nodes that answered `cell.collect`. */
  epoch: number;
  /** Counts collections, so that a superseded one does not end the wait of its successor. */
  collection: number;
}

export interface CellHost {
  hosted(): readonly HostedCell[];
  find(cell: CellId): HostedCell | undefined;
  start(): void;
  /** Hands all cells over; nothing is owned from then on. */
  leave(): void;
  stop(): void;
}

/** Creates the host; handlers are registered at once, cells appear after `start`. */
export function createCellHost(options: CellHostOptions): CellHost {
  const { self, topology, membership, configuration, telemetry, metrics } = options;
  const hosted = new Map<CellId, HostedCell>();
  const unsubscribe: (() => void)[] = [];
  // Grant ids of a restarted process must differ from those that its nodes still release.
  const prefix = `${self}-${Math.floor(Date.now()).toString(36)}`;
  let nextGrant = 1;
  let running = false;
  let lastTick = monotonicMs();
  let ticker: NodeJS.Timeout | undefined;

  const collector = createCollector({
    ...options,
    isHosted: (h) => hosted.get(h.cell.plan().id) === h,
  });

  const audit = createAudit(options.calls);

  const recheckAfterGap = (now: number): void => {
    telemetry.log('clockGapDetected', { gapMs: Math.round(now - lastTick) });
    lastTick = now;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    sync();
    for (const one of hosted.values()) void collector.collect(one, true);
  };

  const isClockSound = (): boolean => {
    const now = monotonicMs();
    if (now - lastTick <= MAX_CLOCK_GAP_MS) return true;
    recheckAfterGap(now);
    return false;
  };

  const hostCell = (plan: CellPlan): void => {
    // The cell's functions refer to its own entry, which is complete once the cell exists.
    const ref: { current: HostedCell | undefined } = { current: undefined };
    const cell = createCell(plan, {
      self,
      telemetry,
      metrics,
      rights: () => ({
        holdsLease: options.holdsLease(plan.id) !== undefined,
        hasColdShare: options.coldShareWithoutLease(plan.id),
      }),
      epoch: () => {
        const entry = ref.current;
        if (entry === undefined) return 0;
        // An owner that loses its lease goes on placing, so its epoch must not fall.
        entry.epoch = Math.max(entry.epoch, options.holdsLease(plan.id) ?? 0);
        return entry.epoch;
      },
      isOut: topology.isOut,
      mayGrant: () => running && ref.current?.ready === true && isClockSound(),
      nextGrantId: () => {
        nextGrant += 1;
        return grantId(`${prefix}-${nextGrant}`);
      },
      findCachedTokens: options.findCachedTokens,
      onPrefill: options.onPrefill,
      onAbandoned: options.onAbandoned,
    });
    const entry: HostedCell = { cell, ready: false, epoch: 0, collection: 0 };
    ref.current = entry;
    hosted.set(plan.id, entry);
    cell.update(plan);
    void collector.collect(entry, false);
  };

  const giveUp = (entry: HostedCell): void => {
    const { id } = entry.cell.plan();
    hosted.delete(id);
    entry.ready = false;
    entry.cell.giveUp();
    metrics.queued.remove({ cell: id });
    metrics.coldUpstreams.remove({ cell: id });
    telemetry.log('cellGivenUp', { cell: id });
  };

  const listOwn = (): readonly CellPlan[] => {
    if (!running) return [];
    return topology
      .cellsIn(membership.self.dataCentre)
      .filter((plan) => topology.findOwner(plan) === self);
  };

  function sync(): void {
    const wanted = new Map(listOwn().map((plan) => [plan.id, plan]));
    for (const entry of [...hosted.values()]) {
      if (!wanted.has(entry.cell.plan().id)) giveUp(entry);
    }
    for (const plan of wanted.values()) {
      const entry = hosted.get(plan.id);
      if (entry === undefined) hostCell(plan);
      else if (entry.cell.update(plan)) void collector.collect(entry, false);
      else entry.cell.dispatch();
    }
  }

  const find = (cell: CellId): HostedCell | undefined => {
    const known = hosted.get(cell);
    if (known !== undefined || !running) return known;
    // The asking node may have seen a change of membership first.
    const plan = topology.find(cell);
    if (plan !== undefined && plan.dataCentre === membership.self.dataCentre) {
      if (topology.findOwner(plan) === self) sync();
    }
    return hosted.get(cell);
  };

  const tick = (): void => {
    if (!isClockSound()) return;
    lastTick = monotonicMs();
    for (const { cell } of hosted.values()) {
      cell.expire();
      audit(cell);
      const { id } = cell.plan();
      const cold = cell.state.upstreams().filter((upstream) => upstream.slowStart.isCold());
      metrics.queued.set({ cell: id }, cell.waiting.queue.size());
      metrics.coldUpstreams.set({ cell: id }, cold.length);
    }
  };

  registerCellHandlers(options.calls, find);

  return {
    hosted: () => [...hosted.values()],
    find,
    start: () => {
      running = true;
      lastTick = monotonicMs();
      ticker = setInterval(tick, TICK_MS);
      unsubscribe.push(
        configuration.onChange(() => sync()),
        membership.onChange((member) => {
          for (const { cell } of hosted.values()) {
            if (member.state === 'dead') cell.abandonHolder(member.vm);
          }
          if (member.state === 'live') collector.reclaim([...hosted.values()], member.vm);
          sync();
        }),
      );
      sync();
    },
    leave: () => {
      running = false;
      sync();
    },
    stop: () => {
      running = false;
      clearInterval(ticker);
      for (const remove of unsubscribe) remove();
      sync();
    },
  };
}
