/** Sends one planned request and classifies how it ended. */
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
  /** Running requests by what aborts them; a listener for each on one signal would cost more. */
  readonly running: Set<() => void>;
  /** Whether the run is over and what still runs is aborted. */
  readonly isOver: () => boolean;
}

/** A request at the time of its arrival. */
export interface Arrival {
  readonly planned: PlannedRequest;
  readonly startedAtMs: number;
  /** Receives the time between two tokens. */
  readonly onGap: (gapMs: number) => void;
}

/** What one request has received, over all its connections. */
interface Progress extends Arrival {
  readonly scanner: EventScanner | undefined;
  firstTokenMs: number | undefined;
  lastTokenAtMs: number;
  body: string;
  resumed: number;
  /** Targets without a listener. */
  readonly unreachable: Set<LoadTarget>;
  cancelled: boolean;
}

interface Ending {
  readonly outcome: LoadOutcome;
  readonly status?: number;
  readonly detail?: string | undefined;
}

function noteTokens(progress: Progress, tokens: number): void {
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

function classifyBody(progress: Progress): Ending & { tokens: number } {
  const verdict = verifyBody(progress.body, progress.planned.expectation);
  return {
    outcome: verdict.fault === undefined ? 'answered' : 'wrong',
    detail: verdict.fault,
    tokens: verdict.tokens,
  };
}

/** An answer that ends without its last event counts as cut: the caller sees that it is not whole. */
function classifyStream(scanner: EventScanner): Ending {
  const error = scanner.errorOutcome();
  if (scanner.fault() !== undefined) return { outcome: 'wrong', detail: scanner.fault() };
  if (error !== undefined) return { outcome: error, detail: 'error event' };
  return scanner.isWhole() ? { outcome: 'answered' } : { outcome: 'cut', detail: 'early end' };
}

function classifyRefusal(status: number, outcome: string | undefined): Ending {
  return { outcome: outcome === 'not_run' ? 'not_run' : 'unknown', status };
}

function classifyError(context: SendContext, progress: Progress, error: Error): Ending {
  if (progress.cancelled) return { outcome: 'cancelled' };
  if (context.isOver()) return { outcome: 'unfinished' };
  const code = (error as Error & { code?: string }).code ?? error.message;
  return { outcome: CONNECT_CODES.has(code) ? 'unreachable' : 'cut', detail: code };
}

function createHeaders(progress: Progress): Record<string, string> {
  const lastId = progress.scanner?.lastEventId();
  return {
    ...progress.planned.headers,
    ...(lastId === undefined ? {} : { 'last-event-id': lastId }),
  };
}

/** Sends the request over one connection. The raw dispatch interface costs least per chunk. */
function sendOnce(context: SendContext, progress: Progress, target: LoadTarget): Promise<Ending> {
  const { planned, scanner } = progress;
  return new Promise((resolve) => {
    let status = 0;
    let outcome: string | undefined;
    let abort = (): void => {};
    const onAbort = (): void => abort();
    const finish = (ending: Ending): void => {
      context.running.delete(onAbort);
      resolve(ending);
    };
    context.running.add(onAbort);
    const read = (chunk: Buffer): void => {
      const text = chunk.toString('latin1');
      if (status !== HTTP_OK || scanner === undefined) {
        progress.body += text;
        return;
      }
      const tokens = scanner.feed(text);
      if (tokens > 0) noteTokens(progress, tokens);
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
          abort = () => controller.abort(new Error('given up'));
          if (context.isOver()) abort();
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

function hasBegun(progress: Progress): boolean {
  return progress.scanner !== undefined && progress.scanner.tokens() > 0;
}

/** A request that reached no target goes to the next one; a broken stream is resumed there. */
function mayContinue(context: SendContext, progress: Progress, ending: Ending): boolean {
  const isUnreachable = ending.outcome === 'unreachable';
  if (!hasBegun(progress)) return isUnreachable;
  const isBroken = ending.outcome === 'cut' || isUnreachable;
  return context.resumes && isBroken && progress.resumed < MAX_RESUMES;
}

/** Whatever refuses the rest of an answer, its beginning ran and was received. */
function correctEnding(progress: Progress, ending: Ending): Ending {
  const isRefused = ending.status !== undefined || ending.outcome === 'unreachable';
  if (!hasBegun(progress) || !isRefused) return ending;
  const reason = ending.status === undefined ? 'unreachable' : `status ${ending.status}`;
  return { ...ending, outcome: 'cut', detail: `resume refused: ${reason}` };
}

function createProgress(arrival: Arrival): Progress {
  const { expectation, route } = arrival.planned;
  const streams = expectation.kind === 'model' && route.kind === 'model' && route.stream;
  return {
    ...arrival,
    scanner: streams ? createEventScanner(expectation.tag, expectation.maxTokens) : undefined,
    firstTokenMs: undefined,
    lastTokenAtMs: 0,
    body: '',
    resumed: 0,
    unreachable: new Set(),
    cancelled: false,
  };
}

function createResult(progress: Progress, ending: Ending & { tokens?: number }): RequestResult {
  const elapsedMs = performance.now() - progress.startedAtMs;
  const tokens = progress.scanner?.tokens() ?? ending.tokens ?? 0;
  // An answer in one body counts its whole time as the time to its first token.
  const firstTokenMs = progress.scanner === undefined ? elapsedMs : progress.firstTokenMs;
  const hasGaps = progress.scanner !== undefined && tokens > 1 && firstTokenMs !== undefined;
  const streamedMs = progress.lastTokenAtMs - progress.startedAtMs - (firstTokenMs ?? 0);
  return {
    outcome: ending.outcome,
    status: ending.status,
    detail: ending.detail,
    tokens,
    firstTokenMs,
    meanGapMs: hasGaps ? streamedMs / (tokens - 1) : undefined,
    resumed: progress.resumed,
  };
}

/**
 * Runs one request to its end. Times count from `startedAtMs`, the time of its arrival, so that a
 * delay of the load tool shows in them. Never rejects.
 */
export async function sendRequest(
  context: SendContext,
  arrival: Arrival,
  firstTarget: LoadTarget,
): Promise<RequestResult> {
  const progress = createProgress(arrival);
  let target: LoadTarget | undefined = firstTarget;
  let ending = await sendOnce(context, progress, firstTarget);
  while (mayContinue(context, progress, ending)) {
    // A broken connection says nothing about new connections to the same target.
    if (ending.outcome === 'unreachable') {
      context.targets.reportUnreachable(target);
      progress.unreachable.add(target);
    }
    target = context.targets.next(progress.unreachable);
    if (target === undefined) break;
    if (hasBegun(progress)) progress.resumed += 1;
    progress.scanner?.reconnect();
    ending = await sendOnce(context, progress, target);
  }
  return createResult(progress, correctEnding(progress, ending));
}
