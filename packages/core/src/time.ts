/** Monotonic time, delays and timeouts. */
import { createError } from './errors.js';

/** Returns the monotonic time in milliseconds. */
export function monotonicMs(): number {
  return performance.now();
}

/** Resolves after `ms` milliseconds, or as soon as the signal aborts. Never rejects. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    timer = setTimeout(finish, ms);
    signal?.addEventListener('abort', finish);
  });
}

/**
 * Resolves or rejects as the promise does, or rejects with a `timeout` error when the promise has
 * not settled after `ms` milliseconds. `operation` names the operation in the error message.
 */
export async function withTimeout<T>(
  promise: Promise<T>,
  ms: number,
  operation: string,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const expiry = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      reject(
        createError('timeout', `${operation} took longer than ${ms} ms; retry or raise the limit`),
      );
    }, ms);
  });
  try {
    return await Promise.race([promise, expiry]);
  } finally {
    clearTimeout(timer);
  }
}

/**
 * Runs `task` repeatedly until the signal aborts, with a delay after each run. A rejection of
 * `task` ends the loop and is passed on, so tasks must handle their own errors.
 */
export async function repeatUntilAborted(
  signal: AbortSignal,
  getIntervalMs: () => number,
  task: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    await task();
    await sleep(getIntervalMs(), signal);
  }
}
