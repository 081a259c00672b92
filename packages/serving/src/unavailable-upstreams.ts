/**
 * Remembers upstreams that state in a response that they leave, or that they want no requests for a
 * while. Both hold for the process that stated them, whatever its entry in the store says. A pause
 * concerns this node only; that an upstream leaves is passed on to the peers.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { isNonNegative } from './message-values.js';
import type { ServingUpstream, UpstreamStatement } from './types.js';

/** Time for which a leaving upstream is remembered after it last said so. */
const LEAVING_MEMORY_MS = 300_000;
/** Time after which another request may follow the first one after a pause, without its response. */
const PROBE_MS = 1_000;
const MAX_REPORTED = 200;

/** A process that leaves, as nodes report it to each other. */
export interface LeavingUpstream {
  readonly upstream: string;
  /** Start of the process in Unix milliseconds. */
  readonly startedAt: number;
  /** Time since it last said so to any node, in milliseconds. */
  readonly ageMs: number;
}

/** Message by which a node tells its peers at once that an upstream leaves. */
export interface LeavingNotice {
  readonly leavingNotice: LeavingUpstream;
}

type Process = Pick<ServingUpstream, 'id' | 'startedAt'>;

interface Pause {
  readonly startedAt: number;
  readonly until: number;
  /** Time until which the first request after the pause keeps others away. */
  probeUntil: number;
}

export interface UnavailableUpstreams {
  /** Records what a response to this node states. */
  record(upstream: Process, statement: Pick<UpstreamStatement, 'isLeaving' | 'pauseMs'>): void;
  /** Returns why an upstream gets no requests now, if so. */
  find(upstream: Process): 'leaving' | 'paused' | undefined;
  /** Returns the time after which the first of the upstreams may get requests; 0 if one may now. */
  returnMs(upstreams: readonly Process[]): number;
  /** Records that a request is sent; the first one after a pause goes alone. */
  recordSend(upstream: Process): void;
  report(): readonly LeavingUpstream[];
  /** Applies the leaving upstreams that a peer reports. */
  applyReport(leaving: unknown): void;
}

export interface UnavailableUpstreamsOptions {
  /** Called when this node is the first to learn that an upstream leaves. */
  readonly onLeaving: (leaving: LeavingUpstream) => void;
  readonly telemetry: Telemetry;
}

function isLeavingUpstream(value: unknown): value is LeavingUpstream {
  const { upstream, startedAt, ageMs } = (value ?? {}) as Partial<LeavingUpstream>;
  return typeof upstream === 'string' && typeof startedAt === 'number' && isNonNegative(ageMs);
}

export function isLeavingNotice(message: unknown): message is LeavingNotice {
  return isLeavingUpstream((message as Partial<LeavingNotice> | null)?.leavingNotice);
}

/** Creates the record of one node. */
export function createUnavailableUpstreams(
  options: UnavailableUpstreamsOptions,
): UnavailableUpstreams {
  const { onLeaving, telemetry } = options;
  const leaving = new Map<string, { readonly startedAt: number; readonly at: number }>();
  const pauses = new Map<string, Pause>();

  const isLeaving = ({ id, startedAt }: Process): boolean =>
    leaving.get(id)?.startedAt === startedAt;

  const prune = (): void => {
    const now = monotonicMs();
    for (const [id, { at }] of leaving) if (now - at >= LEAVING_MEMORY_MS) leaving.delete(id);
    for (const [id, { until, probeUntil }] of pauses) {
      if (now >= until + LEAVING_MEMORY_MS && now >= probeUntil) pauses.delete(id);
    }
  };

  /** Returns whether it was news. */
  const setLeaving = (id: string, startedAt: number, ageMs: number): boolean => {
    const known = leaving.get(id);
    if (ageMs >= LEAVING_MEMORY_MS) return false;
    if (known !== undefined && known.startedAt > startedAt) return false;
    const isKnown = known?.startedAt === startedAt;
    const at = monotonicMs() - ageMs;
    leaving.set(id, { startedAt, at: isKnown ? Math.max(known.at, at) : at });
    if (isKnown) return false;
    telemetry.log('upstreamLeaving', { upstream: id, startedAt });
    prune();
    return true;
  };

  const pausedMs = ({ id, startedAt }: Process): number => {
    const pause = pauses.get(id);
    if (pause?.startedAt !== startedAt) return 0;
    return Math.max(0, Math.max(pause.until, pause.probeUntil) - monotonicMs());
  };

  return {
    record: ({ id, startedAt }, statement) => {
      if (statement.isLeaving && setLeaving(id, startedAt, 0))
        onLeaving({ upstream: id, startedAt, ageMs: 0 });
      if (statement.pauseMs > 0) {
        const until = monotonicMs() + statement.pauseMs;
        pauses.set(id, { startedAt, until, probeUntil: -Infinity });
        telemetry.log('upstreamPaused', { upstream: id, ms: statement.pauseMs });
      } else if (monotonicMs() >= (pauses.get(id)?.until ?? Infinity)) pauses.delete(id);
    },
    find: (upstream) => {
      if (isLeaving(upstream)) return 'leaving';
      return pausedMs(upstream) > 0 ? 'paused' : undefined;
    },
    returnMs: (upstreams) => {
      const staying = upstreams.filter((upstream) => !isLeaving(upstream));
      return staying.length === 0 ? 0 : Math.min(...staying.map(pausedMs));
    },
    recordSend: ({ id, startedAt }) => {
      const pause = pauses.get(id);
      if (pause?.startedAt === startedAt && monotonicMs() >= pause.until)
        pause.probeUntil = monotonicMs() + PROBE_MS;
    },
    report: () =>
      [...leaving].slice(-MAX_REPORTED).map(([upstream, { startedAt, at }]) => ({
        upstream,
        startedAt,
        ageMs: Math.round(monotonicMs() - at),
      })),
    applyReport: (reported) => {
      if (!Array.isArray(reported)) return;
      for (const each of reported.slice(0, MAX_REPORTED)) {
        if (isLeavingUpstream(each)) setLeaving(each.upstream, each.startedAt, each.ageMs);
        else telemetry.log('peerReportRejected', { error: 'invalid leaving upstream in a report' });
      }
    },
  };
}
