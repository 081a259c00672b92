/** Serves a model request: charge, attempts, answer. */
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
  const { options, req, model, progress, maxTokens } = context;
  const { route } = req;
  const elapsedMs = performance.now() - req.startedAtMs;
  const left = (limitMs: number): number => Math.max(0, limitMs - elapsedMs);
  const tokensLeft = maxTokens - progress.nextIndex;
  return {
    requestId: req.id,
    attempt,
    organisation: req.organisation,
    pool: route.pool,
    promptTokens: options.countTokens(model.prompt + (progress.text ?? '')),
    expectedTokens: tokensLeft,
    maxTokens: tokensLeft,
    prefixHashes,
    urgency: route.urgency,
    firstTokenTargetMs: left(route.firstTokenTargetMs),
    // A caller that has part of its answer waits for the rest until the limit of the request.
    patienceMs: left(progress.nextIndex === 0 ? route.patienceMs : route.timeLimitMs),
    timeLimitMs: left(route.timeLimitMs),
    exclude,
  };
}

/** Runs the attempts of a request from a given attempt on. */
export function runModelAttempts(
  context: ModelContext,
  budget: RetryBudget,
  firstAttempt: number,
  exclude: readonly UpstreamId[],
): Promise<Result<void, FinalFailure>> {
  const { options, req, model } = context;
  const prefixHashes = hashPrefixes(model.prompt);
  return runAttempts({
    options,
    req,
    budget,
    firstAttempt,
    exclude,
    createPlacement: (attempt, excluded) =>
      createPlacement(context, prefixHashes, attempt, excluded),
    run: async (grant) => {
      if (grant.target.kind === 'model') return runModelAttempt(context, grant, grant.target);
      options.scheduler.release(grant, { outcome: 'unused' });
      return err({
        error: createError('not_found', `pool ${grant.pool} has no engines; correct the route`, {
          effect: 'not_run',
        }),
        upstream: grant.target.server.upstream,
      });
    },
    mayRepeat: (effect: Effect) =>
      (req.route.idempotent || effect === 'not_run') && context.progress.text !== undefined,
  });
}

function refundUnused(
  context: ModelContext,
  charge: Charge,
  promptTokens: number,
  result: Result<void, FinalFailure>,
): void {
  const untouched = result.isErr() && result.error.effect === 'not_run';
  const used = untouched ? 0 : promptTokens + context.progress.nextIndex;
  const unused = charge.tokens - used;
  if (unused > 0) context.options.quota.refund(charge, unused);
}

/** Writes the end of an answer, or the error. */
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

/** Serves one admitted request to its end. Never rejects. Returns what failed, if anything. */
export async function serveModelRequest(
  context: ModelContext,
  budget: RetryBudget,
): Promise<FinalFailure | undefined> {
  const { options, req, model, maxTokens } = context;
  const promptTokens = options.countTokens(model.prompt);
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
  if (charge !== undefined) refundUnused(context, charge, promptTokens, result);
  endAnswer(context, promptTokens, result);
  return result.isErr() ? result.error : undefined;
}
