import { createHttpEngine } from '@hibiscusbank/engines';
import type { Dispatcher } from 'undici';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** HTTP client whose calls end only when their signal aborts. */
const unresponsiveClient = {
  request: (options: { signal: AbortSignal }) =>
    new Promise((_, reject) => {
      options.signal.addEventListener('abort', () => reject(new Error('aborted')));
    }),
} as unknown as Dispatcher;

test('an unanswered control call fails as a timeout and not as a cancellation by the caller', async () => {
  let received: unknown;
  void createHttpEngine(unresponsiveClient)
    .readLoad('http://engine')
    .then((result) => {
      received = result;
    });
  await vi.advanceTimersByTimeAsync(10_000);
  expect(received).toMatchObject({ error: { kind: 'timeout', effect: 'unknown' } });
});
