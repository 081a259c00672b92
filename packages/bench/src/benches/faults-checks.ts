/** Compares the results that callers got with the requests that upstreams ran. */
import type { EngineStandin, RequestResult, UpstreamStandin } from '@hibiscusbank/standins';
import type { TrafficExchange, TrafficRecord } from '../harness/traffic.js';
import type { Kill } from './faults-schedule.js';

/** Maximum time between the kill of a node and the break of its connections. */
const KILL_WINDOW_MS = 1_000;

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Requests that upstreams ran. */
export interface UpstreamLog {
  /** Number of runs by request id. */
  readonly plainRuns: ReadonlyMap<string, number>;
  /** Number of runs by idempotency key. */
  readonly keyRuns: ReadonlyMap<string, number>;
  readonly prefilled: ReadonlySet<string>;
  readonly decoded: ReadonlySet<string>;
}

function addCounts(sum: Map<string, number>, counts: Readonly<Record<string, number>>): void {
  for (const [id, count] of Object.entries(counts)) sum.set(id, (sum.get(id) ?? 0) + count);
}

/** Reads the run counters, summed over all upstreams. */
export function readUpstreamLog(
  engines: readonly EngineStandin[],
  upstreams: readonly UpstreamStandin[],
): UpstreamLog {
  const plainRuns = new Map<string, number>();
  const keyRuns = new Map<string, number>();
  const prefilled = new Set<string>();
  const decoded = new Set<string>();
  for (const upstream of upstreams) {
    const runs = upstream.readRuns();
    addCounts(plainRuns, runs.byRequest);
    addCounts(keyRuns, runs.byIdempotencyKey);
  }
  for (const key of engines.flatMap((engine) => Object.keys(engine.readRuns()))) {
    const [kind, id] = key.split('/');
    (kind === 'prefill' ? prefilled : decoded).add(id ?? '');
  }
  return { plainRuns, keyRuns, prefilled, decoded };
}

export interface FaultFigures {
  readonly admitted: number;
  readonly unanswered: readonly string[];
  /** Requests whose answer is `wrong`: its text is incomplete, repeated or of another request. */
  readonly answeredTwice: readonly string[];
  readonly ranTwice: readonly string[];
  /** Requests that were reported as not run although an upstream ran them. */
  readonly untrueNotRun: readonly string[];
  /** Requests whose connection broke because the node that served them was killed. */
  readonly cutWithNode: number;
  readonly resumed: number;
  /** Requests with a resume that was refused because no engine had kept the stream. */
  readonly resumesRefused: readonly string[];
}

interface CheckInput {
  readonly records: readonly TrafficRecord[];
  readonly log: UpstreamLog;
  readonly kills: readonly Kill[];
  /** Paths of plain requests by request id, as upstreams received them. */
  readonly pathsById: ReadonlyMap<string, string>;
}

const lastResult = ({ results }: TrafficRecord): RequestResult | undefined => results.at(-1);

function isCutByKill(exchange: TrafficExchange | undefined, kills: readonly Kill[]): boolean {
  if (exchange === undefined) return false;
  const { origin, endedAtMs } = exchange;
  return kills.some(
    (kill) =>
      kill.origin === origin && endedAtMs >= kill.atMs && endedAtMs <= kill.atMs + KILL_WINDOW_MS,
  );
}

function describeRecord({ planned, arrivedAtMs, exchanges, results }: TrafficRecord): string {
  const exchangeTexts = exchanges.map(
    ({ requestId, status, outcome, reason, error, endedAtMs }) =>
      `after ${Math.round(endedAtMs - arrivedAtMs)} ms ${requestId ?? 'no id'} ${status ?? 'no status'} ${outcome ?? 'no outcome'} ${reason ?? error ?? ''}`,
  );
  const resultTexts = results.map(({ outcome, detail }) => `${outcome} ${detail ?? ''}`);
  return `${planned.route.name} ${planned.path}: ${resultTexts.join(', ')} [${exchangeTexts.join('; ')}]`;
}

/**
 * Returns whether a request got neither an answer nor an outcome: it never ended, its connection
 * broke although its node was not killed at that time, or its error response has no outcome.
 */
function isUnanswered(record: TrafficRecord, kills: readonly Kill[]): boolean {
  const result = lastResult(record);
  if (result === undefined) return false;
  const exchange = record.exchanges.at(-1);
  if (result.outcome === 'unfinished') return true;
  // If a refused resume states an outcome, the caller knows how the request ended.
  const isRefused = exchange?.status !== HTTP_OK && exchange?.outcome !== undefined;
  if (result.outcome === 'cut') return !isRefused && !isCutByKill(exchange, kills);
  return result.outcome === 'unknown' && result.status !== undefined && !exchange?.outcome;
}

/**
 * Returns whether a request was reported as not run although it ran. A `not_run` within a stream is
 * always false, since the stream has started.
 */
function isUntrueNotRun(record: TrafficRecord, log: UpstreamLog): boolean {
  const inStream = record.results.some(
    ({ outcome, status }) => outcome === 'not_run' && status === undefined,
  );
  const refused = record.exchanges.some(
    ({ outcome, requestId: id }) =>
      outcome === 'not_run' &&
      id !== undefined &&
      (log.plainRuns.has(id) || log.decoded.has(id) || log.prefilled.has(id)),
  );
  return inStream || refused;
}

function isNonIdempotent(path: string): boolean {
  return path.startsWith('/bookings') || path.startsWith('/orders');
}

/** Finds request ids, idempotency keys and bookings (which have no key) that ran more than once. */
function findRanTwice({ log, pathsById }: CheckInput): string[] {
  const idsByPath = new Map<string, string[]>();
  const found: string[] = [];
  for (const [id, count] of log.plainRuns) {
    const path = pathsById.get(id) ?? '';
    if (isNonIdempotent(path) && count > 1) found.push(`request ${id} ${path}: ${count} runs`);
    if (path.startsWith('/bookings')) idsByPath.set(path, [...(idsByPath.get(path) ?? []), id]);
  }
  for (const [path, ids] of idsByPath) if (ids.length > 1) found.push(`${path}: ${ids.join(' ')}`);
  for (const [key, count] of log.keyRuns) if (count > 1) found.push(`key ${key}: ${count} runs`);
  return found;
}

/**
 * Returns whether any attempt was admitted, that is, reached a node and was not refused as not run.
 */
function isAdmitted(record: TrafficRecord): boolean {
  return record.results.some(({ outcome }) => outcome !== 'not_run' && outcome !== 'unreachable');
}

/** Computes the figures of a run. */
export function checkRecords(input: CheckInput): FaultFigures {
  const { records, log, kills } = input;
  const describeMatching = (matches: (record: TrafficRecord) => boolean): string[] =>
    records.filter(matches).map(describeRecord);
  const isOutcome = (record: TrafficRecord, outcome: string): boolean =>
    lastResult(record)?.outcome === outcome;
  return {
    admitted: records.filter(isAdmitted).length,
    unanswered: describeMatching((record) => isUnanswered(record, kills)),
    answeredTwice: describeMatching((record) => isOutcome(record, 'wrong')),
    ranTwice: findRanTwice(input),
    untrueNotRun: describeMatching((record) => isUntrueNotRun(record, log)),
    cutWithNode: records.filter(
      (record) => isOutcome(record, 'cut') && isCutByKill(record.exchanges.at(-1), kills),
    ).length,
    resumesRefused: describeMatching(({ exchanges }) =>
      exchanges.some(({ status }) => status === HTTP_NOT_FOUND),
    ),
    resumed: records.reduce(
      (sum, { results }) => sum + results.reduce((n, result) => n + result.resumed, 0),
      0,
    ),
  };
}

/** Counts the final outcomes of requests by route. */
export function countOutcomes(
  records: readonly TrafficRecord[],
): Record<string, Record<string, number>> {
  const counts: Record<string, Record<string, number>> = {};
  for (const record of records) {
    const { name } = record.planned.route;
    const outcome = lastResult(record)?.outcome ?? 'no_target';
    const routeCounts = counts[name] ?? {};
    counts[name] = { ...routeCounts, [outcome]: (routeCounts[outcome] ?? 0) + 1 };
  }
  return counts;
}

const BUCKET_MS = 2_000;

/** Formats the outcomes by route for each bucket of arrival times. */
export function formatTimeline(records: readonly TrafficRecord[]): readonly string[] {
  const startMs = records[0]?.arrivedAtMs ?? 0;
  const buckets: TrafficRecord[][] = [];
  for (const record of records) {
    const index = Math.floor((record.arrivedAtMs - startMs) / BUCKET_MS);
    buckets[index] = [...(buckets[index] ?? []), record];
  }
  return buckets.map(
    (bucket, i) => `from ${(i * BUCKET_MS) / 1_000} s: ${JSON.stringify(countOutcomes(bucket))}`,
  );
}

/** Counts the reasons of refusals. Words with digits, such as ids, are replaced by `N`. */
export function countRefusalReasons(records: readonly TrafficRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { reason } of records.flatMap(({ exchanges }) => exchanges)) {
    if (reason === undefined) continue;
    const kind = reason.replaceAll(/[\w-]*\d[\w-]*/g, 'N');
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}
