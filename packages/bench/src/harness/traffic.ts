/** Open-loop load that records every request and each of its HTTP exchanges. */
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
const RETRY_DELAY_MS = 300;
const HTTP_OK = 200;
const ERROR_BODY = /"type":"([^"]*)","message":"([^"]*)"/;
const OUTCOME_HEADER = 'x-hibiscusbank-outcome';

/** One HTTP exchange of a request. Times are monotonic milliseconds. */
export interface TrafficExchange {
  readonly origin: string;
  requestId: string | undefined;
  outcome: string | undefined;
  status: number | undefined;
  /** Type and message in the error body of a refusal. */
  reason: string | undefined;
  /** Error message when the connection broke. */
  error: string | undefined;
  endedAtMs: number;
}

/** One request of the load with all of its HTTP exchanges. */
export interface TrafficRecord {
  readonly planned: PlannedRequest;
  readonly arrivedAtMs: number;
  readonly exchanges: TrafficExchange[];
  /** Results in order; more than one when the request was retried with its idempotency key. */
  readonly results: RequestResult[];
  isFinished: boolean;
}

export interface TrafficOptions extends Pick<
  LoadOptions,
  'targets' | 'organisations' | 'routes' | 'ratePerS' | 'seconds' | 'seed' | 'drainSeconds'
> {
  /** Maximum number of retries of an unanswered request that has an idempotency key. */
  readonly maxKeyedRetries?: number;
}

export interface Traffic {
  readonly records: readonly TrafficRecord[];
  /**
   * Longest delay between the scheduled and the actual sending of a request; high on an overloaded
   * machine.
   */
  maxLagMs(): number;
  /**
   * Resolves when all requests have ended or the drain time has elapsed and the rest was aborted.
   */
  readonly done: Promise<void>;
}

function readHeader(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function readReason(chunk: Buffer): string | undefined {
  const [, type, message] = ERROR_BODY.exec(chunk.toString()) ?? [];
  return type === undefined ? undefined : `${type}: ${message ?? ''}`;
}

/** Creates a client that records each HTTP exchange of one request. */
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
  readonly abortCallbacks: Set<() => void>;
  readonly hasEnded: () => boolean;
  readonly maxKeyedRetries: number;
}

function shouldRetry(record: TrafficRecord, maxRetries: number): boolean {
  const last = record.results.at(-1);
  const isKeyed = record.planned.headers['idempotency-key'] !== undefined;
  return isKeyed && last?.outcome !== 'answered' && record.results.length <= maxRetries;
}

async function send(sender: Sender, record: TrafficRecord): Promise<void> {
  const { targets, abortCallbacks, hasEnded, maxKeyedRetries } = sender;
  const client = createRecordingClient(sender.client, record.exchanges);
  const context = { client, targets, resumes: true, abortCallbacks, hasEnded };
  const startedAtMs = record.arrivedAtMs;
  const arrival = { planned: record.planned, startedAtMs, onGap: () => {} };
  do {
    if (record.results.length > 0) await sleep(RETRY_DELAY_MS);
    const target: LoadTarget | undefined = targets.next();
    if (target === undefined) break;
    record.results.push(await sendRequest(context, arrival, target));
  } while (shouldRetry(record, maxKeyedRetries) && !hasEnded());
  record.isFinished = true;
}

async function runArrivals(
  options: TrafficOptions,
  startRequest: (arrivedAtMs: number) => void,
): Promise<void> {
  const random = createRandom(options.seed + 1);
  const endMs = performance.now() + options.seconds * MS_PER_S;
  let nextMs = performance.now();
  for (;;) {
    nextMs += (-Math.log(1 - random.next()) * MS_PER_S) / options.ratePerS;
    if (nextMs >= endMs) return;
    const waitMs = nextMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    startRequest(nextMs);
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
  const inFlight = new Set<Promise<void>>();
  const abortCallbacks = new Set<() => void>();
  let isStopped = false;
  const maxKeyedRetries = options.maxKeyedRetries ?? 0;
  const sender = { client, targets, abortCallbacks, hasEnded: () => isStopped, maxKeyedRetries };

  let maxLagMs = 0;
  const startRequest = (arrivedAtMs: number): void => {
    maxLagMs = Math.max(maxLagMs, performance.now() - arrivedAtMs);
    const planned = planner.next();
    const record = { planned, arrivedAtMs, exchanges: [], results: [], isFinished: false };
    records.push(record);
    const completion = send(sender, record).finally(() => inFlight.delete(completion));
    inFlight.add(completion);
  };
  const run = async (): Promise<void> => {
    await targets.check();
    targets.start();
    await runArrivals(options, startRequest);
    const timer = new AbortController();
    const drainMs = options.drainSeconds * MS_PER_S;
    await Promise.race([Promise.all(inFlight), sleep(drainMs, timer.signal)]);
    timer.abort();
    isStopped = true;
    for (const abort of [...abortCallbacks]) abort();
    await Promise.all(inFlight);
    targets.stop();
    await client.destroy();
  };
  return { records, maxLagMs: () => Math.round(maxLagMs), done: run() };
}
