/** Work that is under way on each upstream: this node's own, and what other nodes reported. */
import type { UpstreamId } from '@hibiscusbank/core';

/** Work of one node on one upstream: requests, and the tokens that they occupy or have read. */
export type UpstreamWork = readonly [requests: number, tokens: number];

export type WorkReport = Readonly<Record<string, UpstreamWork>>;

export interface UpstreamLoads {
  /** Counts a request until the returned function is called. */
  begin(upstream: UpstreamId, tokens: number): () => void;
  own(): WorkReport;
  ownRequests(upstream: UpstreamId): number;
  /** Replaces what a peer reported earlier. */
  applyPeer(peer: string, report: WorkReport): void;
  dropPeer(peer: string): void;
  requests(upstream: UpstreamId): number;
  tokens(upstream: UpstreamId): number;
}

/** Creates empty loads. */
export function createUpstreamLoads(): UpstreamLoads {
  const own = new Map<string, [number, number]>();
  const peers = new Map<string, WorkReport>();

  const sum = (upstream: UpstreamId, index: 0 | 1): number => {
    let total = own.get(upstream)?.[index] ?? 0;
    for (const report of peers.values()) total += report[upstream]?.[index] ?? 0;
    return total;
  };

  return {
    begin: (upstream, tokens) => {
      const work = own.get(upstream) ?? [0, 0];
      work[0] += 1;
      work[1] += tokens;
      own.set(upstream, work);
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        work[0] -= 1;
        work[1] -= tokens;
        if (work[0] === 0 && own.get(upstream) === work) own.delete(upstream);
      };
    },
    own: () => Object.fromEntries(own),
    ownRequests: (upstream) => own.get(upstream)?.[0] ?? 0,
    applyPeer: (peer, report) => {
      peers.set(peer, report);
    },
    dropPeer: (peer) => {
      peers.delete(peer);
    },
    requests: (upstream) => sum(upstream, 0),
    tokens: (upstream) => sum(upstream, 1),
  };
}
