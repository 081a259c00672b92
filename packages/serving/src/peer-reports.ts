/**
 * Load, spending and configuration state that nodes tell each other. Reports are datagrams: each
 * replaces the one before it, so a lost one costs only age, and a silent connection cannot hide.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { Telemetry } from '@hibiscusbank/core';
import type { HeardPeers } from './heard-peers.js';
import type { WorkReport } from './upstream-loads.js';

/** Time between two reports to each peer while the fleet is small. */
const REPORT_INTERVAL_MS = 200;
/** Reports that a node sends in a second at most; a large fleet reports to a peer less often. */
const MAX_REPORTS_PER_S = 60;
/** A peer that was silent for this many of its intervals is not reachable. */
const SILENT_INTERVALS = 6;
/** Largest report that fits a datagram. */
const MAX_REPORT_BYTES = 60_000;

const MS_PER_S = 1_000;

/** A node and where it takes reports and calls. */
export interface KnownPeer {
  readonly node: string;
  readonly host: string;
  readonly port: number;
}

export interface PeerReport extends KnownPeer {
  /** Unix milliseconds of the node's start. */
  readonly startedAt: number;
  /** Counts up, so that reordered reports are dropped. */
  readonly sequence: number;
  readonly decode: WorkReport;
  readonly prefill: WorkReport;
  readonly spent: Readonly<Record<string, number>>;
  /** For each kind of entry the revision of the last change that the node has applied. */
  readonly revisions: Readonly<Record<string, number>>;
}

export interface PeerReportsOptions {
  readonly self: KnownPeer;
  readonly startedAt: number;
  readonly heard: HeardPeers;
  /** Nodes that reports go to, without this one. */
  readonly peers: () => readonly KnownPeer[];
  readonly create: () => Pick<PeerReport, 'decode' | 'prefill' | 'spent' | 'revisions'>;
  readonly receive: (report: PeerReport) => void;
  /** Called when a peer turned silent; its load no longer counts. */
  readonly onSilent: (node: string) => void;
  readonly telemetry: Telemetry;
}

export interface PeerReports {
  start(): Promise<void>;
  stop(): void;
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

/** Creates the exchange of one node. */
export function createPeerReports(options: PeerReportsOptions): PeerReports {
  const { self, startedAt, heard, peers, telemetry } = options;
  let socket: Socket | undefined;
  let timer: NodeJS.Timeout | undefined;
  let sequence = 0;
  let next = 0;

  const intervalMs = (): number =>
    Math.max(REPORT_INTERVAL_MS, (peers().length * MS_PER_S) / MAX_REPORTS_PER_S);

  const dropSilent = (): void => {
    for (const node of heard.dropSilent(intervalMs() * SILENT_INTERVALS)) {
      telemetry.log('peerSilent', { peer: node });
      options.onSilent(node);
    }
  };

  const receive = (message: Buffer): void => {
    let report: unknown;
    try {
      report = JSON.parse(message.toString());
    } catch (thrown) {
      telemetry.log('peerReportRejected', { error: String(thrown) });
      return;
    }
    if (!isReport(report) || report.node === self.node) return;
    const isKnown = heard.has(report.node);
    if (!heard.note(report)) return;
    if (!isKnown) telemetry.log('peerHeard', { peer: report.node });
    options.receive(report);
  };

  const send = (): void => {
    dropSilent();
    const all = peers();
    const share = Math.ceil((all.length * REPORT_INTERVAL_MS) / intervalMs());
    if (share === 0) return;
    sequence += 1;
    const report: PeerReport = { ...self, startedAt, sequence, ...options.create() };
    const bytes = Buffer.from(JSON.stringify(report));
    if (bytes.length > MAX_REPORT_BYTES) {
      telemetry.log('peerReportRejected', { error: `the report has ${bytes.length} bytes` });
      return;
    }
    for (let index = 0; index < share; index += 1) {
      const peer = all[(next + index) % all.length];
      if (peer !== undefined) socket?.send(bytes, peer.port, peer.host);
    }
    next = (next + share) % Math.max(1, all.length);
  };

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const opened = createSocket('udp4');
        socket = opened;
        opened.once('error', reject);
        opened.on('message', receive);
        opened.bind(self.port, self.host, () => {
          opened.off('error', reject);
          opened.on('error', (error) => {
            telemetry.log('peerReportRejected', { error: error.message });
          });
          timer = setInterval(send, REPORT_INTERVAL_MS);
          resolve();
        });
      }),
    stop: () => {
      clearInterval(timer);
      socket?.close();
      socket = undefined;
    },
  };
}
