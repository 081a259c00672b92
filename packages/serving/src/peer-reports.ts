/** Load, spending and configuration state that nodes tell each other. */
import type { Telemetry } from '@hibiscusbank/core';
import type { HeardPeers } from './heard-peers.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { PrefillTotals } from './prefill-work.js';
import type { EngineRole } from './types.js';
import type { WorkReport } from './upstream-loads.js';

/** Time between two reports to each peer while the fleet is small. */
const REPORT_INTERVAL_MS = 200;
/** Nodes up to which every peer gets a report each interval. */
const SMALL_FLEET = 8;
/**
 * Reports that a node of a larger fleet sends in a second: to nodes of its data centre, whose engines
 * it mostly shares, and to all others. Each report wakes a process, so their number must not grow.
 */
const LOCAL_REPORTS_PER_S = 12;
const REMOTE_REPORTS_PER_S = 6;
/** A peer that was silent for this many of its intervals is not reachable. */
const SILENT_INTERVALS = 4;
/** Silence that is borne in any case: a lost report or a short pause of a process is no failure. */
const MIN_SILENCE_MS = 1_200;

const MS_PER_S = 1_000;

/** A node and where it takes reports and calls. */
export interface KnownPeer {
  readonly node: string;
  readonly host: string;
  readonly port: number;
  /** Not known of nodes that only the settings name. */
  readonly dataCentre?: string | undefined;
}

/** What a node has of one kind of entries. */
export interface KnownRevisions {
  /** Revision of the last change of consequence that it has applied. */
  readonly change: number;
  /** Revision up to which it knows of no other change. */
  readonly upTo: number;
}

/** Engines that were ordered to another role, with the role that they had. */
export type RoleChanges = Readonly<Record<string, EngineRole>>;

export interface PeerReport extends KnownPeer {
  /** Unix milliseconds of the node's start. */
  readonly startedAt: number;
  /** Counts up, so that reordered reports are dropped. */
  readonly sequence: number;
  /** Whether the store answers the node. */
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
  /** Nodes that reports go to, without this one. */
  readonly peers: () => readonly KnownPeer[];
  readonly create: () => OwnState;
  readonly onReport: (report: PeerReport) => void;
  /** Called before each round of reports. */
  readonly onTick: () => void;
  /** Called when a peer turned silent; its load no longer counts. */
  readonly onSilent: (node: string) => void;
  readonly telemetry: Telemetry;
}

export interface PeerReports {
  start(): void;
  stop(): void;
  /** Reports to all peers at once. */
  sendToAll(): void;
  /** Takes a message of a peer; false for one that is no report. */
  receive(message: unknown): boolean;
}

/** Peers that are reported to in turn. */
interface Rotation {
  next: number;
  /** Reports a second in a large fleet. */
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

/** Time between two reports to one of `count` peers in a fleet of `fleet` nodes. */
export function reportIntervalMs(count: number, perSecond: number, fleet: number): number {
  if (fleet <= SMALL_FLEET) return REPORT_INTERVAL_MS;
  return Math.max(REPORT_INTERVAL_MS, (count * MS_PER_S) / perSecond);
}

/** Creates the exchange of one node. */
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

  /** The part of the peers whose turn it is. */
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
