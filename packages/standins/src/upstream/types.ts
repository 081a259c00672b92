/** Options and faults of the plain upstream stand-in. */

export type ServiceDistribution = 'fixed' | 'exponential';

export interface UpstreamOptions {
  /** Mean service time. */
  readonly serviceMs: number;
  readonly distribution: ServiceDistribution;
  /** Seed of the service times. */
  readonly seed: number;
  /** Concurrent requests at full speed; above this number the service time grows in proportion. */
  readonly capacity: number;
  /** Requests that a cold upstream can run at a time. */
  readonly coldLimit: number;
  /** Duration of a cold start. */
  readonly coldMs: number;
  readonly startsCold: boolean;
  /**
   * Response of a cold upstream to a request above its limit. `failed`: runs the request, then
   * responds with 503. `not_run`: responds with 503 at once, with `x-cold-start` and `x-not-run`.
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
  /** Holds all responses back. */
  readonly freeze: boolean;
  /** Delay of each response after the request has run. */
  readonly lateMs: number;
  /** Breaks the connections of the next n requests before they run. */
  readonly cutBefore: number;
  /** Breaks the connections of the next n requests after they have run. */
  readonly cutAfter: number;
  /** Factor on service times. */
  readonly slowFactor: number;
  /** Triggers a cold start, then resets itself. */
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
  /** Requests above the limit during a cold start. */
  coldOverloads: number;
  cutBefore: number;
  cutAfter: number;
}

export interface UpstreamState extends UpstreamCounters {
  readonly cold: boolean;
  /** Number of request ids that ran more than once. */
  readonly repeatedRequests: number;
  /** Number of idempotency keys that ran more than once. */
  readonly repeatedKeys: number;
}

export interface UpstreamRuns {
  readonly byRequest: Readonly<Record<string, number>>;
  readonly byIdempotencyKey: Readonly<Record<string, number>>;
}

/** A request as it arrived, for checks of the headers that the router forwards. */
export interface RecordedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}
