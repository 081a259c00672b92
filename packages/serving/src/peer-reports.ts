/** Periodic reports between nodes: load, quota spending and configuration state. */
import type { Telemetry } from '@hibiscusbank/core';
import type { HeardPeers } from './heard-peers.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { PrefillTotals } from './prefill-work.js';
import type { EngineRole } from './types.js';
import type { WorkReport } from './upstream-loads.js';

/** Interval between two reports to each peer in a small fleet. */
const REPORT_INTERVAL_MS = 200;
/** Maximum fleet size in which every peer gets a report each interval. */
const SMALL_FLEET = 8;
/**
 * Reports per second that a node of a larger fleet sends to the nodes of its data centre, with
 * which it shares most engines, and to all other nodes. Each report wakes a process, so the rates
 * do not grow with the fleet.
 */
const LOCAL_REPORTS_PER_S = 12;
const REMOTE_REPORTS_PER_S = 6;
/** Number of a peer's report intervals without a report after which the peer times out. */
const SILENT_INTERVALS = 4;
/** Minimum time-out: a lost report or a short pause of a process is not a failure. */
const MIN_SILENCE_MS = 1_200;

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
  /** Revision of the last relevant change that the node has applied. */
  readonly change: number;
  /** Revision up to which the node knows that there was no further relevant change. */
  readonly upTo: number;
}

/** Roles of engines before an order to change role, by engine id. */
export type RoleChanges = Readonly<Record<string, EngineRole>>;

export interface PeerReport extends KnownPeer {
  /** Start of the process in Unix milliseconds. */
  readonly startedAt: number;
  /** Increases with each report, so that reordered reports are dropped. */
  readonly sequence: number;
  /** Whether the store is reachable from the node. */
  readonly isConnected: boolean;
  readonly decode: WorkReport;
  readonly prefill: WorkReport;
  readonly spent: Readonly<Record<string, number>>;
  readonly revisions: Readonly<Record<string, KnownRevisions>>;
  readonly changing: RoleChanges;
  readonly prefillMs: PrefillTotals;
}

export type OwnState = Pick<
  PeerReport,
  'isConnected' | 'decode' | 'prefill' | 'spent' | 'revisions' | 'changing' | 'prefillMs'
>;

export interface PeerReportsOptions {
  readonly self: KnownPeer;
  readonly startedAt: number;
  readonly heard: HeardPeers;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  /** Returns the nodes to report to, without this one. */
  readonly peers: () => readonly KnownPeer[];
  readonly create: () => OwnState;
  readonly onReport: (report: PeerReport) => void;
  readonly onTick: () => void;
  /** Called when a peer timed out; its load no longer counts. */
  readonly onSilent: (node: string) => void;
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
    typeof report.startedAt === 'number' &&
    typeof report.sequence === 'number' &&
    typeof report.revisions === 'object'
  );
}

/** Returns the interval between two reports to one of `count` peers in a fleet of `fleet` nodes. */
export function reportIntervalMs(count: number, perSecond: number, fleet: number): number {
  if (fleet <= SMALL_FLEET) return REPORT_INTERVAL_MS;
  return Math.max(REPORT_INTERVAL_MS, (count * MS_PER_S) / perSecond);
}

/** Creates the exchange of reports of one node. */
export function createPeerReports(options: PeerReportsOptions): PeerReports {
  const { self, startedAt, heard, datagrams, peers, telemetry } = options;
  const local: Rotation = { next: 0, perSecond: LOCAL_REPORTS_PER_S };
  const remote: Rotation = { next: 0, perSecond: REMOTE_REPORTS_PER_S };
  let timer: NodeJS.Timeout | undefined;
  let sequence = 0;

  const isLocal = (peer: KnownPeer): boolean => peer.dataCentre === self.dataCentre;

  const split = (): { readonly near: KnownPeer[]; readonly far: KnownPeer[] } => {
    const near: KnownPeer[] = [];
    const far: KnownPeer[] = [];
    for (const peer of peers()) (isLocal(peer) ? near : far).push(peer);
    return { near, far };
  };

  const dropSilent = (near: number, far: number): void => {
    const fleet = near + far + 1;
    const nearMs = reportIntervalMs(near, local.perSecond, fleet) * SILENT_INTERVALS;
    const farMs = reportIntervalMs(far, remote.perSecond, fleet) * SILENT_INTERVALS;
    const silent = heard.dropSilent((peer) =>
      Math.max(MIN_SILENCE_MS, isLocal(peer) ? nearMs : farMs),
    );
    for (const node of silent) {
      telemetry.log('peerSilent', { peer: node });
      options.onSilent(node);
    }
  };

  /** Returns the peers whose turn it is. */
  const take = (
    all: readonly KnownPeer[],
    rotation: Rotation,
    fleet: number,
  ): readonly KnownPeer[] => {
    const intervalMs = reportIntervalMs(all.length, rotation.perSecond, fleet);
    const share = Math.ceil((all.length * REPORT_INTERVAL_MS) / intervalMs);
    const turn = Array.from(
      { length: share },
      (_, index) => all[(rotation.next + index) % all.length],
    );
    rotation.next = (rotation.next + share) % Math.max(1, all.length);
    return turn.filter((peer) => peer !== undefined);
  };

  const sendTo = (recipients: readonly KnownPeer[]): void => {
    if (recipients.length === 0) return;
    sequence += 1;
    const report: PeerReport = { ...self, startedAt, sequence, ...options.create() };
    datagrams.send(report, recipients);
  };

  const send = (): void => {
    options.onTick();
    const { near, far } = split();
    dropSilent(near.length, far.length);
    const fleet = near.length + far.length + 1;
    sendTo([...take(near, local, fleet), ...take(far, remote, fleet)]);
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
      const isKnown = heard.has(message.node);
      if (!heard.note(message)) return true;
      if (!isKnown) telemetry.log('peerHeard', { peer: message.node });
      options.onReport(message);
      return true;
    },
  };
}
