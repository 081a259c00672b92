/** Options and report of the load tool. */

/** A node; `admin` is the address with `/readyz`. */
export interface LoadTarget {
  readonly url: string;
  readonly admin?: string;
}

export interface LoadOrganisation {
  readonly name: string;
  readonly key: string;
  /** Share of the arrivals relative to the other organisations. */
  readonly weight: number;
}

/** Inclusive range; values are drawn evenly on a logarithmic scale. */
export type Range = readonly [min: number, max: number];

interface RouteBase {
  readonly name: string;
  /** Share of the arrivals relative to the other routes. */
  readonly weight: number;
  readonly path: string;
  readonly firstTokenTargetMs: number;
}

export interface ModelRoute extends RouteBase {
  readonly kind: 'model';
  readonly model: string;
  readonly form: 'chat' | 'completion';
  readonly stream: boolean;
  readonly promptTokens: Range;
  /** Tokens at the start of the prompt that requests have in common. */
  readonly sharedTokens: number;
  /** Number of different shared starts. */
  readonly sharedPrompts: number;
  readonly answerTokens: Range;
  readonly tokenGapTargetMs: number;
  /** Share of the streams that the caller cancels part of the way. */
  readonly cancelShare: number;
}

export interface PlainRoute extends RouteBase {
  readonly kind: 'plain';
  readonly method: 'GET' | 'POST';
  readonly bodyBytes: number;
  /** Whether each request carries its own `Idempotency-Key`. */
  readonly idempotencyKeys: boolean;
}

export type LoadRoute = ModelRoute | PlainRoute;

export interface LoadOptions {
  readonly targets: readonly LoadTarget[];
  readonly organisations: readonly LoadOrganisation[];
  readonly routes: readonly LoadRoute[];
  readonly ratePerS: number;
  readonly seconds: number;
  readonly seed: number;
  /** Time for running requests to end after the last arrival. */
  readonly drainSeconds: number;
  /** Arrivals above this number of running requests are not sent and counted as skipped. */
  readonly maxConcurrent: number;
  /** Whether a broken stream is repeated on the next target with `Last-Event-ID`. */
  readonly resumes: boolean;
}

/**
 * How a request ended. `answered`: whole and right. `wrong`: complete by its form, with text missing,
 * out of order or of another request. `not_run`, `unknown`: refused with that outcome, also by an
 * error event within a stream. `cut`: the connection broke. `unreachable`: no connection.
 * `cancelled`: by the caller on purpose. `unfinished`: still running at the end of the run.
 */
export type LoadOutcome =
  'answered' | 'wrong' | 'not_run' | 'unknown' | 'cut' | 'unreachable' | 'cancelled' | 'unfinished';

/** One finished request. */
export interface RequestResult {
  readonly outcome: LoadOutcome;
  /** Status of a response other than 200. */
  readonly status: number | undefined;
  readonly detail: string | undefined;
  readonly tokens: number;
  readonly firstTokenMs: number | undefined;
  readonly meanGapMs: number | undefined;
  readonly resumed: number;
}

export interface LatencySummary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

export interface LoadSummary {
  readonly sent: number;
  readonly outcomes: Readonly<Record<LoadOutcome, number>>;
  readonly refusedByStatus: Readonly<Record<string, number>>;
  /** Answered requests within both latency targets. */
  readonly good: number;
  readonly goodPerS: number;
  readonly answeredPerS: number;
  readonly tokens: number;
  readonly resumed: number;
  readonly firstToken: LatencySummary;
  readonly tokenGap: LatencySummary;
}

export interface LoadReport {
  readonly seed: number;
  readonly seconds: number;
  readonly skipped: number;
  /** Arrivals without a ready target. */
  readonly noTarget: number;
  readonly peakConcurrent: number;
  readonly total: LoadSummary;
  readonly byOrganisation: Readonly<Record<string, LoadSummary>>;
  readonly byRoute: Readonly<Record<string, LoadSummary>>;
  /** The first faults in words, for diagnosis. */
  readonly faults: readonly string[];
}
