/**
 * Detects data centres from which no node reports any more: they are cut off, or all their nodes
 * have stopped. In a large fleet a single remote peer reports only every few seconds, but all nodes
 * of a data centre together report several times per second, so their silence shows much sooner
 * than the time-out of a single peer.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { LivePeers } from './live-peers.js';
import { isLargeFleet, remoteReportIntervalMs } from './peer-reports.js';
import type { KnownPeer } from './peer-reports.js';

/** A lost report or a short pause of a process is not silence. */
const MIN_SILENCE_MS = 1_200;
/**
 * Mean intervals between two reports of a data centre that make a silence. The nodes report
 * independently of each other, so much longer gaps than the mean are common.
 */
const SILENCE_INTERVALS = 8;

export interface DataCentreContact {
  /** Records a report of a node in a data centre. */
  record(dataCentre: string | undefined): void;
  /** Returns the data centres that became silent. Called with each round of reports. */
  check(): readonly string[];
  /** Whether a data centre is the local one, or reports of it were received recently. */
  isHeard(dataCentre: string | undefined): boolean;
  /** Whether reports of a data centre were received before, but not recently. */
  isSilent(dataCentre: string | undefined): boolean;
}

export interface DataCentreContactOptions {
  /** The local data centre, which is never silent. */
  readonly local: string;
  /** Returns the known peers, without this node. */
  readonly peers: () => readonly KnownPeer[];
  readonly telemetry: Telemetry;
}

/** Returns the silence in milliseconds after which a data centre of `nodes` nodes is silent. */
export function silenceLimitMs(nodes: number, fleet: number): number {
  const meanGapMs = remoteReportIntervalMs(fleet - nodes, fleet) / Math.max(1, nodes);
  return Math.max(MIN_SILENCE_MS, SILENCE_INTERVALS * meanGapMs);
}

/** Creates the detection of one node. */
export function createDataCentreContact(options: DataCentreContactOptions): DataCentreContact {
  const { local, peers, telemetry } = options;
  const heardAt = new Map<string, number>();
  const silent = new Set<string>();

  return {
    isHeard: (dataCentre) =>
      dataCentre === local ||
      (dataCentre !== undefined && heardAt.has(dataCentre) && !silent.has(dataCentre)),
    isSilent: (dataCentre) => dataCentre !== undefined && silent.has(dataCentre),
    record: (dataCentre) => {
      if (dataCentre === undefined || dataCentre === local) return;
      heardAt.set(dataCentre, monotonicMs());
      if (silent.delete(dataCentre)) telemetry.log('dataCentreHeard', { place: dataCentre });
    },
    check: () => {
      const known = peers();
      const newlySilent: string[] = [];
      const now = monotonicMs();
      for (const [dataCentre, at] of heardAt) {
        const nodes = known.filter((peer) => peer.dataCentre === dataCentre).length;
        if (nodes === 0) {
          // The registry no longer lists a node there, so there is nobody to hear from.
          heardAt.delete(dataCentre);
          silent.delete(dataCentre);
        } else if (!silent.has(dataCentre) && now - at > silenceLimitMs(nodes, known.length + 1)) {
          silent.add(dataCentre);
          newlySilent.push(dataCentre);
          telemetry.log('dataCentreUnheard', { place: dataCentre, ms: Math.round(now - at) });
        }
      }
      return newlySilent;
    },
  };
}

/**
 * Returns the fraction of the registered nodes that this node has contact with, itself included. In a
 * large fleet a new process hears single nodes only after seconds; until then it takes nodes of the
 * data centres that it hears for reachable.
 */
export function computeReachableShare(view: {
  readonly peers: readonly KnownPeer[];
  readonly livePeers: Pick<LivePeers, 'has' | 'hasTimedOut'>;
  readonly contact: Pick<DataCentreContact, 'isHeard'>;
}): number {
  const { peers, livePeers, contact } = view;
  const isLarge = isLargeFleet(peers.length + 1);
  const reachable = peers.filter(({ node, dataCentre }) => {
    if (!contact.isHeard(dataCentre)) return false;
    return livePeers.has(node) || (isLarge && !livePeers.hasTimedOut(node));
  });
  return (reachable.length + 1) / (peers.length + 1);
}
