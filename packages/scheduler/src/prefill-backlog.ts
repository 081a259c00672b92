/** Backlog of prefills on one engine, which runs them sequentially. */
import type { GrantId } from '@hibiscusbank/core';

export interface PrefillBacklog {
  add(grant: GrantId, estimateMs: number, now: number): void;
  remove(grant: GrantId, now: number): void;
  /** Returns the expected time until the engine has run all prefills of the backlog. */
  remainingMs(now: number): number;
  count(): number;
}

/** Creates the backlog of one engine. */
export function createPrefillBacklog(): PrefillBacklog {
  const pending = new Map<GrantId, number>();
  let totalMs = 0;
  let headSince = 0;
  const headMs = (): number => pending.values().next().value ?? 0;
  return {
    add: (grant, estimateMs, now) => {
      if (pending.has(grant)) return;
      if (pending.size === 0) headSince = now;
      pending.set(grant, estimateMs);
      totalMs += estimateMs;
    },
    remove: (grant, now) => {
      const estimateMs = pending.get(grant);
      if (estimateMs === undefined) return;
      if (pending.keys().next().value === grant) headSince = now;
      pending.delete(grant);
      totalMs = pending.size === 0 ? 0 : totalMs - estimateMs;
    },
    // Elapsed time shortens only the first prefill. An overdue one must not hide those behind it.
    remainingMs: (now) => totalMs - Math.min(headMs(), now - headSince),
    count: () => pending.size,
  };
}
