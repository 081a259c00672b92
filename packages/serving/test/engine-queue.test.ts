import { sleep } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createEngineQueue } from '../src/engine-queue.js';
import type { EngineQueue, QueueRequest } from '../src/engine-queue.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

/** Creates the memory of one engine, which holds a few runs, each for a fixed time. */
function createMemory(slots: number, runMs: number, onFree: () => void) {
  let used = 0;
  return {
    /** A request past its target must leave one slot free. */
    reserve: async (missedTarget: boolean): Promise<number | undefined> => {
      if (used + (missedTarget ? 1 : 0) >= slots) return undefined;
      used += 1;
      setTimeout(() => {
        used -= 1;
        onFree();
      }, runMs);
      return performance.now();
    },
    used: () => used,
  };
}

function createRequest(change: Partial<QueueRequest<number>>): QueueRequest<number> {
  return {
    organisation: 'workshop',
    cost: 1_000,
    onTargetMs: 600,
    maxWaitMs: 3_000,
    signal: new AbortController().signal,
    reserve: async () => undefined,
    release: () => {},
    ...change,
  };
}

interface Outcome {
  onTarget: number;
  missedTarget: number;
  refused: number;
}

/** Simulates arrivals at a fixed interval and counts the outcomes. */
async function simulate(intervalMs: number, totalMs: number): Promise<Outcome> {
  const outcome: Outcome = { onTarget: 0, missedTarget: 0, refused: 0 };
  const queue: EngineQueue<number> = createEngineQueue({ retryAfterMs: () => 3_000 });
  const memory = createMemory(10, 3_000, () => queue.notifyFreeMemory());
  const requests: Promise<void>[] = [];
  for (let time = 0; time < totalMs; time += intervalMs) {
    const arrivedAt = performance.now();
    requests.push(
      queue.wait(createRequest({ reserve: memory.reserve })).then((result) => {
        if (result.isErr()) outcome.refused += 1;
        else if (performance.now() - arrivedAt <= 600) outcome.onTarget += 1;
        else outcome.missedTarget += 1;
      }),
    );
    await vi.advanceTimersByTimeAsync(intervalMs);
  }
  await vi.advanceTimersByTimeAsync(10_000);
  await Promise.all(requests);
  return outcome;
}

// With service in order of arrival, every request would miss its target once the backlog is longer
// than the target.
test('under overload at twice the capacity, nearly all of the memory serves requests on target', async () => {
  const { onTarget, missedTarget, refused } = await simulate(150, 30_000);
  // Of the 200 requests the memory can serve 10 in 3 s, hence 100 in 30 s.
  expect(onTarget).toBeGreaterThanOrEqual(90);
  expect(onTarget + missedTarget + refused).toBe(200);
});

test('below capacity no request misses its target and none is refused', async () => {
  const { onTarget, missedTarget, refused } = await simulate(320, 30_000);
  expect({ missedTarget, refused }).toEqual({ missedTarget: 0, refused: 0 });
  expect(onTarget).toBe(94);
});

// Guards against a queue that never asks again after its timer fired early by the monotonic clock.
test('a request past its target is served once memory is free again', async () => {
  const queue: EngineQueue<number> = createEngineQueue({ retryAfterMs: () => 3_000 });
  let isFree = false;
  const waiting = queue.wait(
    createRequest({ reserve: async () => (isFree ? performance.now() : undefined) }),
  );
  await vi.advanceTimersByTimeAsync(1_500);
  isFree = true;
  await vi.advanceTimersByTimeAsync(100);
  expect((await waiting).isOk()).toBe(true);
});

test('a request that exceeds its maximum wait is refused as not run, with a retry delay', async () => {
  const queue: EngineQueue<number> = createEngineQueue({ retryAfterMs: () => 3_000 });
  const waiting = queue.wait(createRequest({}));
  await vi.advanceTimersByTimeAsync(3_100);
  const error = (await waiting)._unsafeUnwrapErr();
  expect(error).toMatchObject({ kind: 'no_capacity', effect: 'not_run', retryAfterMs: 3_000 });
  expect(queue.size()).toBe(0);
});

// An unreleased reservation holds memory until the engine's time limit.
test('a reservation granted after the client disconnected is released', async () => {
  const queue: EngineQueue<number> = createEngineQueue({ retryAfterMs: () => 3_000 });
  const controller = new AbortController();
  const release = vi.fn();
  const waiting = queue.wait(
    createRequest({
      signal: controller.signal,
      release,
      reserve: async () => {
        await sleep(50);
        return 7;
      },
    }),
  );
  controller.abort();
  await vi.advanceTimersByTimeAsync(100);
  expect((await waiting)._unsafeUnwrapErr().kind).toBe('cancelled');
  expect(release).toHaveBeenCalledWith(7);
});
