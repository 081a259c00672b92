/** Serves requests to plain upstreams, which are not model engines. */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { sendError, sendBuffered } from './responses.js';
import type { Refusal } from './allocation/index.js';
import type { ColdPermit } from './cold-limit.js';
import { choosePlain } from './choose-plain.js';
import { organisationOf, remainingMs } from './context.js';
import type { AdmittedRequest, ServingContext } from './context.js';
import type { KnownUpstream } from './directory.js';
import { describeBlocked, describeFailure, describeTimeout, gotNoResponse } from './failures.js';
import type { ServingFailure } from './failures.js';
import { readFullBody } from './http-exchange.js';
import type { QuarantinedParts } from './quarantine-notices.js';
import type { VersionRun } from './rollouts/index.js';
import { startTimeLimit } from './time-limit.js';
import type { SendFailure, UpstreamReply } from './types.js';
import type { RunEnd } from './upstream-ends.js';

/** Maximum number of sends of one request, including those that the upstream refuses. */
const MAX_SENDS = 4;
/**
 * Fraction of the route's target after which an idempotent request is retried on another upstream.
 * The work itself takes a small part of the target, so an upstream that needs longer is unhealthy.
 */
const RETRY_TARGET_SHARE = 0.6;
/** Retry delay for refused callers: about the time in which an upstream works off its queue. */
const PLAIN_RETRY_AFTER_MS = 100;

interface PlainResponse {
  readonly reply: UpstreamReply;
  readonly body: Buffer;
}

const isUpstreamError = ({ reply }: PlainResponse): boolean => reply.status >= 500;

function describeRunEnd(
  sent: Result<UpstreamReply, SendFailure>,
  body: Buffer | undefined,
  isAborted: boolean,
): RunEnd {
  if (sent.isOk() && body !== undefined) return sent.value.status < 300 ? 'answered' : 'other';
  const isBroken = sent.isOk() || sent.error.reason === 'broken';
  return isBroken && !isAborted ? 'broken' : 'other';
}

function recordVersionRun(
  run: VersionRun,
  sent: Result<UpstreamReply, SendFailure>,
  body: Buffer | undefined,
  isExpired: boolean,
): void {
  if (sent.isOk() && body !== undefined) {
    run.recordFirst();
    run.end(sent.value.status >= 500 ? 'failed' : 'answered');
    return;
  }
  // Without an answer the time so far still tells whether the upstream is slow.
  if (isExpired) run.recordFirst();
  const isBroken = !isExpired && (sent.isOk() || sent.error.reason === 'broken');
  run.end(isBroken ? 'failed' : 'none');
}

async function sendOnce(
  context: ServingContext,
  admitted: AdmittedRequest,
  upstream: KnownUpstream,
  coldPermit: ColdPermit,
  limitMs: number,
): Promise<Result<PlainResponse, SendFailure>> {
  const { transport, loads, health } = context;
  const release = loads.begin(upstream.id, 0);
  const limit = startTimeLimit(admitted.signal, limitMs);
  coldPermit.recordSend();
  health.recordSend(upstream);
  context.unavailable.recordSend(upstream);
  const finishRun = context.crashProtection.beginRun(upstream, admitted.req.id, admitted.suspects);
  const versionRun = context.rollouts.beginRun(upstream, admitted.route.id, 'request');
  const sent = await transport.send({
    upstream,
    req: admitted.req,
    body: admitted.body,
    organisation: organisationOf(admitted),
    remainingMs: remainingMs(admitted),
    signal: limit.signal,
  });
  const body = sent.isOk() ? await readFullBody(sent.value) : undefined;
  finishRun(describeRunEnd(sent, body, limit.signal.aborted));
  limit.stop();
  release();
  recordVersionRun(versionRun, sent, body, limit.isExpired());
  if (sent.isErr()) {
    const hasRequestEnded = sent.error.reason === 'aborted' && !limit.isExpired();
    const isHealthy = sent.error.reason === 'moved' || sent.error.reason === 'paused';
    if (!hasRequestEnded && !isHealthy) {
      health.recordFailure(upstream, gotNoResponse(sent.error) ? 'no_response' : 'answered');
    }
    return err(sent.error);
  }
  if (body === undefined) {
    if (!admitted.signal.aborted) health.recordFailure(upstream, 'answered');
    return err({ effect: 'unknown', wasSent: true, reason: 'broken' });
  }
  const response = { reply: sent.value, body };
  if (isUpstreamError(response)) health.recordFailure(upstream, 'answered');
  else health.recordSuccess(upstream);
  return ok(response);
}

/** Serves one admitted request to its end. Resolves to the failure, if any. */
export async function servePlain(
  context: ServingContext,
  admitted: AdmittedRequest,
): Promise<ServingFailure | undefined> {
  const { retryBudget, telemetry } = context;
  const { pool, route, outgoing, req, signal } = admitted;
  const excluded = new Set<UpstreamId>();
  const mayRetry = route.kind === 'idempotent';
  let runs = 0;
  let refusedBy: Refusal | undefined;
  let retryAfterMs = PLAIN_RETRY_AFTER_MS;
  let effect: 'not_run' | 'unknown' = 'not_run';
  let lastResponse: PlainResponse | undefined;
  let blocked: QuarantinedParts | undefined;
  let lastFailure: SendFailure = { effect: 'not_run', wasSent: false, reason: 'unreachable' };

  for (let sends = 0; sends < MAX_SENDS && !signal.aborted; sends += 1) {
    const choice = await choosePlain(context, admitted, excluded, refusedBy);
    if (choice.kind === 'limited') retryAfterMs = choice.retryAfterMs;
    if (choice.kind !== 'chosen') break;
    const { upstream, alternative, coldPermit, observe, release } = choice;
    blocked = context.crashProtection.findBlocked(req.id, admitted.suspects);
    const isRetry = sends > 0 && lastFailure.wasSent;
    if (blocked !== undefined || (isRetry && !retryBudget.take(pool.id))) {
      coldPermit.release();
      release();
      break;
    }
    // A send is aborted early only when a retry can follow.
    const mayRetryElsewhere =
      mayRetry &&
      runs + 1 < route.maxAttempts &&
      alternative !== undefined &&
      retryBudget.canTake(pool.id);
    const limitMs = mayRetryElsewhere ? route.targetMs * RETRY_TARGET_SHARE : remainingMs(admitted);
    const startedAt = monotonicMs();
    const result = await sendOnce(context, admitted, upstream, coldPermit, limitMs);
    const ms = monotonicMs() - startedAt;
    if (result.isOk()) observe(ms);
    release();
    telemetry.log('upstreamAnswered', {
      request: req.id,
      upstream: upstream.id,
      status: result.isOk() ? result.value.reply.status : undefined,
      failure: result.isErr() ? result.error.reason : undefined,
      ms: Math.round(ms),
    });
    excluded.add(upstream.id);
    if (result.isOk()) {
      lastResponse = result.value;
      context.durations.record(pool.id, {
        firstMs: ms,
        restMs: 0,
        reads: 0,
        maxTokens: 0,
        maxEvents: 0,
        expectedTokens: 0,
      });
      lastFailure = { effect: 'unknown', wasSent: true, reason: 'broken' };
      runs += 1;
      if (!isUpstreamError(lastResponse) || !mayRetry || runs >= route.maxAttempts) break;
      effect = 'unknown';
      continue;
    }
    lastFailure = result.error;
    if (lastFailure.reason === 'moved') context.moved.record(upstream);
    if (lastFailure.effect === 'not_run') {
      refusedBy = { upstream: upstream.id, isAlive: !gotNoResponse(lastFailure) };
      continue;
    }
    effect = 'unknown';
    runs += 1;
    if (!mayRetry || runs >= route.maxAttempts) break;
    if (!(await context.crashProtection.mayRepeat(upstream, admitted.suspects))) break;
  }

  if (lastResponse !== undefined) {
    sendBuffered(outgoing, lastResponse.reply, lastResponse.body);
    return undefined;
  }
  if (blocked !== undefined) {
    const failure = describeBlocked(blocked, effect);
    sendError(outgoing, failure.error, failure.effect);
    return failure;
  }
  const failure = signal.aborted
    ? describeTimeout(effect)
    : describeFailure({ ...lastFailure, effect }, retryAfterMs);
  sendError(outgoing, failure.error, failure.effect);
  return failure;
}
