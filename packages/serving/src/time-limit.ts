/** A time limit inside another one. */

export interface TimeLimit {
  /** Aborted when the time is over or the outer signal aborts. */
  readonly signal: AbortSignal;
  /** Whether the time is over while the outer signal is not aborted. */
  isExpired(): boolean;
  /** Must be called when the step has ended. */
  stop(): void;
}

/** Starts a limit of `ms` inside `outer`. */
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
