/**
 * Bounds what a node sends to an upstream in cold start. The bound holds for all nodes together, so
 * each takes its part; while the part is under one request a second, a few nodes chosen by hash may
 * use the upstream.
 */
import { monotonicMs, rankByRendezvous } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';

const WINDOW_MS = 1_000;
/** Part of the stated rate that is used, since requests bunch on the way. */
const USED_SHARE = 0.9;

export interface ColdLimitOptions {
  readonly self: string;
  /** All registered nodes, this one included. */
  readonly nodes: () => readonly string[];
}

export interface ColdLimit {
  /** Whether one more request may go to a cold upstream now. */
  hasRoom(upstream: UpstreamId, requestsPerSecond: number): boolean;
  record(upstream: UpstreamId): void;
}

/** Creates the limit of one node. */
export function createColdLimit({ self, nodes }: ColdLimitOptions): ColdLimit {
  const sends = new Map<UpstreamId, number[]>();

  const readPart = (upstream: UpstreamId, requestsPerSecond: number): number => {
    const all = nodes();
    const usable = Math.floor(requestsPerSecond * USED_SHARE);
    const part = Math.floor(usable / Math.max(1, all.length));
    if (part >= 1) return part;
    const ranked = rankByRendezvous(upstream, all);
    return ranked.indexOf(self) < Math.max(1, usable) ? 1 : 0;
  };

  return {
    hasRoom: (upstream, requestsPerSecond) => {
      if (requestsPerSecond <= 0) return true;
      const start = monotonicMs() - WINDOW_MS;
      const recent = (sends.get(upstream) ?? []).filter((time) => time > start);
      sends.set(upstream, recent);
      return recent.length < readPart(upstream, requestsPerSecond);
    },
    record: (upstream) => {
      const recent = sends.get(upstream) ?? [];
      recent.push(monotonicMs());
      sends.set(upstream, recent);
    },
  };
}
