/** Aborts a stream that makes no progress. */
import { createError } from '@hibiscusbank/core';

export interface StallGuard {
  /** Aborted on a stall or when the outer signal aborts. */
  readonly signal: AbortSignal;
  /** Records progress; from now on `limitMs` may pass without any. */
  touch(limitMs: number): void;
  /** Whether the abort was caused by a stall. */
  isStalled(): boolean;
  stop(): void;
}

/** Checks for progress at this interval, so that tokens need not move a timer each. */
const CHECK_INTERVAL_MS = 100;

/** Creates a guard that aborts when `limitMs` pass without progress. */
export function createStallGuard(outer: AbortSignal, limitMs: number, what: string): StallGuard {
  const controller = new AbortController();
  let deadline = performance.now() + limitMs;
  let stalled = false;
  const timer = setInterval(() => {
    if (performance.now() < deadline) return;
    stalled = true;
    controller.abort(createError('timeout', `${what} stalled; another attempt is made`));
  }, CHECK_INTERVAL_MS);
  return {
    signal: AbortSignal.any([outer, controller.signal]),
    touch: (nextLimitMs) => {
      deadline = performance.now() + nextLimitMs;
    },
    isStalled: () => stalled,
    stop: () => clearInterval(timer),
  };
}
