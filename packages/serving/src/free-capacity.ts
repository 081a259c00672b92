/**
 * Decides whether a pool has capacity that no other request waits for. Organisations over their rate
 * are served beyond it only then. Designed for bursts of one organisation beside light ones: as
 * soon as requests wait, or the pool is nearly full, all organisations are held to their rates. The
 * function makes no network calls, so that tests can simulate load.
 */

/** Fraction of a pool that must be free. It absorbs requests that other nodes place meanwhile. */
const MIN_FREE_SHARE = 0.15;

export interface PoolUse {
  /** Requests of this node that wait for the pool. */
  readonly waiting: number;
  /** Requests at plain upstreams, or tokens on decode engines, over all nodes. */
  readonly used: number;
  readonly capacity: number;
}

/** Whether a request of size `size`, in the unit of `use`, takes no capacity that others need. */
export function hasFreeCapacity(use: PoolUse, size: number): boolean {
  return use.waiting === 0 && use.used + size <= use.capacity * (1 - MIN_FREE_SHARE);
}
