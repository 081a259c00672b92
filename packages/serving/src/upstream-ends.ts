/**
 * Detects that an upstream's process ended while it ran requests of this node, and tells which. A
 * broken answer alone is no such evidence: the upstream may have failed one request only.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { UpstreamEnd } from './part-suspicions.js';
import type { ServingUpstream } from './types.js';

/**
 * How a run ended: with a whole successful answer, with a broken one, or in a way that tells nothing
 * about the upstream.
 */
export type RunEnd = 'answered' | 'broken' | 'other';

/** Maximum number of characters of parts, and of requests, in a log line. */
const MAX_LOGGED_CHARS = 2_000;

export interface UpstreamEndsOptions {
  readonly isListening: (upstream: ServingUpstream) => Promise<boolean | undefined>;
  readonly onEnd: (end: UpstreamEnd) => void;
  readonly telemetry: Telemetry;
}

export interface UpstreamEnds {
  /** Records a run that is being sent. The returned function records how it ended. */
  begin(
    upstream: ServingUpstream,
    request: string,
    parts: readonly string[],
  ): (end: 'broken' | 'other') => void;
  /** Resolves when it is known whether the upstream has ended, if a run broke off. */
  whenChecked(upstream: ServingUpstream): Promise<void>;
}

interface Run {
  readonly request: string;
  readonly parts: readonly string[];
  readonly sentAt: number;
}

interface ProcessRuns {
  readonly running: Set<Run>;
  /** Runs that broke off and whose cause is not known yet. */
  broken: Run[];
  checking: Promise<void> | undefined;
  hasEnded: boolean;
}

const keyOf = ({ id, startedAt }: ServingUpstream): string => `${id} ${startedAt}`;

/** Creates the detection of one node. */
export function createUpstreamEnds(options: UpstreamEndsOptions): UpstreamEnds {
  const { isListening, onEnd, telemetry } = options;
  const processes = new Map<string, ProcessRuns>();

  const dropIfIdle = (key: string, { running, broken }: ProcessRuns): void => {
    if (running.size === 0 && broken.length === 0) processes.delete(key);
  };

  const check = async (key: string, upstream: ServingUpstream, runs: ProcessRuns) => {
    const listening = await isListening(upstream);
    runs.checking = undefined;
    const suspects = [...runs.broken, ...runs.running];
    runs.broken = [];
    if (listening === false && !runs.hasEnded) {
      runs.hasEnded = true;
      const now = monotonicMs();
      telemetry.metrics.upstreamEnds.inc({ pool: upstream.pool });
      telemetry.log('upstreamEnded', {
        upstream: upstream.id,
        startedAt: upstream.startedAt,
        runs: suspects.length,
        requests: suspects
          .map(({ request }) => request)
          .join(' ')
          .slice(0, MAX_LOGGED_CHARS),
        parts: suspects
          .map(({ parts }) => parts.join(','))
          .join(' ')
          .slice(0, MAX_LOGGED_CHARS),
      });
      onEnd({
        key,
        runs: suspects.map(({ parts, sentAt }) => ({ parts, ageMs: now - sentAt })),
      });
    }
    dropIfIdle(key, runs);
  };

  return {
    whenChecked: async (upstream) => processes.get(keyOf(upstream))?.checking,
    begin: (upstream, request, parts) => {
      const key = keyOf(upstream);
      const runs = processes.get(key) ?? {
        running: new Set(),
        broken: [],
        checking: undefined,
        hasEnded: false,
      };
      processes.set(key, runs);
      const run: Run = { request, parts, sentAt: monotonicMs() };
      runs.running.add(run);
      return (end) => {
        if (!runs.running.delete(run)) return;
        if (end === 'broken' && !runs.hasEnded) {
          runs.broken.push(run);
          runs.checking ??= check(key, upstream, runs);
        }
        dropIfIdle(key, runs);
      };
    },
  };
}
