/** Decides when an engine changes between prefill and decode. */
import { monotonicMs } from '@hibiscusbank/core';
import type { CellBacklog } from './types.js';

/** Hysteresis: the imbalance must be this large for this long before one engine changes role. */
const IMBALANCE_FACTOR = 2;
const IMBALANCE_TIME_MS = 30_000;
/** Backlogs below this are noise. */
const MIN_BACKLOG_MS = 500;
/** After a change its effect must show before the next one. */
const BACKOFF_MS = 60_000;

export type ScarceRole = 'prefill' | 'decode';

export interface RoleBalance {
  /** Returns the role that needs one more engine now, if any. */
  observe(backlog: CellBacklog): ScarceRole | undefined;
  /** Records that a change was made. */
  recordChange(): void;
}

function findScarce({ prefillMs, decodeMs }: CellBacklog): ScarceRole | undefined {
  if (prefillMs > MIN_BACKLOG_MS && prefillMs > decodeMs * IMBALANCE_FACTOR) return 'prefill';
  if (decodeMs > MIN_BACKLOG_MS && decodeMs > prefillMs * IMBALANCE_FACTOR) return 'decode';
  return undefined;
}

/** Creates the balance of one cell. */
export function createRoleBalance(): RoleBalance {
  let scarce: ScarceRole | undefined;
  let since = 0;
  let nextChangeAt = 0;
  return {
    observe: (backlog) => {
      const now = monotonicMs();
      const observed = findScarce(backlog);
      if (observed !== scarce) {
        scarce = observed;
        since = now;
      }
      const isDue = now - since >= IMBALANCE_TIME_MS && now >= nextChangeAt;
      return isDue ? scarce : undefined;
    },
    recordChange: () => {
      nextChangeAt = monotonicMs() + BACKOFF_MS;
      scarce = undefined;
    },
  };
}
