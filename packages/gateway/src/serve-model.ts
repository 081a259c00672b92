/** Serves a model request: charge, attempts, answer. */
import { createError, hashPrefixes } from '@hibiscusbank/core';
import type { Effect, RouterError, UpstreamId } from '@hibiscusbank/core';
import type { Charge } from '@hibiscusbank/quota';
import type { Grant, PlacementRequest } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { runModelAttempt } from './model-attempt.js';
import type { AttemptContext } from './model-attempt.js';
import type { RetryBudget } from './retry-budget.js';

/** Attempts of one request, the first included. */
export const MAX_ATTEMPTS = 4;

interface FinalFailure {
  readonly error: RouterError;
  readonly effect: Effect;
}

function timeLeft(context: AttemptContext, limitMs: number): number {
  return limitMs - (performance.now() - context.req.startedAtMs);
}

/** The abort reason tells a disconnected caller from the time limit. */
function describeAbort(signal: AbortSignal): RouterError {
  return signal.reason instanceof Error && signal.reason.name === 'timeout'
    ? (signal.reason as RouterError)
    : createError('cancelled', 'the caller disconnected');
}

function createPlacementRequest(
  context: AttemptContext,
  attempt: number,
  prefixHashes: readonly number[],
  exclude: readonly UpstreamId[],
): PlacementRequest {
  const { options, req, model, progress, maxTokens } = context;
  const { route } = req;
  const waitLimitMs = progress.nextIndex === 0 ? route.patienceMs : route.timeLimitMs;
  return {
    requestId: req.id,
    attempt,
    organisation: req.organisation,
    pool: route.pool,
    promptTokens: options.countTokens(model.prompt + progress.text),
    expectedTokens: maxTokens - progress.nextIndex,
    maxTokens: maxTokens - progress.nextIndex,
    prefixHashes,
    urgency: route.urgency,
    firstTokenTargetMs: Math.max(0, timeLeft(context, route.firstTokenTargetMs)),
    patienceMs: Math.max(0, timeLeft(context, waitLimitMs)),
    timeLimitMs: Math.max(0, timeLeft(context, route.timeLimitMs)),
    exclude,
  };
}

async function runAttempts(
  context: AttemptContext,
  budget: RetryBudget,
): Promise<Result<Grant, FinalFailure>> {
  const { options, req, model } = context;
  const prefixHashes = hashPrefixes(model.prompt);
  const exclude: UpstreamId[] = [];
  let effect: Effect = 'not_run';
  let lastError = createError('no_capacity', 'no attempt was possible; retry later');
  budget.recordRequest(req.route.pool);
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const placed = await options.scheduler.place(
      createPlacementRequest(context, attempt, prefixHashes, exclude),
      req.signal,
    );
    if (placed.isErr()) {
      return err({ error: req.signal.aborted ? describeAbort(req.signal) : placed.error, effect });
    }
    const grant = placed.value;
    if (grant.target.kind !== 'model') {
      options.scheduler.release(grant, { outcome: 'unused' });
      return err({
        error: createError('not_found', `pool ${grant.pool} has no engines; correct the route`),
        effect,
      });
    }
    const result = await runModelAttempt(context, grant, grant.target);
    if (result.isOk()) return ok(grant);
    const { error, upstream } = result.error;
    lastError = error;
    if (error.effect !== 'not_run') effect = 'unknown';
    if (req.signal.aborted) return err({ error: describeAbort(req.signal), effect });
    if (!req.route.idempotent && effect === 'unknown') break;
    if (!budget.takeRetry(req.route.pool)) break;
    exclude.push(upstream);
  }
  return err({ error: lastError, effect });
}

/** Serves one admitted request to its end. Never rejects. */
export async function serveModelRequest(
  context: AttemptContext,
  budget: RetryBudget,
): Promise<void> {
  const { options, req, model, progress, writer, maxTokens } = context;
  const { quota, telemetry } = options;
  const promptTokens = options.countTokens(model.prompt);
  let charge: Charge | undefined;
  if (req.organisation !== undefined) {
    const debited = await quota.debit({
      organisation: req.organisation,
      requestId: req.id,
      tokens: promptTokens + maxTokens,
      waitMs: req.route.patienceMs,
      signal: req.signal,
    });
    if (debited.isErr()) {
      telemetry.metrics.refusals.inc({ kind: debited.error.kind });
      telemetry.log('requestRefused', { request: req.id, kind: debited.error.kind });
      writer.fail(debited.error, 'not_run');
      return;
    }
    charge = debited.value;
  }
  const result = await runAttempts(context, budget);
  if (charge !== undefined) {
    const untouched = result.isErr() && result.error.effect === 'not_run';
    const used = untouched ? 0 : promptTokens + progress.nextIndex;
    quota.refund(charge, Math.max(0, charge.tokens - used));
  }
  if (result.isErr()) {
    const { error, effect } = result.error;
    telemetry.metrics.refusals.inc({ kind: error.kind });
    telemetry.log('requestRefused', { request: req.id, kind: error.kind, effect });
    writer.fail(error, effect);
    return;
  }
  writer.finish(promptTokens);
}
