/** Which requests may wait in a cell, and which are sent elsewhere or refused at once. */
import type { VmId } from '@hibiscusbank/core';
import type { CellState } from './cell-state.js';
import { countBlocks } from './choose-model.js';
import type { Estimates } from './estimates.js';
import type { PlaceReply } from './messages.js';
import { canDecode, hasAllRoles, memoryLimit } from './partition.js';
import type { CellPlan } from './partition.js';
import type { CellSummary, PlacementRequest } from './types.js';
import type { ColdRights } from './upstream-state.js';
import { estimateFirstTokenMs, estimateWaitMs } from './wait-estimate.js';
import type { Waiting, WaitingList } from './waiting.js';

/** Waiting requests of one cell at most; it bounds memory and the time of a dispatch. */
export const MAX_QUEUED = 1_000;
const OUT_RETRY_AFTER_MS = 1_000;
/** Assumed time of a plain request until the first reports arrive. */
const PLAIN_HOLD_MS = 100;

/** Share of the first-token target that is kept for the spread around the expected times. */
const TARGET_RESERVE = 0.15;

export interface AdmissionOptions {
  readonly plan: () => CellPlan;
  readonly state: CellState;
  readonly waiting: WaitingList;
  readonly estimates: Estimates;
  readonly rights: () => ColdRights;
  readonly mayGrant: () => boolean;
  readonly summary: () => CellSummary;
  readonly refuse: (message: string, retryAfterMs: number) => PlaceReply;
}

export interface Admission {
  createEntry(req: PlacementRequest, from: VmId, now: number): Waiting;
  /** The answer to a request that must not wait here, or `undefined`. */
  answerEarly(entry: Waiting, mayOverflow: boolean, now: number): PlaceReply | undefined;
  /** Makes room in a full queue at the cost of the organisation that fills it, or refuses. */
  makeRoom(entry: Waiting, now: number): PlaceReply | undefined;
}

/** Creates the admission of one cell. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { state, waiting, estimates, summary, refuse } = options;

  const waitOf = (entry: Waiting, now: number): number =>
    estimateWaitMs(waiting.queue, entry, state.upstreams(), estimates, options.rights(), now);

  const expectedHoldMs = (req: PlacementRequest): number =>
    options.plan().pool.kind === 'plain'
      ? PLAIN_HOLD_MS
      : estimates.prefillMs(req.promptTokens) + estimates.decodeMs(estimates.outputTokens(req));

  /**
   * Latest time of a grant that still meets the first-token target. A request that misses it without
   * any wait has no such time, since waiting is not what makes it late.
   */
  const computeLateAt = (req: PlacementRequest, now: number): number => {
    if (req.urgency !== 'urgent') return Infinity;
    const expectedMs = estimateFirstTokenMs(options.plan(), req, estimates);
    const spareMs = req.firstTokenTargetMs * (1 - TARGET_RESERVE) - expectedMs;
    return spareMs > 0 ? now + spareMs : Infinity;
  };

  const isTooLarge = (entry: Waiting): boolean => {
    const { pool, upstreams } = options.plan();
    if (pool.kind === 'plain') return false;
    const blocks = countBlocks(pool, entry.req);
    return !upstreams.some((u) => canDecode(u) && memoryLimit(u) >= blocks);
  };

  const refuseUnplaceable = (entry: Waiting, mayOverflow: boolean): PlaceReply | undefined => {
    const { id, pool } = options.plan();
    const inService = state.upstreams().filter((upstream) => !upstream.out);
    const entries = inService.map((upstream) => upstream.entry);
    const hasService = hasAllRoles(pool, entries);
    if (hasService && !isTooLarge(entry)) return undefined;
    if (mayOverflow) return { kind: 'overflow', summary: summary() };
    const message = hasService
      ? `the request needs more memory than an engine of cell ${id} has; shorten it`
      : `cell ${id} has no upstream in service; return one to service`;
    return refuse(message, OUT_RETRY_AFTER_MS);
  };

  return {
    createEntry: (req, from, now) => ({
      req,
      from,
      // Requests of routes open to all share one turn.
      organisation: req.organisation ?? '',
      urgency: req.urgency,
      cost: estimates.cost(req, req.promptTokens),
      arrivedAt: now,
      patienceMs: req.patienceMs,
      prefillMs: estimates.prefillMs(req.promptTokens),
      holdMs: expectedHoldMs(req),
      lastAskedAt: now,
      blockedSince: undefined,
      lateAt: computeLateAt(req, now),
    }),
    answerEarly: (entry, mayOverflow, now) => {
      const unplaceable = refuseUnplaceable(entry, mayOverflow);
      if (unplaceable !== undefined || !options.mayGrant()) return unplaceable;
      const waitMs = waitOf(entry, now);
      const firstTokenMs = waitMs + entry.prefillMs;
      const limitMs = Math.min(entry.req.firstTokenTargetMs, entry.patienceMs);
      if (mayOverflow && waitMs > 0 && firstTokenMs > limitMs) {
        return { kind: 'overflow', summary: summary() };
      }
      // Cold upstreams without the lease give no estimate; the request waits for the lease.
      if (!Number.isFinite(waitMs) || firstTokenMs <= entry.patienceMs) return undefined;
      return refuse(
        `cell ${options.plan().id} cannot serve the request within its patience; retry later`,
        firstTokenMs - entry.patienceMs,
      );
    },
    makeRoom: (entry, now) => {
      if (waiting.queue.size() < MAX_QUEUED) return undefined;
      const message = `the queue of cell ${options.plan().id} is full; retry later`;
      const full = refuse(message, waitOf(entry, now));
      const last = waiting.queue.findLast(now);
      const lengths = waiting.queue.lengths();
      const own = lengths.get(entry.organisation) ?? 0;
      if (last === undefined || (lengths.get(last.organisation) ?? 0) <= own + 1) return full;
      waiting.settle(last, full, false);
      return undefined;
    },
  };
}
