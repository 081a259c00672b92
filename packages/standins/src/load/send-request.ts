/** Sends one planned request and classifies its outcome. */
import type { Dispatcher } from 'undici';
import type { PlannedRequest } from './plan-request.js';
import { createEventScanner } from './scan-events.js';
import type { EventScanner } from './scan-events.js';
import type { Targets } from './targets.js';
import type { LoadOutcome, LoadTarget, RequestResult } from './types.js';
import { verifyBody } from './verify-body.js';

const HTTP_OK = 200;
const OUTCOME_HEADER = 'x-hibiscusbank-outcome';
const MAX_RESUMES = 3;
const CONNECT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

export interface SendContext {
  readonly client: Dispatcher;
  readonly targets: Targets;
  readonly resumes: boolean;
  /**
   * Functions that abort the running requests. A set of functions costs less than one listener for
   * each request on a shared signal.
   */
  readonly abortCallbacks: Set<() => void>;
  /** Returns whether the run has ended. Requests that still run are then aborted. */
  readonly hasEnded: () => boolean;
}

/** A request at the time of its arrival. */
export interface Arrival {
  readonly planned: PlannedRequest;
  readonly startedAtMs: number;
  /** Receives the time between two tokens. */
  readonly onGap: (gapMs: number) => void;
}

/** State of one request across all of its connections. */
interface Progress extends Arrival {
  readonly scanner: EventScanner | undefined;
  firstTokenMs: number | undefined;
  lastTokenAtMs: number;
  body: string;
  resumed: number;
  /** Targets to which no connection could be opened. */
  readonly unreachable: Set<LoadTarget>;
  cancelled: boolean;
}

/** How one connection of a request ended. */
interface ConnectionResult {
  readonly outcome: LoadOutcome;
  readonly status?: number;
  readonly detail?: string | undefined;
}

function recordTokens(progress: Progress, tokens: number): void {
  const now = performance.now();
  if (progress.firstTokenMs === undefined) {
    progress.firstTokenMs = now - progress.startedAtMs;
  } else {
    progress.onGap(now - progress.lastTokenAtMs);
  }
  // Tokens that arrive together have no gap between them.
  for (let i = 1; i < tokens; i += 1) progress.onGap(0);
  progress.lastTokenAtMs = now;
}

function classifyBody(progress: Progress): ConnectionResult & { tokens: number } {
  const check = verifyBody(progress.body, progress.planned.expectation);
  return {
    outcome: check.fault === undefined ? 'answered' : 'wrong',
    detail: check.fault,
    tokens: check.tokens,
  };
}

/**
 * Classifies a stream that has ended. A stream without its last event counts as `cut` and not as
 * `wrong`, because the caller can tell that it is incomplete.
 */
function classifyStream(scanner: EventScanner): ConnectionResult {
  const error = scanner.errorOutcome();
  if (scanner.fault() !== undefined) return { outcome: 'wrong', detail: scanner.fault() };
  if (error !== undefined) return { outcome: error, detail: 'error event' };
  return scanner.isComplete()
    ? { outcome: 'answered' }
    : { outcome: 'cut', detail: 'stream ended before its last event' };
}

function classifyRefusal(status: number, outcome: string | undefined): ConnectionResult {
  return { outcome: outcome === 'not_run' ? 'not_run' : 'unknown', status };
}

function classifyError(context: SendContext, progress: Progress, error: Error): ConnectionResult {
  if (progress.cancelled) return { outcome: 'cancelled' };
  if (context.hasEnded()) return { outcome: 'unfinished' };
  const code = (error as Error & { code?: string }).code ?? error.message;
  return { outcome: CONNECT_CODES.has(code) ? 'unreachable' : 'cut', detail: code };
}

function createHeaders(progress: Progress): Record<string, string> {
  const lastEventId = progress.scanner?.lastEventId();
  return {
    ...progress.planned.headers,
    ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId }),
  };
}

/** Sends the request over one connection, with undici's `dispatch` for its low cost per chunk. */
function sendOnce(
  context: SendContext,
  progress: Progress,
  target: LoadTarget,
): Promise<ConnectionResult> {
  const { planned, scanner } = progress;
  return new Promise((resolve) => {
    let status = 0;
    let outcome: string | undefined;
    let abort = (): void => {};
    const onAbort = (): void => abort();
    const finish = (connectionResult: ConnectionResult): void => {
      context.abortCallbacks.delete(onAbort);
      resolve(connectionResult);
    };
    context.abortCallbacks.add(onAbort);
    const read = (chunk: Buffer): void => {
      const text = chunk.toString('latin1');
      if (status !== HTTP_OK || scanner === undefined) {
        progress.body += text;
        return;
      }
      const tokens = scanner.feed(text);
      if (tokens > 0) recordTokens(progress, tokens);
      if (planned.cancelAfter === undefined || scanner.tokens() < planned.cancelAfter) return;
      progress.cancelled = true;
      abort();
    };
    context.client.dispatch(
      {
        origin: target.url,
        path: planned.path,
        method: planned.method,
        headers: createHeaders(progress),
        body: planned.body ?? null,
      },
      {
        onRequestStart: (controller) => {
          abort = () => controller.abort(new Error('request aborted by the load tool'));
          if (context.hasEnded()) abort();
        },
        onResponseStart: (_controller, code, headers) => {
          status = code;
          const value = headers[OUTCOME_HEADER];
          outcome = Array.isArray(value) ? value[0] : value;
        },
        onResponseData: (_controller, chunk) => read(chunk),
        onResponseEnd: () => {
          if (status !== HTTP_OK) finish(classifyRefusal(status, outcome));
          else finish(scanner === undefined ? classifyBody(progress) : classifyStream(scanner));
        },
        onResponseError: (_controller, error) => finish(classifyError(context, progress, error)),
      },
    );
  });
}

function hasReceivedTokens(progress: Progress): boolean {
  return progress.scanner !== undefined && progress.scanner.tokens() > 0;
}

/**
 * Returns whether the request is sent to the next target: after a failed connection, or to resume a
 * broken stream.
 */
function shouldRetry(
  context: SendContext,
  progress: Progress,
  connectionResult: ConnectionResult,
): boolean {
  const isUnreachable = connectionResult.outcome === 'unreachable';
  if (!hasReceivedTokens(progress)) return isUnreachable;
  const isBroken = connectionResult.outcome === 'cut' || isUnreachable;
  return context.resumes && isBroken && progress.resumed < MAX_RESUMES;
}

/**
 * Changes the outcome to `cut` if the rest of an answer was refused or no target was reachable: its
 * first tokens were generated and received, so `not_run` and `unreachable` would be wrong.
 */
function correctForReceivedTokens(
  progress: Progress,
  connectionResult: ConnectionResult,
): ConnectionResult {
  const isRefused =
    connectionResult.status !== undefined || connectionResult.outcome === 'unreachable';
  if (!hasReceivedTokens(progress) || !isRefused) return connectionResult;
  const reason =
    connectionResult.status === undefined ? 'unreachable' : `status ${connectionResult.status}`;
  return { ...connectionResult, outcome: 'cut', detail: `resume refused: ${reason}` };
}

function createProgress(arrival: Arrival): Progress {
  const { expectation, route } = arrival.planned;
  const isStreamed = expectation.kind === 'model' && route.kind === 'model' && route.stream;
  return {
    ...arrival,
    scanner: isStreamed ? createEventScanner(expectation.tag, expectation.maxTokens) : undefined,
    firstTokenMs: undefined,
    lastTokenAtMs: 0,
    body: '',
    resumed: 0,
    unreachable: new Set(),
    cancelled: false,
  };
}

function createResult(
  progress: Progress,
  connectionResult: ConnectionResult & { tokens?: number },
): RequestResult {
  const elapsedMs = performance.now() - progress.startedAtMs;
  const tokens = progress.scanner?.tokens() ?? connectionResult.tokens ?? 0;
  // For an answer in one body, the time to its first token is the whole response time.
  const firstTokenMs = progress.scanner === undefined ? elapsedMs : progress.firstTokenMs;
  const hasGaps = progress.scanner !== undefined && tokens > 1 && firstTokenMs !== undefined;
  const streamedMs = progress.lastTokenAtMs - progress.startedAtMs - (firstTokenMs ?? 0);
  return {
    outcome: connectionResult.outcome,
    status: connectionResult.status,
    detail: connectionResult.detail,
    tokens,
    firstTokenMs,
    meanGapMs: hasGaps ? streamedMs / (tokens - 1) : undefined,
    resumed: progress.resumed,
  };
}

/**
 * Sends one request and resolves to its result. Times are measured from `startedAtMs`, the time of
 * its arrival, and therefore include delays of the load tool. Never rejects.
 */
export async function sendRequest(
  context: SendContext,
  arrival: Arrival,
  firstTarget: LoadTarget,
): Promise<RequestResult> {
  const progress = createProgress(arrival);
  let target: LoadTarget | undefined = firstTarget;
  let connectionResult = await sendOnce(context, progress, firstTarget);
  while (shouldRetry(context, progress, connectionResult)) {
    // Only a failed connect marks a target as unreachable: after a broken connection, the same
    // target may still accept new ones.
    if (connectionResult.outcome === 'unreachable') {
      context.targets.reportUnreachable(target);
      progress.unreachable.add(target);
    }
    target = context.targets.next(progress.unreachable);
    if (target === undefined) break;
    if (hasReceivedTokens(progress)) progress.resumed += 1;
    progress.scanner?.reconnect();
    connectionResult = await sendOnce(context, progress, target);
  }
  return createResult(progress, correctForReceivedTokens(progress, connectionResult));
}
