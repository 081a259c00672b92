/** Issues grants to the waiting requests of a cell, in the order of the fair queue. */
import { monotonicMs } from '@hibiscusbank/core';
import type { GrantId, Telemetry, UpstreamId, VmId } from '@hibiscusbank/core';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { AUDIT_INTERVAL_MS } from './audit.js';
import type { CellState, GrantRecord } from './cell-state.js';
import {
  chooseModel,
  countBlocks,
  findMostFreeMemory,
  MAX_PREFILL_BACKLOG_MS,
} from './choose-model.js';
import { choosePlain } from './choose-plain.js';
import type { PlacementFailure } from './choose-plain.js';
import type { Estimates } from './estimates.js';
import type { GrantAllocation, PlaceReply } from './messages.js';
import type { SchedulerMetrics } from './metrics.js';
import { canPrefill } from './partition.js';
import type { CellPlan } from './partition.js';
import { checkGrant } from './grant-checks.js';
import type { CellSummary, Grant, GrantTarget, PlacementRequest } from './types.js';
import type { ColdStartRights, UpstreamState } from './upstream-state.js';
import type { WaitingRequest, WaitingList } from './waiting.js';

/** Maximum number of requests skipped per dispatch for lack of memory or due to exclusions. */
const MAX_SKIPPED = 8;
/**
 * A request that has lacked memory for this long reserves one engine until enough memory is free;
 * other requests use the other engines.
 */
const MEMORY_RESERVATION_DELAY_MS = 500;
const MIN_WAKE_DELAY_MS = 5;

export interface CellDeps {
  readonly self: VmId;
  readonly telemetry: Telemetry;
  readonly metrics: SchedulerMetrics;
  readonly rights: () => ColdStartRights;
  readonly epoch: () => number;
  readonly isOutOfService: (upstream: UpstreamEntry) => boolean;
  /** Returns false while the cell collects its state and after a clock gap. */
  readonly mayGrant: () => boolean;
  readonly nextGrantId: () => GrantId;
  readonly findCachedTokens: (upstream: UpstreamId, prefixHashes: readonly number[]) => number;
  /** Receives the prefix hashes of each prompt that is granted a prefill on an engine. */
  readonly onPrefill: (upstream: UpstreamId, prefixHashes: readonly number[]) => void;
  readonly onAbandoned: (grant: Grant) => void;
}

export interface DispatcherOptions extends CellDeps {
  readonly plan: () => CellPlan;
  readonly state: CellState;
  readonly waiting: WaitingList;
  readonly estimates: Estimates;
  readonly summary: () => CellSummary;
  readonly refuse: (message: string, retryAfterMs: number) => PlaceReply;
}

export interface Dispatcher {
  dispatch(): void;
  /** Refuses an entry if its maximum wait ends before a prefill could; returns whether it did so. */
  refuseIfOverMaxWait(entry: WaitingRequest, now: number): boolean;
  replyWith(record: GrantRecord): PlaceReply;
  stop(): void;
}

interface Placement {
  readonly target: GrantTarget;
  readonly blocks: number;
  readonly prefillMs: number;
  readonly states: readonly UpstreamState[];
}

/** State of one pass over the queue. */
interface DispatchPass {
  readonly skipped: Set<WaitingRequest>;
  reservedEngine: UpstreamState | undefined;
}

const toPlacedUpstream = ({ entry }: UpstreamState) => ({
  upstream: entry.id,
  address: entry.address,
});

/** Creates the dispatcher of one cell. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { state, waiting, estimates, telemetry, metrics } = options;
  const { queue } = waiting;
  let wakeTimer: NodeJS.Timeout | undefined;

  const findCachedTokens = (upstream: UpstreamState, req: PlacementRequest): number =>
    req.prefixHashes.length === 0
      ? 0
      : options.findCachedTokens(upstream.entry.id, req.prefixHashes);

  const placeModel = (
    req: PlacementRequest,
    now: number,
    reservedEngine: UpstreamState | undefined,
  ): Placement | PlacementFailure => {
    const choice = chooseModel(
      {
        pool: options.plan().pool,
        states: state.upstreams(),
        estimates,
        rights: options.rights(),
        now,
        reservedEngine,
        findCachedTokens,
      },
      req,
    );
    if (typeof choice === 'string') return choice;
    const { prefill, decode, blocks, prefillEndMs, prefillMs, transferMs } = choice;
    decode.linkFreeAt = Math.max(decode.linkFreeAt, now + prefillEndMs) + transferMs;
    return {
      target: {
        kind: 'model',
        prefill: toPlacedUpstream(prefill),
        decode: toPlacedUpstream(decode),
        prefillMs: prefillEndMs,
        transferMs: decode.linkFreeAt - now - prefillEndMs,
      },
      blocks,
      prefillMs,
      states: [prefill, decode],
    };
  };

  const placePlain = (req: PlacementRequest, now: number): Placement | PlacementFailure => {
    const server = choosePlain(state.upstreams(), req.exclude, options.rights(), now);
    if (typeof server === 'string') return server;
    const target: GrantTarget = { kind: 'plain', server: toPlacedUpstream(server) };
    return { target, blocks: 0, prefillMs: 0, states: [server] };
  };

  const replyWith = (record: GrantRecord): PlaceReply => {
    const { target } = record.allocation.grant;
    const upstreams =
      target.kind === 'plain'
        ? [target.server.upstream]
        : [target.prefill.upstream, target.decode.upstream];
    const levels = upstreams.flatMap((id) => {
      const upstream = state.upstream(id);
      return upstream === undefined ? [] : [{ upstream: id, level: upstream.slowStart.level() }];
    });
    return {
      kind: 'granted',
      filed: record.allocation,
      warmth: levels,
      summary: options.summary(),
    };
  };

  const createGrant = ({ req }: WaitingRequest, target: GrantTarget): Grant => {
    const { pool, id, dataCentre } = options.plan();
    return {
      id: options.nextGrantId(),
      cell: id,
      epoch: options.epoch(),
      owner: options.self,
      pool: pool.id,
      dataCentre,
      requestId: req.requestId,
      attempt: req.attempt,
      target,
    };
  };

  const logGrant = (grant: Grant, waitMs: number): void => {
    const { target } = grant;
    const upstream = target.kind === 'plain' ? target.server.upstream : target.decode.upstream;
    telemetry.log('placementGranted', {
      request: grant.requestId,
      grant: grant.id,
      cell: grant.cell,
      upstream,
      prefill: target.kind === 'model' ? target.prefill.upstream : undefined,
      waitMs: Math.round(waitMs),
    });
    metrics.placements.inc({ pool: grant.pool, kind: 'granted' });
    metrics.waitSeconds.observe({ pool: grant.pool }, waitMs / 1_000);
  };

  const issueGrant = (entry: WaitingRequest, placement: Placement, now: number): void => {
    const { target } = placement;
    if (target.kind === 'model' && entry.req.prefixHashes.length > 0) {
      options.onPrefill(target.prefill.upstream, entry.req.prefixHashes);
    }
    const grant = createGrant(entry, target);
    const allocation: GrantAllocation = {
      grant,
      blocks: placement.blocks,
      prefillMs: placement.prefillMs,
      expectedTokens: entry.req.expectedTokens,
      prefilling: target.kind === 'model',
    };
    const record: GrantRecord = {
      allocation,
      holder: entry.from,
      grantedAt: now,
      confirmed: false,
      abandonedAt: undefined,
      auditAt: now + AUDIT_INTERVAL_MS,
    };
    const { invariants } = telemetry;
    invariants.check(
      waiting.isLive(entry, now),
      'grant_for_live_request',
      () => `request ${grant.requestId} was granted although no node polls for it`,
    );
    const virtualTime = queue.virtualTime();
    state.add(record, false, now);
    for (const upstream of placement.states) checkGrant(upstream, options.rights(), invariants);
    waiting.settle(entry, replyWith(record), true);
    invariants.check(
      queue.virtualTime() >= virtualTime,
      'virtual_time_monotonic',
      () => `virtual time of cell ${grant.cell} decreased`,
    );
    logGrant(grant, now - entry.arrivedAt);
  };

  const refuseIfOverMaxWait = (entry: WaitingRequest, now: number): boolean => {
    const remainingWaitMs = entry.patienceMs - (now - entry.arrivedAt);
    if (remainingWaitMs > 0 && remainingWaitMs >= entry.prefillMs) return false;
    const reply = options.refuse(
      'the patience of the caller ended before a prefill could finish; retry later',
      Math.max(entry.prefillMs - remainingWaitMs, options.summary().queueMs),
    );
    waiting.settle(entry, reply, false);
    metrics.placements.inc({ pool: options.plan().pool.id, kind: 'refused' });
    telemetry.log('placementRefused', { request: entry.req.requestId, reason: 'patience' });
    return true;
  };

  /** Schedules a dispatch for when the first prefill backlog is again within its limit. */
  const scheduleWake = (now: number): void => {
    clearTimeout(wakeTimer);
    wakeTimer = undefined;
    if (queue.size() === 0) return;
    let nextMs = Infinity;
    for (const upstream of state.upstreams()) {
      if (!canPrefill(upstream.entry)) continue;
      const excessMs = upstream.prefills.remainingMs(now) - MAX_PREFILL_BACKLOG_MS;
      if (excessMs > 0) nextMs = Math.min(nextMs, excessMs);
    }
    if (!Number.isFinite(nextMs)) return;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    wakeTimer = setTimeout(dispatch, Math.max(MIN_WAKE_DELAY_MS, Math.ceil(nextMs)));
  };

  /** Reserves an engine for an entry that has lacked memory for too long. */
  const reserveEngine = (entry: WaitingRequest, pass: DispatchPass, now: number): void => {
    entry.memoryBlockedSince ??= now;
    if (
      pass.reservedEngine !== undefined ||
      now - entry.memoryBlockedSince <= MEMORY_RESERVATION_DELAY_MS
    )
      return;
    const blocks = countBlocks(options.plan().pool, entry.req);
    pass.reservedEngine = findMostFreeMemory(state.upstreams(), blocks);
  };

  /** Grants, refuses, skips or removes one entry; returns whether the pass continues. */
  const processEntry = (entry: WaitingRequest, pass: DispatchPass, now: number): boolean => {
    if (!waiting.isLive(entry, now)) {
      waiting.settle(entry, { kind: 'moved' }, false);
      return true;
    }
    if (refuseIfOverMaxWait(entry, now)) return true;
    const isPlain = options.plan().pool.kind === 'plain';
    const placement = isPlain
      ? placePlain(entry.req, now)
      : placeModel(entry.req, now, pass.reservedEngine);
    if (placement === 'busy') return false;
    if (typeof placement === 'string') {
      pass.skipped.add(entry);
      if (placement === 'memory') reserveEngine(entry, pass, now);
      return true;
    }
    issueGrant(entry, placement, now);
    return true;
  };

  function dispatch(): void {
    if (!options.mayGrant()) return;
    const now = monotonicMs();
    const pass: DispatchPass = { skipped: new Set(), reservedEngine: undefined };
    while (pass.skipped.size < MAX_SKIPPED) {
      const entry = queue.pick(now, pass.skipped);
      if (entry === undefined || !processEntry(entry, pass, now)) break;
    }
    scheduleWake(now);
  }

  return { dispatch, refuseIfOverMaxWait, replyWith, stop: () => clearTimeout(wakeTimer) };
}
