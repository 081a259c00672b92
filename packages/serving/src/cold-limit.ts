/**
 * Limits the rate of requests to upstreams in slow start. The limit applies to all nodes together,
 * so each uses its share. While the share is below one request per second, only a few nodes
 * selected by hash may use the upstream. A request takes a permit when its upstream is chosen and not
 * when it is sent: meanwhile others choose, and all of them could be sent in the same moment.
 */
import { monotonicMs, rankByRendezvous } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import type { KnownUpstream } from './directory.js';

const WINDOW_MS = 1_000;
/** Fraction of the configured rate that is used, since network delays can bunch requests. */
const USED_SHARE = 0.9;

export interface ColdLimitOptions {
  readonly self: string;
  /** Returns the names of all registered nodes, including this one; empty while they are not known. */
  readonly nodes: () => readonly string[];
}

/** The right to send one request. It counts until a window after the send, or until its release. */
export interface ColdPermit {
  /** Records that the request is sent now. */
  recordSend(): void;
  /** Returns the permit if the request was not sent. */
  release(): void;
}

export interface ColdLimit {
  /** Whether an upstream may get another request; upstreams that are not cold always may. */
  isAllowed(upstream: KnownUpstream, requestsPerSecond: number): boolean;
  /** Takes a permit, `undefined` if none is left. */
  take(upstream: KnownUpstream, requestsPerSecond: number): ColdPermit | undefined;
  /** Drops what is known of all upstreams except the given ones. */
  retain(upstreams: ReadonlySet<UpstreamId>): void;
}

interface Usage {
  /** Times of the sends of the last window. */
  sends: number[];
  /** Permits whose request has not been sent. */
  unsent: number;
}

/** Creates the limit of one node. */
export function createColdLimit({ self, nodes }: ColdLimitOptions): ColdLimit {
  const usages = new Map<UpstreamId, Usage>();

  const computeShare = (upstream: UpstreamId, requestsPerSecond: number): number => {
    const all = nodes();
    if (all.length === 0) return 0;
    const usableRate = Math.floor(requestsPerSecond * USED_SHARE);
    const share = Math.floor(usableRate / all.length);
    if (share >= 1) return share;
    const ranked = rankByRendezvous(upstream, all);
    return ranked.indexOf(self) < Math.max(1, usableRate) ? 1 : 0;
  };

  const readUsage = (upstream: UpstreamId): Usage => {
    const usage = usages.get(upstream) ?? { sends: [], unsent: 0 };
    usages.set(upstream, usage);
    const start = monotonicMs() - WINDOW_MS;
    usage.sends = usage.sends.filter((time) => time > start);
    return usage;
  };

  const isAllowed = (upstream: KnownUpstream, requestsPerSecond: number): boolean => {
    if (requestsPerSecond <= 0 || upstream.coldUntil <= monotonicMs()) return true;
    const { sends, unsent } = readUsage(upstream.id);
    return sends.length + unsent < computeShare(upstream.id, requestsPerSecond);
  };

  return {
    isAllowed,
    take: (upstream, requestsPerSecond) => {
      if (!isAllowed(upstream, requestsPerSecond)) return undefined;
      const usage = readUsage(upstream.id);
      let isUnsent = true;
      usage.unsent += 1;
      const settle = (): boolean => {
        if (!isUnsent) return false;
        isUnsent = false;
        usage.unsent -= 1;
        return true;
      };
      return {
        recordSend: () => {
          if (settle()) usage.sends.push(monotonicMs());
        },
        release: () => {
          settle();
        },
      };
    },
    retain: (upstreams) => {
      for (const id of usages.keys()) if (!upstreams.has(id)) usages.delete(id);
    },
  };
}
