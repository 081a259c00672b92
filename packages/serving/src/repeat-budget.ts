/**
 * Bounds what a node sends beyond the first send of each request. The fleet's bound for a pool is a
 * share of its requests plus a fixed allowance in each window; every node keeps to its own requests'
 * share and to its part of the allowance, so the sum holds without a message.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId } from '@hibiscusbank/core';

export interface RepeatBudgetOptions {
  /** Extra sends for each request. */
  readonly ratio: number;
  /** Extra sends of the whole fleet in a window, whatever its requests. */
  readonly allowance: number;
  readonly windowMs: number;
  /** Nodes that may spend a part of the allowance at present. */
  readonly nodes: () => number;
}

export interface RepeatBudget {
  recordRequest(pool: PoolId): void;
  /** Whether an extra send could be taken now. */
  hasRoom(pool: PoolId): boolean;
  /** Takes one extra send; false when the budget is used up. */
  take(pool: PoolId): boolean;
}

/** Part of the bound that is used; requests that never reach the pool count in no window. */
const USED_SHARE = 0.85;
/** Nodes that restart forget what they spent, so a part of the allowance is kept for them. */
const ALLOWANCE_SHARE = 0.6;

interface PoolBudget {
  requests: number[];
  repeats: number[];
}

function dropOld(times: number[], before: number): void {
  let count = 0;
  while (count < times.length && (times[count] as number) < before) count += 1;
  if (count > 0) times.splice(0, count);
}

/** Creates the budget of one node. */
export function createRepeatBudget(options: RepeatBudgetOptions): RepeatBudget {
  const { ratio, allowance, windowMs, nodes } = options;
  const pools = new Map<PoolId, PoolBudget>();

  const read = (pool: PoolId): PoolBudget => {
    let budget = pools.get(pool);
    if (budget === undefined) {
      budget = { requests: [], repeats: [] };
      pools.set(pool, budget);
    }
    const start = monotonicMs() - windowMs;
    dropOld(budget.requests, start);
    dropOld(budget.repeats, start);
    return budget;
  };

  const hasRoom = (pool: PoolId): boolean => {
    const budget = read(pool);
    const part = (allowance * ALLOWANCE_SHARE) / Math.max(1, nodes());
    const limit = Math.floor(USED_SHARE * ratio * budget.requests.length + part);
    return budget.repeats.length < limit;
  };

  return {
    hasRoom,
    recordRequest: (pool) => {
      read(pool).requests.push(monotonicMs());
    },
    take: (pool) => {
      if (!hasRoom(pool)) return false;
      read(pool).repeats.push(monotonicMs());
      return true;
    },
  };
}
