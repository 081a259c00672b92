/** Counts work in progress on each upstream: this node's and what other nodes reported. */
import type { UpstreamId } from '@hibiscusbank/core';

/**
 * Load of one node on one upstream: requests in progress, and their prefilled or reserved tokens.
 */
export type UpstreamWork = readonly [requests: number, tokens: number];

export type WorkReport = Readonly<Record<string, UpstreamWork>>;

export interface UpstreamLoads {
  /** Counts a request until the returned function is called. */
  begin(upstream: UpstreamId, tokens: number): () => void;
  own(): WorkReport;
  ownRequests(upstream: UpstreamId): number;
  /** Replaces the previous report of a peer. */
  applyPeer(peer: string, report: WorkReport): void;
  dropPeer(peer: string): void;
  requests(upstream: UpstreamId): number;
  tokens(upstream: UpstreamId): number;
}

/** Creates the load counters of one node. */
export function createUpstreamLoads(): UpstreamLoads {
  const own = new Map<string, [number, number]>();
  const peers = new Map<string, WorkReport>();
  // Sums over all peers are updated with each report, since every placement reads all upstreams.
  const peerSums = new Map<string, [number, number]>();

  const addToSums = (report: WorkReport, sign: 1 | -1): void => {
    for (const [upstream, [requests, tokens]] of Object.entries(report)) {
      const total = peerSums.get(upstream) ?? [0, 0];
      total[0] += sign * requests;
      total[1] += sign * tokens;
      if (total[0] === 0 && total[1] === 0) peerSums.delete(upstream);
      else peerSums.set(upstream, total);
    }
  };

  const replacePeer = (peer: string, report: WorkReport | undefined): void => {
    const before = peers.get(peer);
    if (before !== undefined) addToSums(before, -1);
    if (report === undefined) {
      peers.delete(peer);
      return;
    }
    addToSums(report, 1);
    peers.set(peer, report);
  };

  const sum = (upstream: UpstreamId, index: 0 | 1): number =>
    (own.get(upstream)?.[index] ?? 0) + (peerSums.get(upstream)?.[index] ?? 0);

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
    own: () =>
      Object.fromEntries(
        [...own].map(([upstream, [requests, tokens]]) => [upstream, [requests, tokens]]),
      ),
    ownRequests: (upstream) => own.get(upstream)?.[0] ?? 0,
    applyPeer: replacePeer,
    dropPeer: (peer) => replacePeer(peer, undefined),
    requests: (upstream) => sum(upstream, 0),
    tokens: (upstream) => sum(upstream, 1),
  };
}
