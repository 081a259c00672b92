/** A time limit nested in an outer signal. */

export interface TimeLimit {
  /** Aborted when the limit expires or the outer signal aborts. */
  readonly signal: AbortSignal;
  /** Whether the limit has expired while the outer signal is not aborted. */
  isExpired(): boolean;
  /** Stops the timer. Must be called when the operation has ended. */
  stop(): void;
}

/** Starts a limit of `ms` within the signal `outer`. */
export function startTimeLimit(outer: AbortSignal, ms: number): TimeLimit {
  const controller = new AbortController();
  let expired = false;
  const timer = setTimeout(() => {
    expired = true;
    controller.abort();
  }, ms);
  const onAbort = (): void => controller.abort();
  if (outer.aborted) controller.abort();
  else outer.addEventListener('abort', onAbort, { once: true });
  return {
    signal: controller.signal,
    isExpired: () => expired && !outer.aborted,
    stop: () => {
      clearTimeout(timer);
      outer.removeEventListener('abort', onAbort);
    },
  };
}
