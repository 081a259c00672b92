/** Waiting on the runtime's clock. */
import { createError } from './errors.js';

/** Monotonic milliseconds. */
export function monotonicMs(): number {
  return performance.now();
}

/** Resolves after `ms`, or at once when the signal aborts. Never rejects. */
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

/** Rejects with a `timeout` error when the promise has not settled after `ms`. */
export async function withTimeout<T>(promise: Promise<T>, ms: number, what: string): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const expiry = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      reject(createError('timeout', `${what} took longer than ${ms} ms; retry or raise the limit`));
    }, ms);
  });
  try {
    return await Promise.race([promise, expiry]);
  } finally {
    clearTimeout(timer);
  }
}

/**
 * Runs a step repeatedly with a pause in between until the signal aborts. The step handles its own
 * errors.
 */
export async function repeatUntilAborted(
  signal: AbortSignal,
  pauseMs: () => number,
  step: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    await step();
    await sleep(pauseMs(), signal);
  }
}
