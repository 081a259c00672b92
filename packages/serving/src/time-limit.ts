/** A time limit within a parent signal. */

export interface TimeLimit {
  /** Aborted when the limit expires or the parent signal aborts. */
  readonly signal: AbortSignal;
  /** Whether the limit has expired while the parent signal is not aborted. */
  isExpired(): boolean;
  /** Stops the timer. Must be called when the operation has ended. */
  stop(): void;
}

/** Starts a limit of `ms` within `parentSignal`. */
export function startTimeLimit(parentSignal: AbortSignal, ms: number): TimeLimit {
  const controller = new AbortController();
  let expired = false;
  const timer = setTimeout(() => {
    expired = true;
    controller.abort();
  }, ms);
  const onAbort = (): void => controller.abort();
  if (parentSignal.aborted) controller.abort();
  else parentSignal.addEventListener('abort', onAbort, { once: true });
  return {
    signal: controller.signal,
    isExpired: () => expired && !parentSignal.aborted,
    stop: () => {
      clearTimeout(timer);
      parentSignal.removeEventListener('abort', onAbort);
    },
  };
}
