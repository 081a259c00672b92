/** Serves a request to a plain upstream: quota charge, attempts and answer. */
import type { ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import type { UpstreamId } from '@hibiscusbank/core';
import type { Charge } from '@hibiscusbank/quota';
import type { Grant, PlacementRequest } from '@hibiscusbank/scheduler';
import { runAttempts } from './attempts.js';
import type { FinalFailure } from './attempts.js';
import type { StoredAnswer } from './claims.js';
import { formatError, OUTCOME_HEADER } from './error-response.js';
import { createCallerHeaders } from './headers.js';
import type { LatencyWindow } from './latency-window.js';
import { sendHedged, sendPlain } from './plain-attempt.js';
import type { PlainExchange, PlainSuccess } from './plain-attempt.js';
import type { RetryBudget } from './retry-budget.js';

/** Largest answer stored for repeats of an idempotency key. */
export const MAX_STORED_ANSWER_BYTES = 16 * 1024;

/** Added to the attempt number of a hedged attempt, so that it differs from those of retries. */
const HEDGE_ATTEMPT_OFFSET = 100;

export interface PlainContext extends PlainExchange {
  readonly outgoing: ServerResponse;
  readonly budget: RetryBudget;
  readonly latencyWindow: LatencyWindow;
  /** Whether the answer is stored for repeats of the idempotency key. */
  readonly storesAnswer: boolean;
}

/** Failure of a plain request, or the answer to store. */
export interface PlainRequestResult {
  readonly failure: FinalFailure | undefined;
  readonly answer: StoredAnswer | undefined;
}

/** Sends the error if the response has not started; closes the connection otherwise. */
export function refusePlain(context: PlainContext, failure: FinalFailure): PlainRequestResult {
  const { options, req, outgoing } = context;
  const { error, effect } = failure;
  options.telemetry.metrics.refusals.inc({ kind: error.kind });
  options.telemetry.log('requestRefused', { request: req.id, kind: error.kind, effect });
  const formatted = formatError(error, effect);
  if (outgoing.headersSent) {
    outgoing.destroy();
  } else {
    outgoing.writeHead(formatted.status, { ...formatted.headers, 'x-request-id': req.id });
    outgoing.end(formatted.body);
  }
  return { failure, answer: undefined };
}

function createPlacement(
  { req }: PlainContext,
  attempt: number,
  exclude: readonly UpstreamId[],
): PlacementRequest {
  const { route } = req;
  const elapsedMs = performance.now() - req.startedAtMs;
  const remainingMs = (limitMs: number): number => Math.max(0, limitMs - elapsedMs);
  return {
    requestId: req.id,
    attempt,
    organisation: req.organisation,
    pool: route.pool,
    promptTokens: 0,
    expectedTokens: route.requestCost,
    maxTokens: 0,
    prefixHashes: [],
    urgency: route.urgency,
    firstTokenTargetMs: remainingMs(route.firstTokenTargetMs),
    patienceMs: remainingMs(route.patienceMs),
    timeLimitMs: remainingMs(route.timeLimitMs),
    exclude,
  };
}

async function placeHedge(
  context: PlainContext,
  first: Grant,
  exclude: UpstreamId,
): Promise<Grant | undefined> {
  const placement = createPlacement(context, first.attempt, [exclude]);
  // The hold on the upstream and the grant are keyed by the attempt number, which therefore has
  // to differ from that of the first attempt.
  const hedge = { ...placement, attempt: first.attempt + HEDGE_ATTEMPT_OFFSET, patienceMs: 0 };
  const placed = await context.options.scheduler.place(hedge, context.req.signal);
  return placed.isOk() ? placed.value : undefined;
}

function sendAttempt(context: PlainContext, grant: Grant): ReturnType<typeof sendPlain> {
  const { req, budget, latencyWindow } = context;
  const { route } = req;
  const isHedged = route.idempotent && route.urgency === 'urgent' && context.body !== undefined;
  if (!isHedged) return sendPlain(context, grant, req.signal);
  return sendHedged(context, grant, {
    window: latencyWindow,
    takeRetry: () => budget.takeRetry(route.pool),
    placeHedge: (exclude) => placeHedge(context, grant, exclude),
  });
}

/** Copies a body while it is read. Returns a getter of the copy: `undefined` if it is too large. */
function captureBody(body: Readable): () => Buffer | undefined {
  const chunks: Buffer[] = [];
  let size = 0;
  body.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= MAX_STORED_ANSWER_BYTES) chunks.push(chunk);
  });
  return () => (size <= MAX_STORED_ANSWER_BYTES ? Buffer.concat(chunks) : undefined);
}

async function relayAnswer(
  context: PlainContext,
  success: PlainSuccess,
): Promise<PlainRequestResult> {
  const { options, req, outgoing } = context;
  const { answer, grant, latencyMs, upstream } = success;
  outgoing.writeHead(answer.status, {
    ...createCallerHeaders(answer.headers),
    'x-request-id': req.id,
    [OUTCOME_HEADER]: 'answered',
  });
  const readCaptured = context.storesAnswer ? captureBody(answer.body) : () => undefined;
  try {
    await pipeline(answer.body, outgoing);
  } catch {
    // The status line has been sent, so only the truncated body tells the caller of the failure.
    outgoing.destroy();
    const outcome = req.signal.aborted ? 'cancelled' : 'failed';
    options.scheduler.release(grant, { outcome, latencyMs, upstream });
    return { failure: undefined, answer: undefined };
  }
  context.latencyWindow.record(latencyMs);
  options.scheduler.release(grant, { outcome: 'completed', latencyMs, upstream });
  const body = readCaptured();
  if (body === undefined) return { failure: undefined, answer: undefined };
  const type = answer.headers['content-type'];
  return {
    failure: undefined,
    answer: {
      status: answer.status,
      headers: type === undefined ? {} : { 'content-type': type },
      bodyBase64: body.toString('base64'),
    },
  };
}

/** Serves one admitted request until its response ends. Never rejects. */
export async function servePlainRequest(context: PlainContext): Promise<PlainRequestResult> {
  const { options, req, budget } = context;
  const { route } = req;
  budget.recordRequest(route.pool);
  let charge: Charge | undefined;
  if (req.organisation !== undefined) {
    const debited = await options.quota.debit({
      organisation: req.organisation,
      requestId: req.id,
      tokens: route.requestCost,
      waitMs: route.patienceMs,
      signal: req.signal,
    });
    if (debited.isErr()) {
      return refusePlain(context, { error: debited.error, effect: 'not_run' });
    }
    charge = debited.value;
  }
  const result = await runAttempts({
    options,
    req,
    budget,
    firstAttempt: 1,
    exclude: [],
    createPlacement: (attempt, exclude) => createPlacement(context, attempt, exclude),
    runAttempt: (grant) => sendAttempt(context, grant),
    canRetry: (effect) => context.body !== undefined && (route.idempotent || effect === 'not_run'),
  });
  if (result.isOk()) return relayAnswer(context, result.value);
  if (charge !== undefined && result.error.effect === 'not_run') {
    options.quota.refund(charge, charge.tokens);
  }
  return refusePlain(context, result.error);
}
