/**
 * Decides how long a stream request waits for decode memory. Designed for bursts in which memory is
 * short for seconds. A request that can no longer be on target waits behind those that can. The
 * wait ends before the caller gives up, so that the refusal with its retry delay still reaches the
 * caller.
 */

export interface WaitInput {
  /** Target time to the first event. */
  readonly targetMs: number;
  /** Time since the request arrived at this node. */
  readonly elapsedMs: number;
  /** Time left until the maximum wait of the caller or the time limit of the route ends. */
  readonly remainingMs: number;
  /** Whether the caller already received events. */
  readonly hasEvents: boolean;
}

export interface WaitPlan {
  /** Time for which the request can wait and still be on target. */
  readonly onTargetMs: number;
  /** Maximum wait. */
  readonly maxWaitMs: number;
}

/**
 * Time from a reservation to the first event: prefill, transfer, first decode step, and response.
 */
const FIRST_EVENT_LATENCY_MS = 280;
/**
 * Duration of a run after its first event. A wait that leaves less time cannot end in a complete
 * response.
 */
const RUN_DURATION_MS = 3_500;
/** Callers disconnect from a stream without events after this multiple of the target. */
const CALLER_MAX_WAIT_TARGETS = 4;

/** Plans the wait of a request. */
export function planWait(input: WaitInput): WaitPlan {
  const { targetMs, elapsedMs, remainingMs, hasEvents } = input;
  if (hasEvents) return { onTargetMs: 0, maxWaitMs: remainingMs };
  const onTargetMs = Math.max(0, targetMs - elapsedMs - FIRST_EVENT_LATENCY_MS);
  const callerMaxWaitMs = targetMs * CALLER_MAX_WAIT_TARGETS - elapsedMs - FIRST_EVENT_LATENCY_MS;
  const maxWaitMs = Math.max(0, Math.min(remainingMs - RUN_DURATION_MS, callerMaxWaitMs));
  return { onTargetMs, maxWaitMs };
}
