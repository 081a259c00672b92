/** The queues for free engines, one for each pool. */
import type { PoolId } from '@hibiscusbank/core';
import type { EngineReservation } from './context.js';
import { createEngineQueue } from './engine-queue.js';
import type { EngineQueue } from './engine-queue.js';

/** Returns a function that creates the queue of a pool at its first use. */
export function createEngineQueues(
  retryAfterMs: () => number,
): (pool: PoolId) => EngineQueue<EngineReservation> {
  const queues = new Map<PoolId, EngineQueue<EngineReservation>>();
  return (pool) => {
    const queue = queues.get(pool) ?? createEngineQueue<EngineReservation>({ retryAfterMs });
    queues.set(pool, queue);
    return queue;
  };
}
