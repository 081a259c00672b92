/** Counts work in progress on each upstream: this node's and what other nodes reported. */
import type { UpstreamId } from '@hibiscusbank/core';

/**
 * Load of one node on one upstream: requests in progress and their tokens, which are prompt tokens
 * on a prefill engine, reserved tokens on a decode engine, and 0 on a plain upstream.
 */
export type UpstreamLoad = readonly [requests: number, tokens: number];

export type LoadReport = Readonly<Record<string, UpstreamLoad>>;

export interface UpstreamLoads {
  /** Counts a request until the returned function is called. */
  begin(upstream: UpstreamId, tokens: number): () => void;
  localReport(): LoadReport;
  localRequests(upstream: UpstreamId): number;
  /** Replaces the previous report of a peer. */
  applyPeer(peer: string, report: LoadReport): void;
  dropPeer(peer: string): void;
  requests(upstream: UpstreamId): number;
  tokens(upstream: UpstreamId): number;
}

/** Creates the load counters of one node. */
export function createUpstreamLoads(): UpstreamLoads {
  const local = new Map<string, [number, number]>();
  const peers = new Map<string, LoadReport>();
  // Sums over all peers are updated with each report, since every placement reads all upstreams.
  const peerSums = new Map<string, [number, number]>();

  const addToSums = (report: LoadReport, sign: 1 | -1): void => {
    for (const [upstream, [requests, tokens]] of Object.entries(report)) {
      const total = peerSums.get(upstream) ?? [0, 0];
      total[0] += sign * requests;
      total[1] += sign * tokens;
      if (total[0] === 0 && total[1] === 0) peerSums.delete(upstream);
      else peerSums.set(upstream, total);
    }
  };

  const replacePeer = (peer: string, report: LoadReport | undefined): void => {
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
    (local.get(upstream)?.[index] ?? 0) + (peerSums.get(upstream)?.[index] ?? 0);

  return {
    begin: (upstream, tokens) => {
      const load = local.get(upstream) ?? [0, 0];
      load[0] += 1;
      load[1] += tokens;
      local.set(upstream, load);
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        load[0] -= 1;
        load[1] -= tokens;
        if (load[0] === 0 && local.get(upstream) === load) local.delete(upstream);
      };
    },
    localReport: () =>
      Object.fromEntries(
        [...local].map(([upstream, [requests, tokens]]) => [upstream, [requests, tokens]]),
      ),
    localRequests: (upstream) => local.get(upstream)?.[0] ?? 0,
    applyPeer: replacePeer,
    dropPeer: (peer) => replacePeer(peer, undefined),
    requests: (upstream) => sum(upstream, 0),
    tokens: (upstream) => sum(upstream, 1),
  };
}
