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

/** Maximum number of characters of parts in a log line. */
const MAX_LOGGED_CHARS = 2_000;

export interface UpstreamEndsOptions {
  readonly isListening: (upstream: ServingUpstream) => Promise<boolean | undefined>;
  readonly onEnd: (end: UpstreamEnd) => void;
  readonly telemetry: Telemetry;
}

export interface UpstreamEnds {
  /** Records a run that is being sent. The returned function records how it ended. */
  begin(upstream: ServingUpstream, parts: readonly string[]): (end: 'broken' | 'other') => void;
}

interface Run {
  readonly parts: readonly string[];
  readonly sentAt: number;
}

interface ProcessRuns {
  readonly running: Set<Run>;
  /** Runs that broke off and whose cause is not known yet. */
  broken: Run[];
  isChecking: boolean;
  hasEnded: boolean;
}

/** Creates the detection of one node. */
export function createUpstreamEnds(options: UpstreamEndsOptions): UpstreamEnds {
  const { isListening, onEnd, telemetry } = options;
  const processes = new Map<string, ProcessRuns>();

  const dropIfIdle = (key: string, { running, broken }: ProcessRuns): void => {
    if (running.size === 0 && broken.length === 0) processes.delete(key);
  };

  const check = async (key: string, upstream: ServingUpstream, runs: ProcessRuns) => {
    runs.isChecking = true;
    const listening = await isListening(upstream);
    runs.isChecking = false;
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
    begin: (upstream, parts) => {
      const key = `${upstream.id} ${upstream.startedAt}`;
      const runs = processes.get(key) ?? {
        running: new Set(),
        broken: [],
        isChecking: false,
        hasEnded: false,
      };
      processes.set(key, runs);
      const run: Run = { parts, sentAt: monotonicMs() };
      runs.running.add(run);
      return (end) => {
        if (!runs.running.delete(run)) return;
        if (end === 'broken' && !runs.hasEnded) {
          runs.broken.push(run);
          if (!runs.isChecking) void check(key, upstream, runs);
        }
        dropIfIdle(key, runs);
      };
    },
  };
}
