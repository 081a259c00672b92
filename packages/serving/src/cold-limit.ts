/**
 * Limits the rate of requests to upstreams in slow start. The limit applies to all nodes together,
 * so each uses its share. While the share is below one request per second, only a few nodes
 * selected by hash may use the upstream.
 */
import { monotonicMs, rankByRendezvous } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';

const WINDOW_MS = 1_000;
/** Fraction of the configured rate that is used, since network delays can bunch requests. */
const USED_SHARE = 0.9;

export interface ColdLimitOptions {
  readonly self: string;
  /** Returns the names of all registered nodes, including this one. */
  readonly nodes: () => readonly string[];
}

export interface ColdLimit {
  /** Whether a cold upstream may get another request now. */
  isAllowed(upstream: UpstreamId, requestsPerSecond: number): boolean;
  record(upstream: UpstreamId): void;
}

/** Creates the limit of one node. */
export function createColdLimit({ self, nodes }: ColdLimitOptions): ColdLimit {
  const recentSends = new Map<UpstreamId, number[]>();

  const computeShare = (upstream: UpstreamId, requestsPerSecond: number): number => {
    const all = nodes();
    const usableRate = Math.floor(requestsPerSecond * USED_SHARE);
    const share = Math.floor(usableRate / Math.max(1, all.length));
    if (share >= 1) return share;
    const ranked = rankByRendezvous(upstream, all);
    return ranked.indexOf(self) < Math.max(1, usableRate) ? 1 : 0;
  };

  return {
    isAllowed: (upstream, requestsPerSecond) => {
      if (requestsPerSecond <= 0) return true;
      const start = monotonicMs() - WINDOW_MS;
      const recent = (recentSends.get(upstream) ?? []).filter((time) => time > start);
      recentSends.set(upstream, recent);
      return recent.length < computeShare(upstream, requestsPerSecond);
    },
    record: (upstream) => {
      const recent = recentSends.get(upstream) ?? [];
      recent.push(monotonicMs());
      recentSends.set(upstream, recent);
    },
  };
}
