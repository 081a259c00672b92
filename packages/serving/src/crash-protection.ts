/**
 * Protects upstreams from requests that crash them: connects the detection of ended upstreams, the
 * quarantine of prompt parts, and the peers, which learn of each end and each cleared part at once.
 */
import { monotonicMs, pickByRendezvous } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { Hono } from 'hono';
import { createAnsweredParts } from './answered-parts.js';
import { createPartQuarantine } from './part-quarantine.js';
import type { QuarantinedParts } from './part-quarantine.js';
import type { UpstreamEnd } from './part-suspicions.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import { isLargeFleet } from './peer-reports.js';
import type { KnownPeer } from './peer-reports.js';
import type { UpstreamTransport } from './ports.js';
import {
  isAnsweredNotice,
  isClearNotice,
  isEndNotice,
  isQuarantine,
  limitParts,
} from './quarantine-notices.js';
import type { AnsweredNotice, ClearNotice, EndNotice } from './quarantine-notices.js';
import type { ServingRequest, ServingUpstream } from './types.js';
import { createUpstreamEnds } from './upstream-ends.js';
import type { RunEnd } from './upstream-ends.js';

/** Maximum number of quarantines in a report, the latest first. */
const MAX_REPORTED = 50;
/**
 * Maximum number of end notices that a node sends within `NOTICE_WINDOW_MS`, so that the loss of many
 * upstreams at once does not flood a large fleet.
 */
const MAX_NOTICES_IN_WINDOW = 5;
const NOTICE_WINDOW_MS = 1_000;
/**
 * Time over which the nodes of a large fleet spread what they know of answers, so that most of them hear
 * it from others first. It ends before the decision on the cause of an end.
 */
const ANSWER_SPREAD_MS = 15;
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
  readonly random: () => number;
  readonly telemetry: Telemetry;
}

export interface CrashProtection {
  /** Returns the quarantine for which a request must not be sent now, if any. */
  findBlocked(req: ServingRequest): QuarantinedParts | undefined;
  /** Records that a request is being sent. The returned function records how its run ended. */
  beginRun(upstream: ServingUpstream, req: ServingRequest): (end: RunEnd) => void;
  /** Handles a message from a peer. Returns false when it is no notice. */
  receive(message: unknown): boolean;
  /** Returns the quarantines for the report to peers. */
  report(): readonly QuarantinedParts[];
  /** Applies the quarantines that a peer reports. */
  applyReport(reported: unknown): void;
  /** HTTP handlers for operators: lists the quarantines, and lifts one. */
  readonly app: Hono;
}

/** Creates the protection of one node. */
export function createCrashProtection(options: CrashProtectionOptions): CrashProtection {
  const { self, transport, datagrams, recipients, telemetry } = options;
  const answered = createAnsweredParts();
  const quarantine = createPartQuarantine({
    mayTry: (parts) => pickByRendezvous(parts.join(), [self, ...options.peers()]) === self,
    answered,
    telemetry,
  });

  const send = (notice: EndNotice | ClearNotice | AnsweredNotice): void => {
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

  const withJoint = (parts: readonly string[]): readonly string[] => [
    ...new Set(parts.flatMap((part) => [part, ...quarantine.findJoint(part)])),
  ];

  const lift = (part: string): boolean => {
    const clearedParts = quarantine.clear(withJoint([part]));
    if (clearedParts.length > 0) send({ clearedParts, isLifted: true });
    return clearedParts.length > 0;
  };

  const tellAnswered = (parts: readonly string[]): void => {
    const answeredParts = answered.takeUntold(parts);
    if (answeredParts.length > 0) send({ answeredParts });
  };

  /** Counts an end, and tells which of the suspects this node had answered lately. */
  const recordEnd = (end: UpstreamEnd): void => {
    quarantine.recordEnd(end);
    const parts = end.runs.flatMap((run) => run.parts);
    if (isLargeFleet(recipients().length + 1))
      setTimeout(tellAnswered, options.random() * ANSWER_SPREAD_MS, parts);
    else tellAnswered(parts);
  };

  const learnAnswered = ({ answeredParts }: AnsweredNotice): void => {
    answeredParts.forEach(answered.learn);
    quarantine.reviewAnswered();
  };

  const ends = createUpstreamEnds({
    isListening: transport.isListening,
    onEnd: (end) => {
      if (mayNotify()) send({ end });
      recordEnd(end);
    },
    telemetry,
  });

  const app = new Hono();
  app.get(QUARANTINE_PATH, (c) => c.json(quarantine.list()));
  app.delete(`${QUARANTINE_PATH}/:part`, (c) =>
    c.body(null, lift(c.req.param('part')) ? HTTP_NO_CONTENT : HTTP_NOT_FOUND),
  );

  return {
    app,
    findBlocked: ({ id, promptParts }) => quarantine.findBlocked(id, limitParts(promptParts)),
    beginRun: (upstream, { id, promptParts }) => {
      const parts = limitParts(promptParts);
      if (parts.length === 0) return () => {};
      const finish = ends.begin(upstream, parts);
      return (end) => {
        if (end === 'broken') quarantine.endTrial(id, parts);
        if (end !== 'answered') {
          finish(end);
          return;
        }
        if (!quarantine.isSuspected(parts)) {
          finish('other');
          answered.record(parts);
          return;
        }
        // An answer without a length also ends when its upstream does.
        void transport.isListening(upstream).then((listening) => {
          finish(listening === false ? 'broken' : 'other');
          if (listening !== true) return;
          answered.record(parts);
          clear(parts);
        });
      };
    },
    receive: (message) => {
      if (isEndNotice(message)) recordEnd(message.end);
      else if (isAnsweredNotice(message)) learnAnswered(message);
      else if (isClearNotice(message)) {
        const { clearedParts, isLifted } = message;
        quarantine.clear(isLifted === true ? withJoint(clearedParts) : clearedParts);
      } else return false;
      return true;
    },
    report: () => quarantine.list().slice(0, MAX_REPORTED),
    applyReport: (reported) => {
      if (!Array.isArray(reported)) return;
      for (const entry of reported.slice(0, MAX_REPORTED)) {
        if (!isQuarantine(entry)) {
          telemetry.log('peerReportRejected', { error: 'invalid quarantine in a report' });
          continue;
        }
        const clearedParts = quarantine.adopt(entry);
        if (clearedParts.length > 0) send({ clearedParts });
      }
    },
  };
}
