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

/** Memory of one engine that holds a few runs, each for a fixed time. */
function createMemory(places: number, runMs: number, onFree: () => void) {
  let used = 0;
  return {
    /** A late request leaves one place free. */
    take: async (isLate: boolean): Promise<number | undefined> => {
      if (used + (isLate ? 1 : 0) >= places) return undefined;
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
    lateMs: 600,
    patienceMs: 3_000,
    signal: new AbortController().signal,
    reserve: async () => undefined,
    drop: () => {},
    ...change,
  };
}

interface Outcome {
  onTime: number;
  late: number;
  refused: number;
}

/** Plays arrivals at a fixed interval and counts what callers get. */
async function play(intervalMs: number, totalMs: number): Promise<Outcome> {
  const outcome: Outcome = { onTime: 0, late: 0, refused: 0 };
  const queue: EngineQueue<number> = createEngineQueue({ retryAfterMs: () => 3_000 });
  const memory = createMemory(10, 3_000, () => queue.notifyFree());
  const requests: Promise<void>[] = [];
  for (let time = 0; time < totalMs; time += intervalMs) {
    const arrivedAt = performance.now();
    requests.push(
      queue.wait(createRequest({ reserve: memory.take })).then((result) => {
        if (result.isErr()) outcome.refused += 1;
        else if (performance.now() - arrivedAt <= 600) outcome.onTime += 1;
        else outcome.late += 1;
      }),
    );
    await vi.advanceTimersByTimeAsync(intervalMs);
  }
  await vi.advanceTimersByTimeAsync(10_000);
  await Promise.all(requests);
  return outcome;
}

// Serving in order of arrival makes every request late once the backlog is longer than the target.
test('in an overload of twice the memory, nearly all of the memory serves punctual requests', async () => {
  const { onTime, late, refused } = await play(150, 30_000);
  // 200 requests; memory serves 10 in 3 s, hence 100 in 30 s.
  expect(onTime).toBeGreaterThanOrEqual(90);
  expect(onTime + late + refused).toBe(200);
});

test('within the memory nobody waits past the target and nobody is refused', async () => {
  const { onTime, late, refused } = await play(320, 30_000);
  expect({ late, refused }).toEqual({ late: 0, refused: 0 });
  expect(onTime).toBe(94);
});

// A timer that fires early by the monotonic clock must not leave the queue without a next attempt.
test('a late request is served once memory is free again', async () => {
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

test('a request that is given up is refused as not run with a time to come back', async () => {
  const queue: EngineQueue<number> = createEngineQueue({ retryAfterMs: () => 3_000 });
  const waiting = queue.wait(createRequest({}));
  await vi.advanceTimersByTimeAsync(3_100);
  const error = (await waiting)._unsafeUnwrapErr();
  expect(error).toMatchObject({ kind: 'no_capacity', effect: 'not_run', retryAfterMs: 3_000 });
  expect(queue.size()).toBe(0);
});

// A reservation that nobody gives back holds memory for the engine's whole time limit.
test('a reservation that comes after its caller left is given back', async () => {
  const queue: EngineQueue<number> = createEngineQueue({ retryAfterMs: () => 3_000 });
  const controller = new AbortController();
  const drop = vi.fn();
  const waiting = queue.wait(
    createRequest({
      signal: controller.signal,
      drop,
      reserve: async () => {
        await sleep(50);
        return 7;
      },
    }),
  );
  controller.abort();
  await vi.advanceTimersByTimeAsync(100);
  expect((await waiting)._unsafeUnwrapErr().kind).toBe('cancelled');
  expect(drop).toHaveBeenCalledWith(7);
});
