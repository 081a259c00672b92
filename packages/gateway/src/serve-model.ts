/** Serves a model request: quota charge, attempts and answer. */
import { createError, hashPrefixes } from '@hibiscusbank/core';
import type { Effect, UpstreamId } from '@hibiscusbank/core';
import type { Charge } from '@hibiscusbank/quota';
import type { PlacementRequest } from '@hibiscusbank/scheduler';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { runAttempts } from './attempts.js';
import type { FinalFailure } from './attempts.js';
import { runModelAttempt } from './model-attempt.js';
import type { ModelContext } from './model-attempt.js';
import type { RetryBudget } from './retry-budget.js';

function createPlacement(
  context: ModelContext,
  prefixHashes: readonly number[],
  attempt: number,
  exclude: readonly UpstreamId[],
): PlacementRequest {
  const { options, req, modelRequest, progress, maxTokens } = context;
  const { route } = req;
  const elapsedMs = performance.now() - req.startedAtMs;
  const remainingMs = (limitMs: number): number => Math.max(0, limitMs - elapsedMs);
  const remainingTokens = maxTokens - progress.nextIndex;
  return {
    requestId: req.id,
    attempt,
    organisation: req.organisation,
    pool: route.pool,
    promptTokens: options.countTokens(modelRequest.prompt + (progress.text ?? '')),
    expectedTokens: remainingTokens,
    maxTokens: remainingTokens,
    prefixHashes,
    urgency: route.urgency,
    firstTokenTargetMs: remainingMs(route.firstTokenTargetMs),
    // Once part of the answer has been sent, the request may be queued until its time limit.
    patienceMs: remainingMs(progress.nextIndex === 0 ? route.patienceMs : route.timeLimitMs),
    timeLimitMs: remainingMs(route.timeLimitMs),
    exclude,
  };
}

/** Runs the attempts of a request, numbered from `firstAttempt`. */
export function runModelAttempts(
  context: ModelContext,
  budget: RetryBudget,
  firstAttempt: number,
  exclude: readonly UpstreamId[],
): Promise<Result<void, FinalFailure>> {
  const { options, req, modelRequest } = context;
  const prefixHashes = hashPrefixes(modelRequest.prompt);
  return runAttempts({
    options,
    req,
    budget,
    firstAttempt,
    exclude,
    createPlacement: (attempt, excludedUpstreams) =>
      createPlacement(context, prefixHashes, attempt, excludedUpstreams),
    runAttempt: async (grant) => {
      if (grant.target.kind === 'model') return runModelAttempt(context, grant, grant.target);
      options.scheduler.release(grant, { outcome: 'unused' });
      return err({
        error: createError('not_found', `pool ${grant.pool} has no engines; correct the route`, {
          effect: 'not_run',
        }),
        upstream: grant.target.server.upstream,
      });
    },
    canRetry: (effect: Effect) =>
      (req.route.idempotent || effect === 'not_run') && context.progress.text !== undefined,
  });
}

function refundUnusedTokens(
  context: ModelContext,
  charge: Charge,
  promptTokens: number,
  result: Result<void, FinalFailure>,
): void {
  const didNotRun = result.isErr() && result.error.effect === 'not_run';
  const usedTokens = didNotRun ? 0 : promptTokens + context.progress.nextIndex;
  const unusedTokens = charge.tokens - usedTokens;
  if (unusedTokens > 0) context.options.quota.refund(charge, unusedTokens);
}

/** Ends the answer, or sends the error. */
export function endAnswer(
  context: ModelContext,
  promptTokens: number,
  result: Result<void, FinalFailure>,
): void {
  const { options, req, writer } = context;
  if (result.isOk()) {
    writer.finish(promptTokens);
    return;
  }
  const { error, effect } = result.error;
  options.telemetry.metrics.refusals.inc({ kind: error.kind });
  options.telemetry.log('requestRefused', { request: req.id, kind: error.kind, effect });
  writer.fail(error, effect);
}

/** Serves one admitted request until its response ends. Returns any failure; never rejects. */
export async function serveModelRequest(
  context: ModelContext,
  budget: RetryBudget,
): Promise<FinalFailure | undefined> {
  const { options, req, modelRequest, maxTokens } = context;
  const promptTokens = options.countTokens(modelRequest.prompt);
  budget.recordRequest(req.route.pool);
  let charge: Charge | undefined;
  if (req.organisation !== undefined) {
    const debited = await options.quota.debit({
      organisation: req.organisation,
      requestId: req.id,
      tokens: promptTokens + maxTokens,
      waitMs: req.route.patienceMs,
      signal: req.signal,
    });
    if (debited.isErr()) {
      const failure: FinalFailure = { error: debited.error, effect: 'not_run' };
      endAnswer(context, promptTokens, err(failure));
      return failure;
    }
    charge = debited.value;
  }
  const result = await runModelAttempts(context, budget, 1, []);
  if (charge !== undefined) refundUnusedTokens(context, charge, promptTokens, result);
  endAnswer(context, promptTokens, result);
  return result.isErr() ? result.error : undefined;
}
