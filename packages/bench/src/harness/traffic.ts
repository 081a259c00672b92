/** Open-loop load that keeps a record of every request and of each of its connections. */
import { createRandom, sleep } from '@hibiscusbank/core';
import { createRequestPlanner, createTargets, sendRequest } from '@hibiscusbank/standins';
import type {
  LoadOptions,
  LoadTarget,
  PlannedRequest,
  RequestResult,
  Targets,
} from '@hibiscusbank/standins';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';

const MS_PER_S = 1_000;
const REPEAT_PAUSE_MS = 300;
const HTTP_OK = 200;
const ERROR_BODY = /"type":"([^"]*)","message":"([^"]*)"/;
const OUTCOME_HEADER = 'x-hibiscusbank-outcome';

/** One connection's share of a request. Times are monotonic milliseconds. */
export interface TrafficExchange {
  readonly origin: string;
  requestId: string | undefined;
  outcome: string | undefined;
  status: number | undefined;
  /** Type and message of the error in a refusal. */
  reason: string | undefined;
  /** Set when the connection broke. */
  error: string | undefined;
  endedAtMs: number;
}

/** One request of the load, over all of its connections. */
export interface TrafficRecord {
  readonly planned: PlannedRequest;
  readonly arrivedAtMs: number;
  readonly exchanges: TrafficExchange[];
  /** Results in order; more than one when the caller repeated the request under its key. */
  readonly results: RequestResult[];
  isOver: boolean;
}

export interface TrafficOptions extends Pick<
  LoadOptions,
  'targets' | 'organisations' | 'routes' | 'ratePerS' | 'seconds' | 'seed' | 'drainSeconds'
> {
  /** How often a caller repeats a request with an idempotency key that has no answer. */
  readonly keyedRepeats?: number;
}

export interface Traffic {
  readonly records: readonly TrafficRecord[];
  /** Longest delay of a launch behind its arrival; a large one means that the machine was too busy. */
  maxLagMs(): number;
  /** Resolves when all requests have ended or the time to drain is over. */
  readonly done: Promise<void>;
}

function readHeader(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function readReason(chunk: Buffer): string | undefined {
  const [, type, message] = ERROR_BODY.exec(chunk.toString()) ?? [];
  return type === undefined ? undefined : `${type}: ${message ?? ''}`;
}

/** A client that notes each exchange of one request. */
function createRecordingClient(client: Agent, exchanges: TrafficExchange[]): Dispatcher {
  const dispatch: Dispatcher['dispatch'] = (options, handler) => {
    const exchange: TrafficExchange = {
      origin: String(options.origin),
      requestId: undefined,
      outcome: undefined,
      status: undefined,
      reason: undefined,
      error: undefined,
      endedAtMs: Infinity,
    };
    exchanges.push(exchange);
    return client.dispatch(options, {
      onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
      onResponseStart: (controller, status, headers, message) => {
        exchange.status = status;
        exchange.requestId = readHeader(headers['x-request-id']);
        exchange.outcome = readHeader(headers[OUTCOME_HEADER]);
        handler.onResponseStart?.(controller, status, headers, message);
      },
      onResponseData: (controller, chunk) => {
        if (exchange.status !== HTTP_OK) exchange.reason = readReason(chunk);
        handler.onResponseData?.(controller, chunk);
      },
      onResponseEnd: (controller, trailers) => {
        exchange.endedAtMs = performance.now();
        handler.onResponseEnd?.(controller, trailers);
      },
      onResponseError: (controller, error) => {
        exchange.endedAtMs = performance.now();
        exchange.error = error.message;
        handler.onResponseError?.(controller, error);
      },
    });
  };
  return { dispatch } as unknown as Dispatcher;
}

interface Sender {
  readonly client: Agent;
  readonly targets: Targets;
  readonly running: Set<() => void>;
  readonly isOver: () => boolean;
  readonly keyedRepeats: number;
}

function mayRepeat(record: TrafficRecord, repeats: number): boolean {
  const last = record.results.at(-1);
  const isKeyed = record.planned.headers['idempotency-key'] !== undefined;
  return isKeyed && last?.outcome !== 'answered' && record.results.length <= repeats;
}

async function send(sender: Sender, record: TrafficRecord): Promise<void> {
  const { targets, running, isOver, keyedRepeats } = sender;
  const client = createRecordingClient(sender.client, record.exchanges);
  const context = { client, targets, resumes: true, running, isOver };
  const startedAtMs = record.arrivedAtMs;
  const arrival = { planned: record.planned, startedAtMs, onGap: () => {} };
  do {
    if (record.results.length > 0) await sleep(REPEAT_PAUSE_MS);
    const target: LoadTarget | undefined = targets.next();
    if (target === undefined) break;
    record.results.push(await sendRequest(context, arrival, target));
  } while (mayRepeat(record, keyedRepeats) && !isOver());
  record.isOver = true;
}

async function runArrivals(
  options: TrafficOptions,
  launch: (arrivedAtMs: number) => void,
): Promise<void> {
  const random = createRandom(options.seed + 1);
  const endMs = performance.now() + options.seconds * MS_PER_S;
  let nextMs = performance.now();
  for (;;) {
    nextMs += (-Math.log(1 - random.next()) * MS_PER_S) / options.ratePerS;
    if (nextMs >= endMs) return;
    const waitMs = nextMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    launch(nextMs);
  }
}

/** Starts the load. */
export function startTraffic(options: TrafficOptions): Traffic {
  const client = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: MS_PER_S },
  });
  const targets = createTargets(options.targets, client);
  const planner = createRequestPlanner({ ...options, maxConcurrent: Infinity, resumes: true });
  const records: TrafficRecord[] = [];
  const sent = new Set<Promise<void>>();
  const running = new Set<() => void>();
  let over = false;
  const keyedRepeats = options.keyedRepeats ?? 0;
  const sender = { client, targets, running, isOver: () => over, keyedRepeats };

  let maxLagMs = 0;
  const launch = (arrivedAtMs: number): void => {
    maxLagMs = Math.max(maxLagMs, performance.now() - arrivedAtMs);
    const planned = planner.next();
    const record = { planned, arrivedAtMs, exchanges: [], results: [], isOver: false };
    records.push(record);
    const ended = send(sender, record).finally(() => sent.delete(ended));
    sent.add(ended);
  };
  const run = async (): Promise<void> => {
    await targets.check();
    targets.start();
    await runArrivals(options, launch);
    const timer = new AbortController();
    const drainMs = options.drainSeconds * MS_PER_S;
    await Promise.race([Promise.all(sent), sleep(drainMs, timer.signal)]);
    timer.abort();
    over = true;
    for (const abort of [...running]) abort();
    await Promise.all(sent);
    targets.stop();
    await client.destroy();
  };
  return { records, maxLagMs: () => Math.round(maxLagMs), done: run() };
}
