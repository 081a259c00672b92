/** Creates and removes the cells that this VM owns as membership and tables change. */
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

const TICK_INTERVAL_MS = 200;
/** After a longer pause of the event loop, another VM may have become the owner. */
export const MAX_CLOCK_GAP_MS = 1_000;

export interface CellHostOptions {
  readonly self: VmId;
  readonly topology: Topology;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly telemetry: Telemetry;
  readonly metrics: SchedulerMetrics;
  readonly calls: PeerCalls;
  readonly findLeaseEpoch: (cell: CellId) => number | undefined;
  readonly hasColdShare: (cell: CellId) => boolean;
  readonly findCachedTokens: (upstream: UpstreamId, prefixHashes: readonly number[]) => number;
  /** Receives the prefix hashes of each prompt that is granted a prefill on an engine. */
  readonly onPrefill: (upstream: UpstreamId, prefixHashes: readonly number[]) => void;
  readonly onAbandoned: (grant: Grant) => void;
}

/** An owned cell with the state of its collection. */
export interface HostedCell {
  readonly cell: Cell;
  ready: boolean;
  /** Highest epoch seen by this VM and by the nodes that answered `cell.collect`. */
  epoch: number;
  /** Number of the latest collection; a superseded collection must not make the cell ready. */
  collectionId: number;
}

export interface CellHost {
  hosted(): readonly HostedCell[];
  find(cell: CellId): HostedCell | undefined;
  start(): void;
  /** Gives up all cells; no cell is owned from then on. */
  leave(): void;
  stop(): void;
}

/** Creates the host. Handlers are registered at once; cells are created after `start`. */
export function createCellHost(options: CellHostOptions): CellHost {
  const { self, topology, membership, configuration, telemetry, metrics } = options;
  const hosted = new Map<CellId, HostedCell>();
  const unsubscribe: (() => void)[] = [];
  // After a restart, grant ids must differ from those that nodes still have to release.
  const grantIdPrefix = `${self}-${Math.floor(Date.now()).toString(36)}`;
  let grantCounter = 1;
  let running = false;
  let lastTick = monotonicMs();
  let ticker: NodeJS.Timeout | undefined;

  const collector = createCollector({
    ...options,
    isHosted: (h) => hosted.get(h.cell.plan().id) === h,
  });

  const audit = createAudit(options.calls);

  const collectAfterGap = (now: number): void => {
    telemetry.log('clockGapDetected', { gapMs: Math.round(now - lastTick) });
    lastTick = now;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    sync();
    for (const entry of hosted.values()) void collector.collect(entry, true);
  };

  const checkClockGap = (): boolean => {
    const now = monotonicMs();
    if (now - lastTick <= MAX_CLOCK_GAP_MS) return true;
    collectAfterGap(now);
    return false;
  };

  const hostCell = (plan: CellPlan): void => {
    // The functions passed to the cell use its entry, which can be set only once the cell exists.
    const ref: { current: HostedCell | undefined } = { current: undefined };
    const cell = createCell(plan, {
      self,
      telemetry,
      metrics,
      rights: () => ({
        holdsLease: options.findLeaseEpoch(plan.id) !== undefined,
        hasColdShare: options.hasColdShare(plan.id),
      }),
      epoch: () => {
        const entry = ref.current;
        if (entry === undefined) return 0;
        // An owner without its lease continues to issue grants, so its epoch must not decrease.
        entry.epoch = Math.max(entry.epoch, options.findLeaseEpoch(plan.id) ?? 0);
        return entry.epoch;
      },
      isOutOfService: topology.isOutOfService,
      mayGrant: () => running && ref.current?.ready === true && checkClockGap(),
      nextGrantId: () => {
        grantCounter += 1;
        return grantId(`${grantIdPrefix}-${grantCounter}`);
      },
      findCachedTokens: options.findCachedTokens,
      onPrefill: options.onPrefill,
      onAbandoned: options.onAbandoned,
    });
    const entry: HostedCell = { cell, ready: false, epoch: 0, collectionId: 0 };
    ref.current = entry;
    hosted.set(plan.id, entry);
    cell.update(plan);
    void collector.collect(entry, false);
  };

  const removeCell = (entry: HostedCell): void => {
    const { id } = entry.cell.plan();
    hosted.delete(id);
    entry.ready = false;
    entry.cell.close();
    metrics.queued.remove({ cell: id });
    metrics.coldUpstreams.remove({ cell: id });
    telemetry.log('cellGivenUp', { cell: id });
  };

  const listOwnedPlans = (): readonly CellPlan[] => {
    if (!running) return [];
    return topology
      .cellsIn(membership.self.dataCentre)
      .filter((plan) => topology.findOwner(plan) === self);
  };

  function sync(): void {
    const ownedPlans = new Map(listOwnedPlans().map((plan) => [plan.id, plan]));
    for (const entry of [...hosted.values()]) {
      if (!ownedPlans.has(entry.cell.plan().id)) removeCell(entry);
    }
    for (const plan of ownedPlans.values()) {
      const entry = hosted.get(plan.id);
      if (entry === undefined) hostCell(plan);
      else if (entry.cell.update(plan)) void collector.collect(entry, false);
      else entry.cell.dispatch();
    }
  }

  const find = (cell: CellId): HostedCell | undefined => {
    const known = hosted.get(cell);
    if (known !== undefined || !running) return known;
    // The requesting node may have seen a change of membership before this VM.
    const plan = topology.find(cell);
    if (plan !== undefined && plan.dataCentre === membership.self.dataCentre) {
      if (topology.findOwner(plan) === self) sync();
    }
    return hosted.get(cell);
  };

  const tick = (): void => {
    if (!checkClockGap()) return;
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
      ticker = setInterval(tick, TICK_INTERVAL_MS);
      unsubscribe.push(
        configuration.onChange(() => sync()),
        membership.onChange((member) => {
          for (const { cell } of hosted.values()) {
            if (member.state === 'dead') cell.handleHolderDeath(member.vm);
          }
          if (member.state === 'live') collector.collectAbandoned([...hosted.values()], member.vm);
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
