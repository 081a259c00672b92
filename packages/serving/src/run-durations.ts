/** Remembers how long complete runs of each pool took, and estimates how long further runs take. */
import type { PoolId } from '@hibiscusbank/core';

/** Runs of a pool that are remembered: some tens of seconds of a busy node. */
const REMEMBERED_RUNS = 64;
/** Engines slow down while the nodes of a rolling restart share the load of those that stop. */
const SLOWER_FACTOR = 1.2;

/** Output of a run, as far as it can be told before the run. */
export interface ExpectedOutput {
  /** The caller's estimate of the output tokens; it can be far off. */
  readonly expectedTokens: number;
  readonly maxTokens: number;
  /** Number of events in which the maximum output arrives, 0 for a response that is not a stream. */
  readonly maxEvents: number;
}

export interface CompleteRun extends ExpectedOutput {
  /** Time to the first event, or to the whole response of a plain upstream. */
  readonly firstMs: number;
  /** Time from the first event to the last. */
  readonly restMs: number;
  /** Number of reads that brought events; an event takes no longer than one of them. */
  readonly reads: number;
}

export interface RunDurations {
  record(pool: PoolId, run: CompleteRun): void;
  /**
   * Returns the milliseconds within which a share (0 to 1) of such runs end, `undefined` if no run of
   * the pool is known. A share of 1 counts the slowest generation of the maximum output.
   */
  estimateMs(pool: PoolId, output: ExpectedOutput, share: number): number | undefined;
}

interface RecentRuns {
  readonly firstMs: number[];
  readonly msPerMaxToken: number[];
  readonly msPerRead: number[];
  readonly msPerExpectedToken: number[];
}

function remember(values: number[], value: number): void {
  values.push(value);
  if (values.length > REMEMBERED_RUNS) values.shift();
}

/** Returns the value that a share of all values does not exceed. */
function findQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}

/** Creates the memory of one node. */
export function createRunDurations(): RunDurations {
  const pools = new Map<PoolId, RecentRuns>();
  return {
    record: (pool, { firstMs, restMs, reads, expectedTokens, maxTokens }) => {
      const recent = pools.get(pool) ?? {
        firstMs: [],
        msPerMaxToken: [],
        msPerRead: [],
        msPerExpectedToken: [],
      };
      pools.set(pool, recent);
      remember(recent.firstMs, firstMs);
      if (maxTokens > 0) remember(recent.msPerMaxToken, restMs / maxTokens);
      if (reads > 0) remember(recent.msPerRead, restMs / reads);
      if (expectedTokens > 0) remember(recent.msPerExpectedToken, restMs / expectedTokens);
    },
    estimateMs: (pool, { expectedTokens, maxTokens, maxEvents }, share) => {
      const recent = pools.get(pool);
      if (recent === undefined) return undefined;
      // The remembered runs may all be short, so their pace counts too.
      const longestRestMs = Math.max(
        maxTokens * Math.max(0, ...recent.msPerMaxToken),
        maxEvents * Math.max(0, ...recent.msPerRead),
      );
      const longestMs = (Math.max(...recent.firstMs) + longestRestMs) * SLOWER_FACTOR;
      if (share >= 1) return longestMs;
      const likelyMs =
        findQuantile(recent.firstMs, share) +
        expectedTokens * findQuantile(recent.msPerExpectedToken, share);
      return Math.min(longestMs, likelyMs);
    },
  };
}
