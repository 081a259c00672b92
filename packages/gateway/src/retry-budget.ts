/** Limits retries to a share of the requests, so that retries cannot multiply the load. */

const RETRIES_PER_REQUEST = 0.1;
/** Enough to retry the running requests of one failed upstream. */
const MAX_AVAILABLE_RETRIES = 20;

export interface RetryBudget {
  /** Counts a request, which adds `RETRIES_PER_REQUEST` to the budget. */
  recordRequest(pool: string): void;
  /** Takes one retry; returns false if the budget is used up. */
  takeRetry(pool: string): boolean;
}

/** Creates the retry budgets of a node, one per pool. */
export function createRetryBudget(): RetryBudget {
  const availableByPool = new Map<string, number>();
  const readAvailable = (pool: string): number =>
    availableByPool.get(pool) ?? MAX_AVAILABLE_RETRIES;
  return {
    recordRequest: (pool) => {
      availableByPool.set(
        pool,
        Math.min(MAX_AVAILABLE_RETRIES, readAvailable(pool) + RETRIES_PER_REQUEST),
      );
    },
    takeRetry: (pool) => {
      const availableRetries = readAvailable(pool);
      if (availableRetries < 1) return false;
      availableByPool.set(pool, availableRetries - 1);
      return true;
    },
  };
}
