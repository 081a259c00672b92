/** Decides which requests may wait in a cell, and which overflow to another cell or are refused. */
import type { VmId } from '@hibiscusbank/core';
import type { CellState } from './cell-state.js';
import { countBlocks } from './choose-model.js';
import type { Estimates } from './estimates.js';
import type { PlaceReply } from './messages.js';
import { canDecode, hasAllRoles, memoryLimit } from './partition.js';
import type { CellPlan } from './partition.js';
import type { CellSummary, PlacementRequest } from './types.js';
import type { ColdStartRights } from './upstream-state.js';
import { estimateFirstTokenMs, estimateWaitMs } from './wait-estimate.js';
import type { WaitingRequest, WaitingList } from './waiting.js';

/** Maximum number of waiting requests per cell; bounds memory and the duration of a dispatch. */
export const MAX_QUEUED = 1_000;
const OUT_OF_SERVICE_RETRY_AFTER_MS = 1_000;
/** Assumed duration of a plain request until the first reports arrive. */
const DEFAULT_PLAIN_HOLD_MS = 100;

/** Fraction of the first-token target reserved for deviations from the expected times. */
const TARGET_RESERVE_FRACTION = 0.15;

export interface AdmissionOptions {
  readonly plan: () => CellPlan;
  readonly state: CellState;
  readonly waiting: WaitingList;
  readonly estimates: Estimates;
  readonly rights: () => ColdStartRights;
  readonly mayGrant: () => boolean;
  readonly summary: () => CellSummary;
  readonly refuse: (message: string, retryAfterMs: number) => PlaceReply;
}

export interface Admission {
  createEntry(req: PlacementRequest, from: VmId, now: number): WaitingRequest;
  /** Returns the reply to a request that must not wait in this cell, or `undefined`. */
  replyWithoutQueueing(
    entry: WaitingRequest,
    mayOverflow: boolean,
    now: number,
  ): PlaceReply | undefined;
  /**
   * Returns `undefined` when the queue has space for the entry. In a full queue, refuses the entry
   * that would be served last if its organisation has more waiting requests; otherwise returns a
   * refusal.
   */
  ensureQueueSpace(entry: WaitingRequest, now: number): PlaceReply | undefined;
}

/** Creates the admission of one cell. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { state, waiting, estimates, summary, refuse } = options;

  const estimateWaitOf = (entry: WaitingRequest, now: number): number =>
    estimateWaitMs(waiting.queue, entry, state.upstreams(), estimates, options.rights(), now);

  const expectedHoldMs = (req: PlacementRequest): number =>
    options.plan().pool.kind === 'plain'
      ? DEFAULT_PLAIN_HOLD_MS
      : estimates.prefillMs(req.promptTokens) + estimates.decodeMs(estimates.outputTokens(req));

  /**
   * Returns the latest time of a grant that still meets the first-token target. A request that
   * would miss its target without any wait gets `Infinity`, because the wait is not the cause.
   */
  const computeLatestGrantAt = (req: PlacementRequest, now: number): number => {
    if (req.urgency !== 'urgent') return Infinity;
    const expectedMs = estimateFirstTokenMs(options.plan(), req, estimates);
    const spareMs = req.firstTokenTargetMs * (1 - TARGET_RESERVE_FRACTION) - expectedMs;
    return spareMs > 0 ? now + spareMs : Infinity;
  };

  const isTooLarge = (entry: WaitingRequest): boolean => {
    const { pool, upstreams } = options.plan();
    if (pool.kind === 'plain') return false;
    const blocks = countBlocks(pool, entry.req);
    return !upstreams.some((u) => canDecode(u) && memoryLimit(u) >= blocks);
  };

  const refuseUnplaceable = (
    entry: WaitingRequest,
    mayOverflow: boolean,
  ): PlaceReply | undefined => {
    const { id, pool } = options.plan();
    const inService = state.upstreams().filter((upstream) => !upstream.outOfService);
    const entries = inService.map((upstream) => upstream.entry);
    const hasRolesInService = hasAllRoles(pool, entries);
    if (hasRolesInService && !isTooLarge(entry)) return undefined;
    if (mayOverflow) return { kind: 'overflow', summary: summary() };
    const message = hasRolesInService
      ? `the request needs more memory than an engine of cell ${id} has; shorten it`
      : `cell ${id} has no upstream in service; return one to service`;
    return refuse(message, OUT_OF_SERVICE_RETRY_AFTER_MS);
  };

  return {
    createEntry: (req, from, now) => ({
      req,
      from,
      // Requests of open routes share one flow.
      organisation: req.organisation ?? '',
      urgency: req.urgency,
      cost: estimates.cost(req, req.promptTokens),
      arrivedAt: now,
      patienceMs: req.patienceMs,
      prefillMs: estimates.prefillMs(req.promptTokens),
      holdMs: expectedHoldMs(req),
      lastAskedAt: now,
      memoryBlockedSince: undefined,
      targetExpiresAt: computeLatestGrantAt(req, now),
    }),
    replyWithoutQueueing: (entry, mayOverflow, now) => {
      const unplaceable = refuseUnplaceable(entry, mayOverflow);
      if (unplaceable !== undefined || !options.mayGrant()) return unplaceable;
      const waitMs = estimateWaitOf(entry, now);
      const firstTokenMs = waitMs + entry.prefillMs;
      const limitMs = Math.min(entry.req.firstTokenTargetMs, entry.patienceMs);
      if (mayOverflow && waitMs > 0 && firstTokenMs > limitMs) {
        return { kind: 'overflow', summary: summary() };
      }
      // Without the lease, cold upstreams may have no slots and the estimate is infinite; the request
      // then waits for the lease.
      if (!Number.isFinite(waitMs) || firstTokenMs <= entry.patienceMs) return undefined;
      return refuse(
        `cell ${options.plan().id} cannot serve the request within its patience; retry later`,
        firstTokenMs - entry.patienceMs,
      );
    },
    ensureQueueSpace: (entry, now) => {
      if (waiting.queue.size() < MAX_QUEUED) return undefined;
      const message = `the queue of cell ${options.plan().id} is full; retry later`;
      const queueFullReply = refuse(message, estimateWaitOf(entry, now));
      const last = waiting.queue.findLast(now);
      const lengths = waiting.queue.lengths();
      const queuedOfOrganisation = lengths.get(entry.organisation) ?? 0;
      if (last === undefined || (lengths.get(last.organisation) ?? 0) <= queuedOfOrganisation + 1)
        return queueFullReply;
      waiting.settle(last, queueFullReply, false);
      return undefined;
    },
  };
}
