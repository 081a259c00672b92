import { createHttpEngine } from '@hibiscusbank/engines';
import type { Dispatcher } from 'undici';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** A client whose calls end only when their signal aborts. */
const silentClient = {
  request: (options: { signal: AbortSignal }) =>
    new Promise((_, reject) => {
      options.signal.addEventListener('abort', () => reject(new Error('aborted')));
    }),
} as unknown as Dispatcher;

test('a control call without an answer is a timeout and not a cancellation by the caller', async () => {
  let seen: unknown;
  void createHttpEngine(silentClient)
    .readLoad('http://engine')
    .then((result) => {
      seen = result;
    });
  await vi.advanceTimersByTimeAsync(10_000);
  expect(seen).toMatchObject({ error: { kind: 'timeout', effect: 'unknown' } });
});
