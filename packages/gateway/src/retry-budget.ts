/** Bounds retries to a share of the requests, so that they never multiply the load. */

const RETRY_SHARE = 0.1;
/** Saved-up retries, which cover the failure of one upstream with its running requests. */
const MAX_SAVED_RETRIES = 20;

export interface RetryBudget {
  /** Counts a request, which earns a share of a retry. */
  recordRequest(pool: string): void;
  /** Takes one retry; false when the budget is used up. */
  takeRetry(pool: string): boolean;
}

/** Creates the budget of a node, kept per pool. */
export function createRetryBudget(): RetryBudget {
  const saved = new Map<string, number>();
  const read = (pool: string): number => saved.get(pool) ?? MAX_SAVED_RETRIES;
  return {
    recordRequest: (pool) => {
      saved.set(pool, Math.min(MAX_SAVED_RETRIES, read(pool) + RETRY_SHARE));
    },
    takeRetry: (pool) => {
      const left = read(pool);
      if (left < 1) return false;
      saved.set(pool, left - 1);
      return true;
    },
  };
}
