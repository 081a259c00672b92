/**
 * Decides how long a stream waits for memory. Load: bursts in which memory is short for seconds. A
 * request that waits past its target earns its caller little and delays others that could still be
 * on time, so it is refused then and told when to come back; one that came back waits longer.
 */

export interface WaitFacts {
  /** Time to the first event that callers expect. */
  readonly targetMs: number;
  /** Time since the request arrived here. */
  readonly elapsedMs: number;
  /** Time left until the caller or the route gives up. */
  readonly remainingMs: number;
  /** Time that the caller said it waits, when the request arrived. */
  readonly patienceMs: number;
  /** Time that the route allows. */
  readonly timeLimitMs: number;
  /** Whether the caller has a part of the answer. */
  readonly hasEvents: boolean;
}

export interface WaitPlan {
  /** Time until the answer would be late. */
  readonly lateMs: number;
  /** Time until waiting is given up. */
  readonly patienceMs: number;
}

/** Time from a reservation to the first event: prefill, transfer, first step, and the way back. */
const FIRST_EVENT_MS = 250;
/** A run needs this long after its first event, so waiting beyond it cannot be answered. */
const RUN_MS = 4_000;
/** Part of the route's time that a caller must have used to count as having come back. */
const RETURNED_SHARE = 0.04;
/** Time for which a request waits that has nothing to lose by it. */
const RETURNED_PATIENCE_MS = 3_000;

/** Plans the wait of a request. */
export function planWait(facts: WaitFacts): WaitPlan {
  const { targetMs, elapsedMs, remainingMs, patienceMs, timeLimitMs } = facts;
  const lateMs = Math.max(0, targetMs - elapsedMs - FIRST_EVENT_MS);
  const usefulMs = Math.max(0, remainingMs - RUN_MS);
  if (facts.hasEvents) return { lateMs: 0, patienceMs: remainingMs };
  const hasReturned = patienceMs < timeLimitMs * (1 - RETURNED_SHARE);
  const patience = hasReturned ? RETURNED_PATIENCE_MS : lateMs;
  return { lateMs: hasReturned ? 0 : lateMs, patienceMs: Math.min(usefulMs, patience) };
}
