/**
 * Retry budget: bounds the sends of a node beyond the first send of each request. For each pool the
 * fleet's limit in a window is a fraction of its requests plus a fixed allowance. Each node uses
 * the fraction of its own requests and its share of the allowance, so the limit holds without
 * coordination.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId } from '@hibiscusbank/core';

export interface RetryBudgetOptions {
  /** Retries permitted per request. */
  readonly ratio: number;
  /** Retries of the whole fleet permitted in a window regardless of the number of requests. */
  readonly allowance: number;
  readonly windowMs: number;
  /** Returns the number of nodes that share the allowance; `undefined` while it is not known. */
  readonly nodes: () => number | undefined;
}

export interface RetryBudget {
  recordRequest(pool: PoolId): void;
  /** Whether a retry is permitted now. */
  canTake(pool: PoolId): boolean;
  /** Uses the budget for one retry. Returns false when the budget is used up. */
  take(pool: PoolId): boolean;
}

/**
 * Fraction of the retries per request that is used. The margin covers requests that are counted here
 * but never reach the pool, and therefore do not raise the limit of the fleet.
 */
const USED_SHARE = 0.85;
/**
 * Fraction of the allowance that is used. A restarted node has lost its count, so in the first window of its
 * process it uses no more than the rest.
 */
const USED_ALLOWANCE_SHARE = 0.6;
const FIRST_WINDOW_ALLOWANCE_SHARE = 0.3;

interface PoolBudget {
  requests: number[];
  retries: number[];
}

function dropOlder(times: number[], before: number): void {
  let count = 0;
  while (count < times.length && (times[count] as number) < before) count += 1;
  if (count > 0) times.splice(0, count);
}

/** Creates the retry budget of one node. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, allowance, windowMs, nodes } = options;
  const pools = new Map<PoolId, PoolBudget>();
  const startedAt = monotonicMs();

  /** Returns the part of the allowance that this node may use now. */
  const allowanceShare = (): number => {
    const count = nodes();
    if (count === undefined) return 0;
    const isFirstWindow = monotonicMs() - startedAt < windowMs;
    const share = isFirstWindow ? FIRST_WINDOW_ALLOWANCE_SHARE : USED_ALLOWANCE_SHARE;
    return (allowance * share) / Math.max(1, count);
  };

  const currentBudget = (pool: PoolId): PoolBudget => {
    let budget = pools.get(pool);
    if (budget === undefined) {
      budget = { requests: [], retries: [] };
      pools.set(pool, budget);
    }
    const start = monotonicMs() - windowMs;
    dropOlder(budget.requests, start);
    dropOlder(budget.retries, start);
    return budget;
  };

  const canTake = (pool: PoolId): boolean => {
    const budget = currentBudget(pool);
    const limit = Math.floor(USED_SHARE * ratio * budget.requests.length + allowanceShare());
    return budget.retries.length < limit;
  };

  return {
    canTake,
    recordRequest: (pool) => {
      currentBudget(pool).requests.push(monotonicMs());
    },
    take: (pool) => {
      if (!canTake(pool)) return false;
      currentBudget(pool).retries.push(monotonicMs());
      return true;
    },
  };
}
