/** Keeps the last report of each live peer. */
import { monotonicMs } from '@hibiscusbank/core';
import type { PeerReport } from './peer-reports.js';

export interface HeardPeers {
  /** Stores a report. Returns false for a report that is not newer than the stored one. */
  note(report: PeerReport): boolean;
  /** Removes peers whose last contact is longer ago than `timeoutMs` and returns their names. */
  dropSilent(limitMs: (peer: PeerReport) => number): readonly string[];
  has(node: string): boolean;
  reports(): readonly PeerReport[];
}

function isOlder(report: PeerReport, known: PeerReport): boolean {
  if (report.startedAt !== known.startedAt) return report.startedAt < known.startedAt;
  return report.sequence <= known.sequence;
}

export function createHeardPeers(): HeardPeers {
  const heard = new Map<string, { readonly report: PeerReport; readonly at: number }>();
  return {
    note: (report) => {
      const known = heard.get(report.node)?.report;
      if (known !== undefined && isOlder(report, known)) return false;
      heard.set(report.node, { report, at: monotonicMs() });
      return true;
    },
    dropSilent: (limitMs) => {
      const now = monotonicMs();
      const silent = [...heard]
        .filter(([, { at, report }]) => now - at > limitMs(report))
        .map(([node]) => node);
      for (const node of silent) heard.delete(node);
      return silent;
    },
    has: (node) => heard.has(node),
    reports: () => [...heard.values()].map(({ report }) => report),
  };
}
