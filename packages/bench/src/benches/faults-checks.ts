/** Compares what callers saw with what upstreams ran. */
import type { EngineStandin, RequestResult, UpstreamStandin } from '@hibiscusbank/standins';
import type { TrafficExchange, TrafficRecord } from '../harness/traffic.js';
import type { Kill } from './faults-schedule.js';

/** A connection to a killed node breaks within this time of the kill. */
const KILL_WINDOW_MS = 1_000;

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** What upstreams ran. */
export interface UpstreamLog {
  readonly plainRuns: ReadonlyMap<string, number>;
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
  readonly answeredTwice: readonly string[];
  readonly ranTwice: readonly string[];
  readonly untrueNotRun: readonly string[];
  /** Requests cut with the node that served them. */
  readonly cutWithNode: number;
  readonly resumed: number;
  /** Resumes refused because no engine kept the stream. */
  readonly resumesRefused: readonly string[];
}

interface CheckInput {
  readonly records: readonly TrafficRecord[];
  readonly log: UpstreamLog;
  readonly kills: readonly Kill[];
  /** Paths of plain requests by their ids, as upstreams saw them. */
  readonly pathsById: ReadonlyMap<string, string>;
}

const lastOf = ({ results }: TrafficRecord): RequestResult | undefined => results.at(-1);

function isCutByKill(exchange: TrafficExchange | undefined, kills: readonly Kill[]): boolean {
  if (exchange === undefined) return false;
  const { origin, endedAtMs } = exchange;
  return kills.some(
    (kill) =>
      kill.origin === origin && endedAtMs >= kill.atMs && endedAtMs <= kill.atMs + KILL_WINDOW_MS,
  );
}

function describe({ planned, arrivedAtMs, exchanges, results }: TrafficRecord): string {
  const ids = exchanges.map(
    ({ requestId, status, outcome, reason, error, endedAtMs }) =>
      `after ${Math.round(endedAtMs - arrivedAtMs)} ms ${requestId ?? 'no id'} ${status ?? 'no status'} ${outcome ?? 'no outcome'} ${reason ?? error ?? ''}`,
  );
  const endings = results.map(({ outcome, detail }) => `${outcome} ${detail ?? ''}`);
  return `${planned.route.name} ${planned.path}: ${endings.join(', ')} [${ids.join('; ')}]`;
}

/** Refused requests have an outcome, and so have answers; what remains is a cut or endless one. */
function isUnanswered(record: TrafficRecord, kills: readonly Kill[]): boolean {
  const ending = lastOf(record);
  if (ending === undefined) return false;
  const exchange = record.exchanges.at(-1);
  if (ending.outcome === 'unfinished') return true;
  // A resume that is refused with an outcome tells the caller how the request ended.
  const isRefused = exchange?.status !== HTTP_OK && exchange?.outcome !== undefined;
  if (ending.outcome === 'cut') return !isRefused && !isCutByKill(exchange, kills);
  return ending.outcome === 'unknown' && ending.status !== undefined && !exchange?.outcome;
}

/** A refusal within a stream comes after tokens of a run. */
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

/** Ids, keys and operations without a key that ran more than once. */
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

/** Refused and never connected requests were not admitted. */
function isAdmitted(record: TrafficRecord): boolean {
  return record.results.some(({ outcome }) => outcome !== 'not_run' && outcome !== 'unreachable');
}

/** Evaluates a run. */
export function checkRecords(input: CheckInput): FaultFigures {
  const { records, log, kills } = input;
  const select = (matches: (record: TrafficRecord) => boolean): string[] =>
    records.filter(matches).map(describe);
  const isOutcome = (record: TrafficRecord, outcome: string): boolean =>
    lastOf(record)?.outcome === outcome;
  return {
    admitted: records.filter(isAdmitted).length,
    unanswered: select((record) => isUnanswered(record, kills)),
    answeredTwice: select((record) => isOutcome(record, 'wrong')),
    ranTwice: findRanTwice(input),
    untrueNotRun: select((record) => isUntrueNotRun(record, log)),
    cutWithNode: records.filter(
      (record) => isOutcome(record, 'cut') && isCutByKill(record.exchanges.at(-1), kills),
    ).length,
    resumesRefused: select(({ exchanges }) =>
      exchanges.some(({ status }) => status === HTTP_NOT_FOUND),
    ),
    resumed: records.reduce(
      (sum, { results }) => sum + results.reduce((n, result) => n + result.resumed, 0),
      0,
    ),
  };
}

/** How often each ending occurred, by route. */
export function countEndings(
  records: readonly TrafficRecord[],
): Record<string, Record<string, number>> {
  const counts: Record<string, Record<string, number>> = {};
  for (const record of records) {
    const { name } = record.planned.route;
    const ending = lastOf(record)?.outcome ?? 'no_target';
    const own = counts[name] ?? {};
    counts[name] = { ...own, [ending]: (own[ending] ?? 0) + 1 };
  }
  return counts;
}

const BUCKET_MS = 2_000;

/** Answered and refused requests of every route in steps of the time of arrival. */
export function formatTimeline(records: readonly TrafficRecord[]): readonly string[] {
  const startMs = records[0]?.arrivedAtMs ?? 0;
  const buckets: TrafficRecord[][] = [];
  for (const record of records) {
    const index = Math.floor((record.arrivedAtMs - startMs) / BUCKET_MS);
    buckets[index] = [...(buckets[index] ?? []), record];
  }
  return buckets.map(
    (bucket, i) => `from ${(i * BUCKET_MS) / 1_000} s: ${JSON.stringify(countEndings(bucket))}`,
  );
}

/** How often each reason of a refusal occurred, without the names in it. */
export function countReasons(records: readonly TrafficRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { reason } of records.flatMap(({ exchanges }) => exchanges)) {
    if (reason === undefined) continue;
    const kind = reason.replaceAll(/[\w-]*\d[\w-]*/g, 'N');
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}
