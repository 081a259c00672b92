/** Options and faults of the plain upstream stand-in. */

export type ServiceDistribution = 'fixed' | 'exponential';

export interface UpstreamOptions {
  /** Mean service time. */
  readonly serviceMs: number;
  readonly distribution: ServiceDistribution;
  /** Seed of the service times. */
  readonly seed: number;
  /** Requests at a time; with more, all become slower in proportion. */
  readonly capacity: number;
  readonly coldLimit: number;
  readonly coldMs: number;
  readonly startsCold: boolean;
  /**
   * What a cold upstream does with a request above its limit. `failed`: runs it and answers 503.
   * `not_run`: answers 503 at once with `x-cold-start` and `x-not-run`.
   */
  readonly coldAnswer: 'failed' | 'not_run';
}

export const UPSTREAM_DEFAULTS: UpstreamOptions = {
  serviceMs: 5,
  distribution: 'fixed',
  seed: 1,
  capacity: 50,
  coldLimit: 2,
  coldMs: 5_000,
  startsCold: false,
  coldAnswer: 'failed',
};

export interface UpstreamFaults {
  /** Closes the listener. */
  readonly refuse: boolean;
  /** Answers nothing. */
  readonly freeze: boolean;
  /** Delays answers after the run. */
  readonly lateMs: number;
  /** Breaks the connection of the next n requests before they run. */
  readonly cutBefore: number;
  /** Breaks the connection of the next n requests after they ran. */
  readonly cutAfter: number;
  readonly slowFactor: number;
  /** Starts a cold start. Resets itself. */
  readonly turnCold: boolean;
}

export const NO_UPSTREAM_FAULTS: UpstreamFaults = {
  refuse: false,
  freeze: false,
  lateMs: 0,
  cutBefore: 0,
  cutAfter: 0,
  slowFactor: 1,
  turnCold: false,
};

export interface UpstreamCounters {
  requests: number;
  runs: number;
  running: number;
  peakRunning: number;
  /** Requests above the limit in a cold start. */
  coldOverloads: number;
  cutBefore: number;
  cutAfter: number;
}

export interface UpstreamState extends UpstreamCounters {
  readonly cold: boolean;
  /** Request ids that ran more than once. */
  readonly repeatedRequests: number;
  /** Idempotency keys that ran more than once. */
  readonly repeatedKeys: number;
}

export interface UpstreamRuns {
  readonly byRequest: Readonly<Record<string, number>>;
  readonly byIdempotencyKey: Readonly<Record<string, number>>;
}

/** A request as it arrived, for checks of what callers' headers become. */
export interface RecordedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}
