/** Aborts a prefill or stream that makes no progress. */
import { createError, monotonicMs } from '@hibiscusbank/core';

export interface StallGuard {
  /** Aborts on a stall or when the parent signal aborts. */
  readonly signal: AbortSignal;
  /** Records progress and sets the time limit, in milliseconds, until the next progress. */
  recordProgress(limitMs: number): void;
  stop(): void;
}

/** A single timer checks all guards, because a node has hundreds of streams at a time. */
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

/** Creates a guard that aborts after `limitMs` without progress. */
export function createStallGuard(
  parentSignal: AbortSignal,
  limitMs: number,
  operation: string,
): StallGuard {
  const controller = new AbortController();
  let deadlineMs = monotonicMs() + limitMs;
  const check = (now: number): void => {
    if (now < deadlineMs) return;
    removeCheck(check);
    controller.abort(createError('timeout', `${operation} stalled; another attempt is made`));
  };
  addCheck(check);
  return {
    signal: AbortSignal.any([parentSignal, controller.signal]),
    recordProgress: (newLimitMs) => {
      deadlineMs = monotonicMs() + newLimitMs;
    },
    stop: () => removeCheck(check),
  };
}
