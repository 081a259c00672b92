/** Turns waiting requests of a cell into grants, in fair order. */
import { monotonicMs } from '@hibiscusbank/core';
import type { GrantId, Telemetry, UpstreamId, VmId } from '@hibiscusbank/core';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { AUDIT_INTERVAL_MS } from './audit.js';
import type { CellState, GrantRecord } from './cell-state.js';
import { chooseModel, countBlocks, findRoomiest, MAX_PREFILL_BACKLOG_MS } from './choose-model.js';
import { choosePlain } from './choose-plain.js';
import type { Obstacle } from './choose-plain.js';
import type { Estimates } from './estimates.js';
import type { FiledGrant, PlaceReply } from './messages.js';
import type { SchedulerMetrics } from './metrics.js';
import { canPrefill } from './partition.js';
import type { CellPlan } from './partition.js';
import { checkGrant } from './grant-checks.js';
import type { CellSummary, Grant, GrantTarget, PlacementRequest } from './types.js';
import type { ColdRights, UpstreamState } from './upstream-state.js';
import type { Waiting, WaitingList } from './waiting.js';

/** Requests passed over in one dispatch at most, for memory or for the upstreams they exclude. */
const MAX_SKIPPED = 8;
/**
 * A request that has lacked memory for this long keeps one engine to itself until its memory is
 * free; others use the rest of the cell.
 */
const MAX_OVERTAKEN_MS = 500;
const MIN_WAKE_MS = 5;

export interface CellDeps {
  readonly self: VmId;
  readonly telemetry: Telemetry;
  readonly metrics: SchedulerMetrics;
  readonly rights: () => ColdRights;
  readonly epoch: () => number;
  readonly isOut: (upstream: UpstreamEntry) => boolean;
  /** False while the cell collects its state, and after a clock gap. */
  readonly mayGrant: () => boolean;
  readonly nextGrantId: () => GrantId;
  readonly findCachedTokens: (upstream: UpstreamId, prefixHashes: readonly number[]) => number;
  /** Called with the prefixes of each prompt that an engine is about to prefill. */
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
  /** Refuses an entry whose patience ends before its prefill would; returns whether it did. */
  refuseLate(entry: Waiting, now: number): boolean;
  replyWith(record: GrantRecord): PlaceReply;
  stop(): void;
}

interface Placement {
  readonly target: GrantTarget;
  readonly blocks: number;
  readonly prefillMs: number;
  readonly states: readonly UpstreamState[];
}

/** One pass over the queue. */
interface Pass {
  readonly skipped: Set<Waiting>;
  keptFree: UpstreamState | undefined;
}

const placed = ({ entry }: UpstreamState) => ({ upstream: entry.id, address: entry.address });

/** Creates the dispatcher of one cell. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { state, waiting, estimates, telemetry, metrics } = options;
  const { queue } = waiting;
  let wake: NodeJS.Timeout | undefined;

  const findCachedTokens = (upstream: UpstreamState, req: PlacementRequest): number =>
    req.prefixHashes.length === 0
      ? 0
      : options.findCachedTokens(upstream.entry.id, req.prefixHashes);

  const placeModel = (
    req: PlacementRequest,
    now: number,
    keptFree: UpstreamState | undefined,
  ): Placement | Obstacle => {
    const choice = chooseModel(
      {
        pool: options.plan().pool,
        states: state.upstreams(),
        estimates,
        rights: options.rights(),
        now,
        keptFree,
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
        prefill: placed(prefill),
        decode: placed(decode),
        prefillMs: prefillEndMs,
        transferMs: decode.linkFreeAt - now - prefillEndMs,
      },
      blocks,
      prefillMs,
      states: [prefill, decode],
    };
  };

  const placePlain = (req: PlacementRequest, now: number): Placement | Obstacle => {
    const server = choosePlain(state.upstreams(), req.exclude, options.rights(), now);
    if (typeof server === 'string') return server;
    const target: GrantTarget = { kind: 'plain', server: placed(server) };
    return { target, blocks: 0, prefillMs: 0, states: [server] };
  };

  const replyWith = (record: GrantRecord): PlaceReply => {
    const { target } = record.filed.grant;
    const ids =
      target.kind === 'plain'
        ? [target.server.upstream]
        : [target.prefill.upstream, target.decode.upstream];
    const warmth = ids.flatMap((id) => {
      const upstream = state.upstream(id);
      return upstream === undefined ? [] : [{ upstream: id, level: upstream.slowStart.level() }];
    });
    return { kind: 'granted', filed: record.filed, warmth, summary: options.summary() };
  };

  const createGrant = ({ req }: Waiting, target: GrantTarget): Grant => {
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

  const give = (entry: Waiting, placement: Placement, now: number): void => {
    const { target } = placement;
    if (target.kind === 'model' && entry.req.prefixHashes.length > 0) {
      options.onPrefill(target.prefill.upstream, entry.req.prefixHashes);
    }
    const grant = createGrant(entry, target);
    const filed: FiledGrant = {
      grant,
      blocks: placement.blocks,
      prefillMs: placement.prefillMs,
      expectedTokens: entry.req.expectedTokens,
      prefilling: target.kind === 'model',
    };
    const record: GrantRecord = {
      filed,
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
      () => `request ${grant.requestId} was granted although no node asks for it`,
    );
    const virtualTime = queue.virtualTime();
    state.file(record, false, now);
    for (const upstream of placement.states) checkGrant(upstream, options.rights(), invariants);
    waiting.settle(entry, replyWith(record), true);
    invariants.check(
      queue.virtualTime() >= virtualTime,
      'virtual_time_monotonic',
      () => `virtual time of cell ${grant.cell} went back`,
    );
    logGrant(grant, now - entry.arrivedAt);
  };

  const refuseLate = (entry: Waiting, now: number): boolean => {
    const leftMs = entry.patienceMs - (now - entry.arrivedAt);
    if (leftMs > 0 && leftMs >= entry.prefillMs) return false;
    const reply = options.refuse(
      'the patience of the caller ended before a prefill could finish; retry later',
      Math.max(entry.prefillMs - leftMs, options.summary().queueMs),
    );
    waiting.settle(entry, reply, false);
    metrics.placements.inc({ pool: options.plan().pool.id, kind: 'refused' });
    telemetry.log('placementRefused', { request: entry.req.requestId, reason: 'patience' });
    return true;
  };

  const scheduleWake = (now: number): void => {
    clearTimeout(wake);
    wake = undefined;
    if (queue.size() === 0) return;
    let nextMs = Infinity;
    for (const upstream of state.upstreams()) {
      if (!canPrefill(upstream.entry)) continue;
      const overMs = upstream.prefills.remainingMs(now) - MAX_PREFILL_BACKLOG_MS;
      if (overMs > 0) nextMs = Math.min(nextMs, overMs);
    }
    if (!Number.isFinite(nextMs)) return;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    wake = setTimeout(dispatch, Math.max(MIN_WAKE_MS, Math.ceil(nextMs)));
  };

  /** Keeps an engine free for an entry that has lacked memory for long. */
  const keepMemory = (entry: Waiting, pass: Pass, now: number): void => {
    entry.blockedSince ??= now;
    if (pass.keptFree !== undefined || now - entry.blockedSince <= MAX_OVERTAKEN_MS) return;
    const blocks = countBlocks(options.plan().pool, entry.req);
    pass.keptFree = findRoomiest(state.upstreams(), blocks);
  };

  /** Handles one entry; returns whether others may be tried after it. */
  const tryEntry = (entry: Waiting, pass: Pass, now: number): boolean => {
    if (!waiting.isLive(entry, now)) {
      waiting.settle(entry, { kind: 'moved' }, false);
      return true;
    }
    if (refuseLate(entry, now)) return true;
    const isPlain = options.plan().pool.kind === 'plain';
    const placement = isPlain
      ? placePlain(entry.req, now)
      : placeModel(entry.req, now, pass.keptFree);
    if (placement === 'busy') return false;
    if (typeof placement === 'string') {
      pass.skipped.add(entry);
      if (placement === 'memory') keepMemory(entry, pass, now);
      return true;
    }
    give(entry, placement, now);
    return true;
  };

  function dispatch(): void {
    if (!options.mayGrant()) return;
    const now = monotonicMs();
    const pass: Pass = { skipped: new Set(), keptFree: undefined };
    while (pass.skipped.size < MAX_SKIPPED) {
      const entry = queue.pick(now, pass.skipped);
      if (entry === undefined || !tryEntry(entry, pass, now)) break;
    }
    scheduleWake(now);
  }

  return { dispatch, refuseLate, replyWith, stop: () => clearTimeout(wake) };
}
