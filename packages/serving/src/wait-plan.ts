/**
 * Decides how long a stream waits for memory. Load: bursts in which memory is short for seconds. A
 * request that cannot be on time waits behind those that can; it is given up before its caller gives
 * up, and told when to come back.
 */

export interface WaitFacts {
  /** Time to the first event that callers expect. */
  readonly targetMs: number;
  /** Time since the request arrived here. */
  readonly elapsedMs: number;
  /** Time left until the caller or the route gives up. */
  readonly remainingMs: number;
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
const FIRST_EVENT_MS = 280;
/** A run needs this long after its first event, so waiting beyond it cannot be answered. */
const RUN_MS = 3_500;
/** Callers leave a stream without an event after this many targets. */
const CALLER_PATIENCE_TARGETS = 4;

/** Plans the wait of a request. */
export function planWait(facts: WaitFacts): WaitPlan {
  const { targetMs, elapsedMs, remainingMs, hasEvents } = facts;
  if (hasEvents) return { lateMs: 0, patienceMs: remainingMs };
  const lateMs = Math.max(0, targetMs - elapsedMs - FIRST_EVENT_MS);
  const callerMs = targetMs * CALLER_PATIENCE_TARGETS - elapsedMs - FIRST_EVENT_MS;
  const patienceMs = Math.max(0, Math.min(remainingMs - RUN_MS, callerMs));
  return { lateMs, patienceMs };
}
