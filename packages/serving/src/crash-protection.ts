/**
 * Protects upstreams from requests that crash them: connects the detection of ended upstreams, the
 * quarantine of prompt parts, and the peers, which learn of each end and each cleared part at once.
 */
import { monotonicMs, pickByRendezvous } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { Hono } from 'hono';
import { createPartQuarantine } from './part-quarantine.js';
import type { QuarantinedPart } from './part-quarantine.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { KnownPeer } from './peer-reports.js';
import type { UpstreamTransport } from './ports.js';
import { isClearNotice, isEndNotice, isQuarantinedPart, limitParts } from './quarantine-notices.js';
import type { ClearNotice, EndNotice } from './quarantine-notices.js';
import type { ServingRequest, ServingUpstream } from './types.js';
import { createUpstreamEnds } from './upstream-ends.js';
import type { RunEnd } from './upstream-ends.js';

/** Maximum number of quarantined parts in a report, the latest first. */
const MAX_REPORTED_PARTS = 50;
/**
 * Maximum number of end notices that a node sends within `NOTICE_WINDOW_MS`, so that the loss of many
 * upstreams at once does not flood a large fleet.
 */
const MAX_NOTICES_IN_WINDOW = 5;
const NOTICE_WINDOW_MS = 1_000;
const QUARANTINE_PATH = '/quarantine';
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_FOUND = 404;

export interface CrashProtectionOptions {
  readonly self: string;
  readonly transport: Pick<UpstreamTransport, 'isListening'>;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  readonly recipients: () => readonly KnownPeer[];
  /** Returns the names of the live peers. */
  readonly peers: () => readonly string[];
  readonly telemetry: Telemetry;
}

export interface CrashProtection {
  /** Returns the quarantined part for which a request must not be sent now, if any. */
  findBlocked(req: ServingRequest): QuarantinedPart | undefined;
  /** Records that a request is being sent. The returned function records how its run ended. */
  beginRun(upstream: ServingUpstream, req: ServingRequest): (end: RunEnd) => void;
  /** Handles a message from a peer. Returns false when it is no notice. */
  receive(message: unknown): boolean;
  /** Returns the quarantined parts for the report to peers. */
  report(): readonly QuarantinedPart[];
  /** Applies the quarantined parts that a peer reports. */
  applyReport(parts: unknown): void;
  /** HTTP handlers for operators: lists the quarantined parts, and lifts a quarantine. */
  readonly app: Hono;
}

/** Creates the protection of one node. */
export function createCrashProtection(options: CrashProtectionOptions): CrashProtection {
  const { self, transport, datagrams, recipients, telemetry } = options;
  const quarantine = createPartQuarantine({
    mayTry: (part) => pickByRendezvous(part, [self, ...options.peers()]) === self,
    telemetry,
  });

  const send = (notice: EndNotice | ClearNotice): void => {
    datagrams.send(notice, recipients());
  };

  let noticesSentAt: number[] = [];
  const mayNotify = (): boolean => {
    const now = monotonicMs();
    noticesSentAt = noticesSentAt.filter((at) => now - at < NOTICE_WINDOW_MS);
    if (noticesSentAt.length >= MAX_NOTICES_IN_WINDOW) return false;
    noticesSentAt.push(now);
    return true;
  };

  const clear = (parts: readonly string[]): readonly string[] => {
    const clearedParts = quarantine.clear(parts);
    if (clearedParts.length > 0) send({ clearedParts });
    return clearedParts;
  };

  const ends = createUpstreamEnds({
    isListening: transport.isListening,
    onEnd: (end) => {
      quarantine.recordEnd(end);
      if (mayNotify()) send({ end });
    },
    telemetry,
  });

  const app = new Hono();
  app.get(QUARANTINE_PATH, (c) => c.json(quarantine.list()));
  app.delete(`${QUARANTINE_PATH}/:part`, (c) =>
    c.body(null, clear([c.req.param('part')]).length > 0 ? HTTP_NO_CONTENT : HTTP_NOT_FOUND),
  );

  return {
    app,
    findBlocked: ({ id, promptParts }) => quarantine.findBlocked(id, promptParts),
    beginRun: (upstream, { promptParts }) => {
      const parts = limitParts(promptParts);
      if (parts.length === 0) return () => {};
      const finish = ends.begin(upstream, parts);
      return (end) => {
        if (end !== 'answered' || !quarantine.isSuspected(parts)) {
          finish(end === 'broken' ? 'broken' : 'other');
          return;
        }
        // An answer without a length also ends when its upstream does.
        void transport.isListening(upstream).then((listening) => {
          finish(listening === false ? 'broken' : 'other');
          if (listening === true) clear(parts);
        });
      };
    },
    receive: (message) => {
      if (isEndNotice(message)) quarantine.recordEnd(message.end);
      else if (isClearNotice(message)) quarantine.clear(message.clearedParts);
      else return false;
      return true;
    },
    report: () => quarantine.list().slice(0, MAX_REPORTED_PARTS),
    applyReport: (parts) => {
      if (!Array.isArray(parts)) return;
      for (const part of parts.slice(0, MAX_REPORTED_PARTS)) {
        if (!isQuarantinedPart(part)) {
          telemetry.log('peerReportRejected', { error: 'invalid quarantined part in a report' });
        } else if (!quarantine.adopt(part)) send({ clearedParts: [part.part] });
      }
    },
  };
}
