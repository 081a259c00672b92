/** Decides when an engine is moved between the prefill and decode roles. */
import { monotonicMs } from '@hibiscusbank/core';
import type { CellBacklog } from './types.js';

/** A role is scarce if its backlog is more than this factor above the backlog of the other role. */
const IMBALANCE_FACTOR = 2;
/** Hysteresis: an engine changes role only after the same role was scarce for this time. */
const MIN_IMBALANCE_DURATION_MS = 30_000;
/** Smaller backlogs are ignored as noise. */
const MIN_BACKLOG_MS = 500;
/** Minimum time between role changes, so that the effect of one is visible before the next. */
const ROLE_CHANGE_COOLDOWN_MS = 60_000;

export type ScarceRole = 'prefill' | 'decode';

export interface RoleBalance {
  /** Returns the role to which one engine should move now, if any. */
  observe(backlog: CellBacklog): ScarceRole | undefined;
  /** Starts the cooldown, during which `observe` returns `undefined`. */
  recordChange(): void;
}

function findScarce({ prefillMs, decodeMs }: CellBacklog): ScarceRole | undefined {
  if (prefillMs > MIN_BACKLOG_MS && prefillMs > decodeMs * IMBALANCE_FACTOR) return 'prefill';
  if (decodeMs > MIN_BACKLOG_MS && decodeMs > prefillMs * IMBALANCE_FACTOR) return 'decode';
  return undefined;
}

/** Creates the role balance of one cell. */
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
      const isDue = now - since >= MIN_IMBALANCE_DURATION_MS && now >= nextChangeAt;
      return isDue ? scarce : undefined;
    },
    recordChange: () => {
      nextChangeAt = monotonicMs() + ROLE_CHANGE_COOLDOWN_MS;
      scarce = undefined;
    },
  };
}
