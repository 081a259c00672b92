/**
 * Counts the time that prefill engines spend on prompts, over all nodes. Only successful prefills
 * count: a call to an unresponsive engine lasts until its time-out without any work being done.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId } from '@hibiscusbank/core';

/** Prefill time in milliseconds, by pool. */
export type PrefillTotals = Readonly<Record<string, number>>;

export interface PrefillWork {
  /** Adds one prompt that took `ms`. */
  record(pool: PoolId, ms: number): void;
  /** Returns the totals of this node since its start. */
  localTotals(): PrefillTotals;
  /** Applies the totals of another node. `epoch` changes when that node restarts. */
  applyPeer(peer: string, epoch: number, totals: PrefillTotals): void;
  /** Returns the mean number of prompts in progress in a pool since the previous call. */
  takeMean(pool: PoolId): number;
}

interface Pending {
  ms: number;
  since: number;
}

/** Creates a counter for one node and its peers. */
export function createPrefillWork(): PrefillWork {
  const peers = new Map<string, { readonly epoch: number; readonly totals: PrefillTotals }>();
  const local = new Map<string, number>();
  const pending = new Map<string, Pending>();

  const add = (pool: string, ms: number): void => {
    const known = pending.get(pool) ?? { ms: 0, since: monotonicMs() };
    known.ms += ms;
    pending.set(pool, known);
  };

  return {
    record: (pool, ms) => {
      local.set(pool, (local.get(pool) ?? 0) + ms);
      add(pool, ms);
    },
    localTotals: () => Object.fromEntries([...local].map(([pool, ms]) => [pool, Math.round(ms)])),
    applyPeer: (peer, epoch, totals) => {
      const known = peers.get(peer);
      peers.set(peer, { epoch, totals });
      // The first totals of a peer include work from before this node knew it, which is not recent.
      if (known?.epoch !== epoch) return;
      for (const [pool, ms] of Object.entries(totals)) {
        add(pool, Math.max(0, ms - (known.totals[pool] ?? 0)));
      }
    },
    takeMean: (pool) => {
      const now = monotonicMs();
      const known = pending.get(pool);
      pending.set(pool, { ms: 0, since: now });
      if (known === undefined || now <= known.since) return 0;
      return known.ms / (now - known.since);
    },
  };
}
