/** Serves a request to a plain upstream. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { createError } from '@hibiscusbank/core';
import type { Effect, RouterError, UpstreamId } from '@hibiscusbank/core';
import type { UpstreamAnswer } from '@hibiscusbank/engines';
import type { Grant, GrantOutcome } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { formatError, OUTCOME_HEADER } from './error-response.js';
import { createCallerHeaders, createUpstreamHeaders } from './headers.js';
import type { RetryBudget } from './retry-budget.js';
import { MAX_ATTEMPTS } from './serve-model.js';
import type { AdmittedRequest, GatewayOptions } from './types.js';

export interface PlainContext {
  readonly options: GatewayOptions;
  readonly req: AdmittedRequest;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  /** The whole body when it is small; otherwise it is streamed and can be sent once. */
  readonly body: Buffer | undefined;
  readonly budget: RetryBudget;
}

interface PlainFailure {
  readonly error: RouterError;
  readonly effect: Effect;
}

interface PlainSuccess {
  readonly answer: UpstreamAnswer;
  readonly grant: Grant;
  readonly startedAt: number;
}

function refusePlain(context: PlainContext, failure: PlainFailure): void {
  const { options, req, outgoing } = context;
  options.telemetry.metrics.refusals.inc({ kind: failure.error.kind });
  options.telemetry.log('requestRefused', {
    request: req.id,
    kind: failure.error.kind,
    effect: failure.effect,
  });
  const formatted = formatError(failure.error, failure.effect);
  if (outgoing.headersSent) {
    outgoing.destroy();
    return;
  }
  outgoing.writeHead(formatted.status, { ...formatted.headers, 'x-request-id': req.id });
  outgoing.end(formatted.body);
}

function classifyOutcome(error: RouterError, signal: AbortSignal): GrantOutcome {
  if (error.kind === 'upstream_cold') return 'cold';
  if (error.kind === 'upstream_refused') return 'refused';
  return signal.aborted ? 'cancelled' : 'failed';
}

async function sendAttempt(
  context: PlainContext,
  grant: Grant,
  server: { upstream: UpstreamId; address: string },
): Promise<Result<PlainSuccess, RouterError>> {
  const { options, req, incoming, body } = context;
  const startedAt = performance.now();
  const sent = await options.upstreams.send({
    address: server.address,
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: createUpstreamHeaders(incoming.headers, req, grant.attempt),
    body: body ?? incoming,
    signal: req.signal,
  });
  const result = sent.isOk() ? 'completed' : 'failed';
  options.telemetry.metrics.attempts.inc({ pool: grant.pool, result });
  if (sent.isOk()) return ok({ answer: sent.value, grant, startedAt });
  const { error } = sent;
  const outcome = classifyOutcome(error, req.signal);
  options.scheduler.release(grant, { outcome, upstream: server.upstream });
  options.telemetry.log('attemptFailed', {
    request: req.id,
    attempt: grant.attempt,
    upstream: server.upstream,
    kind: error.kind,
  });
  return err(error);
}

async function runAttempts(context: PlainContext): Promise<Result<PlainSuccess, PlainFailure>> {
  const { options, req, body, budget } = context;
  const { route } = req;
  const exclude: UpstreamId[] = [];
  let effect: Effect = 'not_run';
  let lastError = createError('no_capacity', 'no attempt was possible; retry later');
  budget.recordRequest(route.pool);
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const elapsedMs = performance.now() - req.startedAtMs;
    const placed = await options.scheduler.place(
      {
        requestId: req.id,
        attempt,
        organisation: req.organisation,
        pool: route.pool,
        promptTokens: 0,
        expectedTokens: route.requestCost,
        maxTokens: 0,
        prefixHashes: [],
        urgency: route.urgency,
        firstTokenTargetMs: Math.max(0, route.firstTokenTargetMs - elapsedMs),
        patienceMs: Math.max(0, route.patienceMs - elapsedMs),
        timeLimitMs: Math.max(0, route.timeLimitMs - elapsedMs),
        exclude,
      },
      req.signal,
    );
    if (placed.isErr()) return err({ error: placed.error, effect });
    const grant = placed.value;
    if (grant.target.kind !== 'plain') {
      options.scheduler.release(grant, { outcome: 'unused' });
      return err({
        error: createError('not_found', `pool ${grant.pool} has no servers; correct the route`),
        effect,
      });
    }
    const { server } = grant.target;
    const sent = await sendAttempt(context, grant, server);
    if (sent.isOk()) return ok(sent.value);
    lastError = sent.error;
    if (lastError.effect !== 'not_run') effect = 'unknown';
    const mayRepeat = body !== undefined && (route.idempotent || effect === 'not_run');
    if (!mayRepeat || req.signal.aborted || !budget.takeRetry(route.pool)) break;
    exclude.push(server.upstream);
  }
  return err({ error: lastError, effect });
}

async function relayAnswer(context: PlainContext, success: PlainSuccess): Promise<void> {
  const { options, req, outgoing } = context;
  const { answer, grant, startedAt } = success;
  const latencyMs = performance.now() - startedAt;
  outgoing.writeHead(answer.status, {
    ...createCallerHeaders(answer.headers),
    'x-request-id': req.id,
    [OUTCOME_HEADER]: 'answered',
  });
  const upstream = grant.target.kind === 'plain' ? grant.target.server.upstream : undefined;
  const named = upstream === undefined ? {} : { upstream };
  try {
    await pipeline(answer.body, outgoing);
    options.scheduler.release(grant, { outcome: 'completed', latencyMs, ...named });
  } catch {
    // The status line is out, so the caller learns of the failure from the cut body.
    outgoing.destroy();
    const outcome = req.signal.aborted ? 'cancelled' : 'failed';
    options.scheduler.release(grant, { outcome, latencyMs, ...named });
  }
}

/** Serves one admitted request to its end. Never rejects. */
export async function servePlainRequest(context: PlainContext): Promise<void> {
  const { options, req } = context;
  if (req.organisation !== undefined) {
    const debited = await options.quota.debit({
      organisation: req.organisation,
      requestId: req.id,
      tokens: req.route.requestCost,
      waitMs: req.route.patienceMs,
      signal: req.signal,
    });
    if (debited.isErr()) {
      refusePlain(context, { error: debited.error, effect: 'not_run' });
      return;
    }
    const result = await runAttempts(context);
    if (result.isErr()) {
      if (result.error.effect === 'not_run')
        options.quota.refund(debited.value, req.route.requestCost);
      refusePlain(context, result.error);
      return;
    }
    await relayAnswer(context, result.value);
    return;
  }
  const result = await runAttempts(context);
  if (result.isErr()) refusePlain(context, result.error);
  else await relayAnswer(context, result.value);
}
