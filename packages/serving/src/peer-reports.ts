/** Periodic reports between nodes: load, quota spending and configuration state. */
import type { Telemetry } from '@hibiscusbank/core';
import type { NodeAvailability } from './drain-admission.js';
import type { LivePeers } from './live-peers.js';
import { isPort } from './message-values.js';
import type { QuarantinedParts } from './quarantine-notices.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { Spending } from './spending-totals.js';
import type { PrefillTotals } from './prefill-work.js';
import type { LimitStatement } from './stated-limits.js';
import type { EngineRole } from './types.js';
import type { LeavingUpstream } from './unavailable-upstreams.js';
import type { LoadReport } from './upstream-loads.js';

/** Interval between two reports to each peer in a small fleet. */
const REPORT_INTERVAL_MS = 200;
/** Maximum fleet size in which every peer gets a report each interval. */
const SMALL_FLEET_NODES = 8;
/**
 * Reports per second that a node of a larger fleet sends to the nodes of its data centre, with
 * which it shares most engines, and to all other nodes. Each report wakes a process, so the rates
 * do not grow with the fleet.
 */
const LOCAL_REPORTS_PER_S = 12;
const REMOTE_REPORTS_PER_S = 6;
/** A peer times out after this many of its report intervals without a report. */
const TIMEOUT_INTERVALS = 4;
/** Minimum time-out: a lost report or a short pause of a process is not a failure. */
const MIN_TIMEOUT_MS = 1_200;

const MS_PER_S = 1_000;

/** A node and the address at which it receives reports and requests for lists. */
export interface KnownPeer {
  readonly node: string;
  readonly host: string;
  readonly port: number;
  /** `undefined` for seeds from the settings that have not reported yet. */
  readonly dataCentre?: string | undefined;
}

/** Revisions of one kind of entries that a node knows. */
export interface KnownRevisions {
  /** Era of the store in which the revisions were given out. */
  readonly era: number;
  /** Revision of the last relevant change that the node has applied. */
  readonly change: number;
  /** Revision up to which the node knows that there was no further relevant change. */
  readonly upTo: number;
}

/** Previous roles of the engines that a node ordered to change role, by engine id. */
export type RoleChanges = Readonly<Record<string, EngineRole>>;

export interface PeerReport extends KnownPeer, Partial<NodeAvailability> {
  /** Start of the process in Unix milliseconds. */
  readonly startedAt: number;
  /** Increases with each report, so that reordered reports are dropped. */
  readonly sequence: number;
  /** Whether the store is reachable from the node. */
  readonly isConnected: boolean;
  /** Load on plain upstreams and decode engines. */
  readonly decode: LoadReport;
  readonly prefill: LoadReport;
  /** Tokens that organisations spent on the node since its start. */
  readonly spent: Spending;
  /** Tokens spent in the node's data centre since the start of the node, as far as it knows. */
  readonly spentNearby: Spending;
  readonly revisions: Readonly<Record<string, KnownRevisions>>;
  readonly changing: RoleChanges;
  readonly prefillMs: PrefillTotals;
  /** Quarantines of requests and prompt parts; those that do not fit follow in later reports. */
  readonly quarantined: readonly QuarantinedParts[];
  /** Whether the node knows the quarantines that are in the store. */
  readonly knowsQuarantines: boolean;
  /** Limits that upstreams stated, to this node or to others. */
  readonly limits: readonly LimitStatement[];
  /** Upstreams that stated that they leave, to this node or to others. */
  readonly leaving: readonly LeavingUpstream[];
}

export type LocalState = Pick<
  PeerReport,
  | 'isConnected'
  | 'isReady'
  | 'returnsInMs'
  | 'decode'
  | 'prefill'
  | 'spent'
  | 'spentNearby'
  | 'revisions'
  | 'changing'
  | 'prefillMs'
  | 'quarantined'
  | 'knowsQuarantines'
  | 'limits'
  | 'leaving'
>;

export interface PeerReportsOptions {
  readonly self: KnownPeer;
  readonly startedAt: number;
  readonly livePeers: LivePeers;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  /** Returns the nodes to report to, without this one. */
  readonly peers: () => readonly KnownPeer[];
  readonly readLocalState: () => LocalState;
  readonly onReport: (report: PeerReport) => void;
  readonly beforeRound: () => void;
  /** Called when a peer timed out; its load no longer counts. */
  readonly onTimeout: (node: string) => void;
  readonly telemetry: Telemetry;
}

export interface PeerReports {
  start(): void;
  stop(): void;
  /** Sends a report to all peers immediately. */
  sendToAll(): void;
  /** Handles a message from a peer. Returns false when it is not a report. */
  receive(message: unknown): boolean;
}

/** Position in a list of peers that get reports in turn. */
interface Rotation {
  next: number;
  /** Reports per second in a large fleet. */
  readonly perSecond: number;
}

function isReport(value: unknown): value is PeerReport {
  const report = value as Partial<PeerReport> | null;
  return (
    typeof report === 'object' &&
    typeof report?.node === 'string' &&
    typeof report.host === 'string' &&
    isPort(report.port) &&
    typeof report.startedAt === 'number' &&
    typeof report.sequence === 'number' &&
    typeof report.revisions === 'object' &&
    typeof report.spent === 'object' &&
    typeof report.spentNearby === 'object'
  );
}

/** Whether a fleet is so large that a node does not report to every peer each interval. */
export function isLargeFleet(nodes: number): boolean {
  return nodes > SMALL_FLEET_NODES;
}

/** Returns the interval between two reports to one of `count` peers in a fleet of `fleet` nodes. */
export function reportIntervalMs(count: number, perSecond: number, fleet: number): number {
  if (!isLargeFleet(fleet)) return REPORT_INTERVAL_MS;
  return Math.max(REPORT_INTERVAL_MS, (count * MS_PER_S) / perSecond);
}

/** Returns the interval between two reports of a node to one of its `count` local peers. */
export function localReportIntervalMs(count: number, fleet: number): number {
  return reportIntervalMs(count, LOCAL_REPORTS_PER_S, fleet);
}

/** Returns the interval between two reports of a node to one of its `count` remote peers. */
export function remoteReportIntervalMs(count: number, fleet: number): number {
  return reportIntervalMs(count, REMOTE_REPORTS_PER_S, fleet);
}

/** Returns the time without a report after which a remote peer times out, at most. */
export function remoteTimeoutMs(count: number, fleet: number): number {
  return Math.max(MIN_TIMEOUT_MS, remoteReportIntervalMs(count, fleet) * TIMEOUT_INTERVALS);
}

/** Creates the exchange of reports of one node. */
export function createPeerReports(options: PeerReportsOptions): PeerReports {
  const { self, startedAt, livePeers, datagrams, peers, telemetry } = options;
  const localRotation: Rotation = { next: 0, perSecond: LOCAL_REPORTS_PER_S };
  const remoteRotation: Rotation = { next: 0, perSecond: REMOTE_REPORTS_PER_S };
  let timer: NodeJS.Timeout | undefined;
  let sequence = 0;

  const isLocal = (peer: KnownPeer): boolean => peer.dataCentre === self.dataCentre;

  const splitPeers = (): { readonly local: KnownPeer[]; readonly remote: KnownPeer[] } => {
    const local: KnownPeer[] = [];
    const remote: KnownPeer[] = [];
    for (const peer of peers()) (isLocal(peer) ? local : remote).push(peer);
    return { local, remote };
  };

  const dropTimedOut = (localCount: number, remoteCount: number): void => {
    const fleet = localCount + remoteCount + 1;
    const localTimeoutMs =
      reportIntervalMs(localCount, localRotation.perSecond, fleet) * TIMEOUT_INTERVALS;
    const timedOut = livePeers.dropTimedOut((peer) =>
      isLocal(peer)
        ? Math.max(MIN_TIMEOUT_MS, localTimeoutMs)
        : remoteTimeoutMs(remoteCount, fleet),
    );
    for (const node of timedOut) {
      telemetry.log('peerSilent', { peer: node });
      options.onTimeout(node);
    }
  };

  /**
   * Returns the position of this node among the nodes of its data centre, from 0 to 1. Nodes that
   * started together would otherwise all report to the same peer at the same time, and to none of
   * the others.
   */
  const computePhase = (local: readonly KnownPeer[]): number => {
    const before = local.filter(({ node }) => node < self.node).length;
    return before / (local.length + 1);
  };

  /** Returns the peers whose turn it is. */
  const takeTurn = (
    all: readonly KnownPeer[],
    rotation: Rotation,
    fleet: number,
    phase: number,
  ): readonly KnownPeer[] => {
    const intervalMs = reportIntervalMs(all.length, rotation.perSecond, fleet);
    const peersPerRound = Math.ceil((all.length * REPORT_INTERVAL_MS) / intervalMs);
    const first = rotation.next + Math.floor(phase * all.length);
    const turn = Array.from(
      { length: peersPerRound },
      (_, index) => all[(first + index) % all.length],
    );
    rotation.next = (rotation.next + peersPerRound) % Math.max(1, all.length);
    return turn.filter((peer) => peer !== undefined);
  };

  const sendTo = (recipients: readonly KnownPeer[]): void => {
    if (recipients.length === 0) return;
    sequence += 1;
    const report: PeerReport = { ...self, startedAt, sequence, ...options.readLocalState() };
    datagrams.send(report, recipients);
  };

  const send = (): void => {
    options.beforeRound();
    const { local, remote } = splitPeers();
    dropTimedOut(local.length, remote.length);
    const fleet = local.length + remote.length + 1;
    const phase = computePhase(local);
    sendTo([
      ...takeTurn(local, localRotation, fleet, phase),
      ...takeTurn(remote, remoteRotation, fleet, phase),
    ]);
  };

  return {
    start: () => {
      timer = setInterval(send, REPORT_INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
    sendToAll: () => sendTo(peers()),
    receive: (message) => {
      if (!isReport(message)) return false;
      if (message.node === self.node) return true;
      const isKnown = livePeers.has(message.node);
      if (!livePeers.record(message)) return true;
      if (!isKnown) telemetry.log('peerHeard', { peer: message.node });
      options.onReport(message);
      return true;
    },
  };
}
