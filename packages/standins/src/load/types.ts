/** Options and report of the load tool. */

/** A node that receives load. */
export interface LoadTarget {
  readonly url: string;
  /** Base URL that serves `/readyz`. */
  readonly admin?: string;
}

export interface LoadOrganisation {
  readonly name: string;
  readonly key: string;
  /** Share of the arrivals, relative to the weights of the other organisations. */
  readonly weight: number;
}

/** Inclusive range. Values are drawn uniformly on a logarithmic scale. */
export type Range = readonly [min: number, max: number];

interface RouteBase {
  readonly name: string;
  /** Share of the arrivals, relative to the weights of the other routes. */
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
  /** Length of the prefix that prompts have in common. */
  readonly sharedTokens: number;
  /** Number of different common prefixes. */
  readonly sharedPrompts: number;
  readonly answerTokens: Range;
  readonly tokenGapTargetMs: number;
  /** Fraction of the streams that the load tool cancels before their end. */
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
  /** Maximum time after the last arrival for running requests to end. */
  readonly drainSeconds: number;
  /** At this number of running requests, further arrivals are not sent but counted as skipped. */
  readonly maxConcurrent: number;
  /** Whether a broken stream is resumed on the next target with `Last-Event-ID`. */
  readonly resumes: boolean;
}

/**
 * How a request ended.
 * - `answered`: with the complete, correct answer.
 * - `wrong`: with text that is missing, out of order or from another request.
 * - `not_run`, `unknown`: refused with that outcome, by a response or by an error event in a
 *   stream.
 * - `cut`: the answer broke off and was not resumed to its end.
 * - `unreachable`: no connection could be opened.
 * - `cancelled`: the load tool disconnected as planned.
 * - `unfinished`: the request was still running at the end of the run.
 */
export type LoadOutcome =
  'answered' | 'wrong' | 'not_run' | 'unknown' | 'cut' | 'unreachable' | 'cancelled' | 'unfinished';

/** Result of one request. */
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
  /** Number of answered requests that met their latency targets. */
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
  /** Arrivals that were not sent because no target was ready. */
  readonly noTarget: number;
  readonly peakConcurrent: number;
  readonly total: LoadSummary;
  readonly byOrganisation: Readonly<Record<string, LoadSummary>>;
  readonly byRoute: Readonly<Record<string, LoadSummary>>;
  /** Descriptions of the first `wrong` and `cut` requests, for diagnosis. */
  readonly faults: readonly string[];
}
