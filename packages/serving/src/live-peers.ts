/** Keeps the last report of each live peer. */
import { monotonicMs } from '@hibiscusbank/core';
import type { KnownPeer, PeerReport } from './peer-reports.js';

export interface LivePeers {
  /** Stores a report. Returns false for a report that is not newer than the stored one. */
  record(report: PeerReport): boolean;
  /** Removes peers whose last contact is longer ago than `timeoutMs` and returns their names. */
  dropTimedOut(timeoutMs: (peer: PeerReport) => number): readonly string[];
  has(node: string): boolean;
  /** Returns the start of a live peer's process in Unix milliseconds. */
  startOf(node: string): number | undefined;
  /** Whether a node timed out and has not reported since. */
  hasTimedOut(node: string): boolean;
  names(): readonly string[];
  reports(): readonly PeerReport[];
}

function isOlder(report: PeerReport, known: PeerReport): boolean {
  if (report.startedAt !== known.startedAt) return report.startedAt < known.startedAt;
  return report.sequence <= known.sequence;
}

/** Returns the peers by address, without this node. Later entries replace earlier ones. */
export function mergePeers(self: KnownPeer, peers: readonly KnownPeer[]): readonly KnownPeer[] {
  const byAddress = new Map(peers.map((peer) => [`${peer.host}:${peer.port}`, peer]));
  byAddress.delete(`${self.host}:${self.port}`);
  return [...byAddress.values()];
}

export function createLivePeers(): LivePeers {
  const lastReports = new Map<string, { readonly report: PeerReport; readonly at: number }>();
  const timedOutNodes = new Set<string>();
  return {
    hasTimedOut: (node) => timedOutNodes.has(node),
    record: (report) => {
      const known = lastReports.get(report.node)?.report;
      if (known !== undefined && isOlder(report, known)) return false;
      lastReports.set(report.node, { report, at: monotonicMs() });
      timedOutNodes.delete(report.node);
      return true;
    },
    dropTimedOut: (timeoutMs) => {
      const now = monotonicMs();
      const timedOut = [...lastReports]
        .filter(([, { at, report }]) => now - at > timeoutMs(report))
        .map(([node]) => node);
      for (const node of timedOut) {
        lastReports.delete(node);
        timedOutNodes.add(node);
      }
      return timedOut;
    },
    names: () => [...lastReports.keys()],
    has: (node) => lastReports.has(node),
    startOf: (node) => lastReports.get(node)?.report.startedAt,
    reports: () => [...lastReports.values()].map(({ report }) => report),
  };
}
