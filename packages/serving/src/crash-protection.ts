/**
 * Protects upstreams from requests that crash them: connects the detection of ended upstreams, the
 * quarantine of requests and prompt parts, and the peers, which learn of each end and each cleared part at
 * once. What counts for a part counts for a request, whose id (`request-suspects`) stands among the parts.
 */
import { monotonicMs, pickByRendezvous } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { Hono } from 'hono';
import { createAnsweredParts } from './answered-parts.js';
import { createEndNotices } from './end-notices.js';
import { toPartIds } from './part-ids.js';
import { createPartQuarantine } from './part-quarantine.js';
import type { UpstreamEnd } from './part-suspicions.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import { isLargeFleet } from './peer-reports.js';
import type { KnownPeer } from './peer-reports.js';
import type { EntryStore, UpstreamTransport } from './ports.js';
import {
  isAnsweredNotice,
  isClearNotice,
  isEndNotice,
  isQuarantine,
} from './quarantine-notices.js';
import type {
  AnsweredNotice,
  ClearNotice,
  EndNotice,
  QuarantinedParts,
} from './quarantine-notices.js';
import { isRequestId } from './request-suspects.js';
import type { StoreEra } from './store-era.js';
import { splitIntoMessages } from './split-into-messages.js';
import { createStoredQuarantines } from './stored-quarantines.js';
import type { ServingUpstream } from './types.js';
import { createUpstreamEnds } from './upstream-ends.js';
import type { RunEnd } from './upstream-ends.js';

/** Maximum size of the quarantines in a report; further ones take their turn in the next reports. */
const MAX_REPORTED_BYTES = 8_000;
/** Maximum number of parts in a message, which has to fit into one datagram. */
const MAX_PARTS_IN_MESSAGE = 500;
/** Time after which a started node may try parts, since it knows its peers by then. */
const TRIAL_AFTER_START_MS = 5_000;
/**
 * Time over which the nodes of a large fleet spread what they know of answers, so that most of them hear
 * it from others first. It ends before the decision on the cause of an end.
 */
const ANSWER_SPREAD_MS = 15;
/**
 * Ends of upstreams under a request from which on it is no longer sent again for its caller. One may be a
 * coincidence, and then the caller of a sound request gets its answer from another upstream.
 */
const MAX_ENDS_OF_REPEATED = 2;
const QUARANTINE_PATH = '/quarantine';
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_FOUND = 404;

export interface CrashProtectionOptions {
  readonly self: string;
  readonly transport: Pick<UpstreamTransport, 'isListening'>;
  /** Keeps the quarantines when all processes end. */
  readonly store: EntryStore;
  readonly era: Pick<StoreEra, 'onChange'>;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  readonly recipients: () => readonly KnownPeer[];
  /** Returns the names of the live peers. */
  readonly peers: () => readonly string[];
  readonly random: () => number;
  readonly telemetry: Telemetry;
}

export interface CrashProtection {
  /** Returns the quarantine for which a request must not be sent now, if any. */
  findBlocked(request: string, suspects: readonly string[]): QuarantinedParts | undefined;
  /** Records that a request is being sent. The returned function records how its run ended. */
  beginRun(
    upstream: ServingUpstream,
    request: string,
    suspects: readonly string[],
  ): (end: RunEnd) => void;
  /**
   * Whether a request may be sent again after its run at an upstream broke off. A request under which
   * upstreams ended before may not, if this one has ended as well.
   */
  mayRepeat(upstream: ServingUpstream, suspects: readonly string[]): Promise<boolean>;
  /** Handles a message from a peer. Returns false when it is no notice. */
  receive(message: unknown): boolean;
  /** Returns the quarantines for the report to peers. */
  report(): readonly QuarantinedParts[];
  /** Applies the quarantines that a peer reports. `knowsQuarantines`: whether the peer knows all that are stored. */
  applyReport(reported: unknown, knowsQuarantines: boolean | undefined): void;
  /** Whether this node knows the quarantines that earlier processes stored. */
  knowsQuarantines(): boolean;
  /** Whether requests must wait until this node has learned the stored quarantines. */
  isWaiting(): boolean;
  /** Reads and writes the stored quarantines until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** HTTP handlers for operators: lists the quarantines, and lifts one. */
  readonly app: Hono;
}

/** Creates the protection of one node. */
export function createCrashProtection(options: CrashProtectionOptions): CrashProtection {
  const { self, transport, datagrams, recipients, telemetry } = options;
  const answered = createAnsweredParts();
  const startedAt = monotonicMs();
  const quarantine = createPartQuarantine({
    mayTry: (parts) =>
      monotonicMs() - startedAt >= TRIAL_AFTER_START_MS &&
      pickByRendezvous(parts.join(), [self, ...options.peers()]) === self,
    answered,
    // The quarantine is complete before its first change.
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    onChange: () => stored.save(),
    telemetry,
  });
  const stored = createStoredQuarantines({
    self,
    store: options.store,
    era: options.era,
    quarantine,
    peers: options.peers,
    telemetry,
  });

  const send = (notice: EndNotice | ClearNotice | AnsweredNotice): void => {
    datagrams.send(notice, recipients());
  };

  const endNotices = createEndNotices(send);

  let reportedUpTo = 0;
  const takeReport = (): readonly QuarantinedParts[] => {
    const listed = quarantine.list();
    const report: QuarantinedParts[] = [];
    let size = 0;
    for (let taken = 0; taken < listed.length && size < MAX_REPORTED_BYTES; taken += 1) {
      reportedUpTo = (reportedUpTo + 1) % listed.length;
      const entry = listed[reportedUpTo];
      if (entry === undefined) break;
      size += JSON.stringify(entry).length;
      report.push(entry);
    }
    return report;
  };

  const countEnds = (suspects: readonly string[]): number =>
    Math.max(0, ...suspects.filter(isRequestId).map(quarantine.countEnds));

  const tellCleared = (parts: readonly string[]): void => {
    for (const clearedParts of splitIntoMessages(parts, MAX_PARTS_IN_MESSAGE))
      send({ clearedParts });
  };

  const withJoint = (parts: readonly string[]): readonly string[] => [
    ...new Set(parts.flatMap((part) => [part, ...quarantine.findJoint(part)])),
  ];

  const lift = (part: string): boolean => {
    const clearedParts = quarantine.clear(withJoint([part]));
    if (clearedParts.length > 0) send({ clearedParts, isLifted: true });
    return clearedParts.length > 0;
  };

  /** Lifts the quarantine of a part by the id that callers send or the one that is listed. */
  const liftAny = (part: string): boolean => toPartIds([part]).some(lift) || lift(part);

  const tellAnswered = (parts: readonly string[]): void => {
    for (const answeredParts of splitIntoMessages(answered.takeUntold(parts), MAX_PARTS_IN_MESSAGE))
      send({ answeredParts });
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
      endNotices.tell(end);
      recordEnd(end);
    },
    telemetry,
  });

  const app = new Hono();
  app.get(QUARANTINE_PATH, (c) => c.json(quarantine.list()));
  app.delete(`${QUARANTINE_PATH}/:part`, (c) =>
    c.body(null, liftAny(c.req.param('part')) ? HTTP_NO_CONTENT : HTTP_NOT_FOUND),
  );

  return {
    app,
    findBlocked: quarantine.findBlocked,
    mayRepeat: async (upstream, suspects) => {
      if (countEnds(suspects) === 0) return true;
      await ends.whenChecked(upstream);
      return countEnds(suspects) < MAX_ENDS_OF_REPEATED;
    },
    beginRun: (upstream, request, parts) => {
      const finish = ends.begin(upstream, request, parts);
      return (end) => {
        if (end === 'broken') quarantine.endTrial(request, parts);
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
          tellCleared(quarantine.clear(parts));
        });
      };
    },
    receive: (message) => {
      if (isEndNotice(message)) message.ends.forEach(recordEnd);
      else if (isAnsweredNotice(message)) learnAnswered(message);
      else if (isClearNotice(message)) {
        const { clearedParts, isLifted } = message;
        quarantine.clear(isLifted === true ? withJoint(clearedParts) : clearedParts);
      } else return false;
      return true;
    },
    report: takeReport,
    knowsQuarantines: stored.isKnown,
    isWaiting: stored.isWaiting,
    run: stored.run,
    applyReport: (reported, knowsQuarantines) => {
      if (!Array.isArray(reported)) return;
      for (const entry of reported) {
        if (!isQuarantine(entry)) {
          telemetry.log('peerReportRejected', { error: 'invalid quarantine in a report' });
          continue;
        }
        tellCleared(quarantine.adopt(entry));
      }
      if (knowsQuarantines === true) stored.markKnown();
    },
  };
}
