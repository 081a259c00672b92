/** Aborts a stream that makes no progress. */
import { createError, monotonicMs } from '@hibiscusbank/core';

export interface StallGuard {
  /** Aborted on a stall or when the outer signal aborts. */
  readonly signal: AbortSignal;
  /** Records progress; from now on `limitMs` may pass without any. */
  touch(limitMs: number): void;
  stop(): void;
}

/** One timer checks all guards, since a node has hundreds of streams at a time. */
const CHECK_INTERVAL_MS = 100;

type Check = (now: number) => void;

const checks = new Set<Check>();
let timer: NodeJS.Timeout | undefined;

function runChecks(): void {
  const now = monotonicMs();
  for (const check of checks) check(now);
}

function addCheck(check: Check): void {
  checks.add(check);
  timer ??= setInterval(runChecks, CHECK_INTERVAL_MS);
}

function removeCheck(check: Check): void {
  checks.delete(check);
  if (checks.size > 0) return;
  clearInterval(timer);
  timer = undefined;
}

/** Creates a guard that aborts when `limitMs` pass without progress. */
export function createStallGuard(outer: AbortSignal, limitMs: number, what: string): StallGuard {
  const controller = new AbortController();
  let deadline = monotonicMs() + limitMs;
  const check = (now: number): void => {
    if (now < deadline) return;
    removeCheck(check);
    controller.abort(createError('timeout', `${what} stalled; another attempt is made`));
  };
  addCheck(check);
  return {
    signal: AbortSignal.any([outer, controller.signal]),
    touch: (nextLimitMs) => {
      deadline = monotonicMs() + nextLimitMs;
    },
    stop: () => removeCheck(check),
  };
}
