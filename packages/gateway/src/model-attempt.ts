/** One attempt of a model request: prefill on one engine, decode on another. */
import { createError } from '@hibiscusbank/core';
import type { RouterError, UpstreamId } from '@hibiscusbank/core';
import type { TokenEvent } from '@hibiscusbank/engines';
import type { Grant, GrantOutcome, GrantTarget, ReleaseReport } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AnswerWriter } from './answer-writer.js';
import type { ModelRequest } from './model-request.js';
import { createStallGuard } from './stall-guard.js';
import type { AdmittedRequest, GatewayOptions } from './types.js';

/** A step may take this many times its estimate before it counts as stalled. */
const STALL_FACTOR = 3;
const MIN_PREFILL_LIMIT_MS = 2_000;
const MIN_TRANSFER_LIMIT_MS = 300;
/** Added to the transfer's limit for the first decode step in a full batch. */
const FIRST_STEP_LIMIT_MS = 1_000;
const MIN_TOKEN_GAP_LIMIT_MS = 1_000;
const TOKEN_GAP_FACTOR = 30;

const URGENT_PRIORITY = 10;
const PATIENT_PRIORITY = 1;

/** What the caller has received so far; it outlives an attempt. */
export interface AnswerProgress {
  text: string;
  nextIndex: number;
  finished: boolean;
}

export interface AttemptContext {
  readonly options: GatewayOptions;
  readonly req: AdmittedRequest;
  readonly model: ModelRequest;
  readonly maxTokens: number;
  readonly writer: AnswerWriter;
  readonly progress: AnswerProgress;
}

export interface AttemptFailure {
  readonly error: RouterError;
  readonly upstream: UpstreamId;
}

type ModelTarget = Extract<GrantTarget, { kind: 'model' }>;

function toOutcome(error: RouterError): GrantOutcome {
  if (error.kind === 'cancelled') return 'cancelled';
  if (error.kind === 'upstream_cold') return 'cold';
  if (error.kind === 'upstream_refused') return 'refused';
  return 'failed';
}

/** Accepts tokens in order once; repeated ones are dropped and a gap is an error. */
function acceptTokens(
  context: AttemptContext,
  tokens: readonly TokenEvent[],
): readonly TokenEvent[] {
  const { progress } = context;
  const accepted: TokenEvent[] = [];
  for (const token of tokens) {
    if (token.index < progress.nextIndex) continue;
    if (token.index > progress.nextIndex) {
      throw createError('upstream_failed', 'the engine skipped a token; another attempt is made');
    }
    progress.nextIndex += 1;
    progress.text += token.text;
    progress.finished ||= token.finishReason !== undefined;
    accepted.push(token);
  }
  return accepted;
}

/** Runs the steps of an attempt. The grant is released in every case. */
export async function runModelAttempt(
  context: AttemptContext,
  grant: Grant,
  target: ModelTarget,
): Promise<Result<void, AttemptFailure>> {
  const { options, req, model, progress, writer } = context;
  const { engines, scheduler, telemetry } = options;
  const { attempt } = grant;
  const ref = { requestId: req.id, attempt };
  const base = {
    ...ref,
    organisation: req.organisation,
    model: model.model,
    priority: req.route.urgency === 'urgent' ? URGENT_PRIORITY : PATIENT_PRIORITY,
  };
  let report: ReleaseReport = { outcome: 'failed' };
  let active = true;

  const fail = (error: RouterError, upstream: UpstreamId): Result<void, AttemptFailure> => {
    report = { ...report, outcome: toOutcome(error), upstream };
    telemetry.metrics.attempts.inc({ pool: grant.pool, result: report.outcome });
    telemetry.log('attemptFailed', {
      request: req.id,
      attempt,
      upstream,
      kind: error.kind,
      error: error.message,
    });
    return err({ error, upstream });
  };

  const prefillLimitMs = Math.max(target.prefillMs * STALL_FACTOR, MIN_PREFILL_LIMIT_MS);
  const prefillGuard = createStallGuard(req.signal, prefillLimitMs, 'prefill');
  const prefilled = await engines.prefill({
    ...base,
    address: target.prefill.address,
    prompt: model.prompt + progress.text,
    signal: prefillGuard.signal,
  });
  prefillGuard.stop();
  if (prefilled.isErr()) {
    const failure = fail(prefilled.error, target.prefill.upstream);
    void engines.cancel(target.prefill.address, ref);
    scheduler.release(grant, report);
    return failure;
  }
  report = {
    ...report,
    prefillMs: prefilled.value.elapsedMs,
    prefilledTokens: prefilled.value.promptTokens,
    cachedTokens: prefilled.value.cachedTokens,
  };
  scheduler.finishPrefill(grant, report);

  const transferLimitMs =
    Math.max(target.transferMs * STALL_FACTOR, MIN_TRANSFER_LIMIT_MS) + FIRST_STEP_LIMIT_MS;
  const gapLimitMs = Math.max(
    req.route.tokenGapTargetMs * TOKEN_GAP_FACTOR,
    MIN_TOKEN_GAP_LIMIT_MS,
  );
  const decodeGuard = createStallGuard(req.signal, transferLimitMs, 'decode');
  const startIndex = progress.nextIndex;
  const decodeStartedAt = performance.now();
  const decoded = await engines.decode({
    ...base,
    address: target.decode.address,
    kv: { address: target.prefill.address, kvId: prefilled.value.kvId },
    startIndex,
    maxTokens: context.maxTokens - startIndex,
    signal: decodeGuard.signal,
    onTokens: (tokens) => {
      // A late answer of an attempt that was given up must not reach the caller.
      if (!active) return;
      if (progress.nextIndex === 0) {
        const elapsedMs = performance.now() - req.startedAtMs;
        telemetry.metrics.firstTokenSeconds.observe({ pool: grant.pool }, elapsedMs / 1_000);
      }
      decodeGuard.touch(gapLimitMs);
      const accepted = acceptTokens(context, tokens);
      if (accepted.length > 0) writer.writeTokens(accepted, target.decode.upstream);
    },
  });
  active = false;
  decodeGuard.stop();
  report = {
    ...report,
    decodeMs: performance.now() - decodeStartedAt,
    decodedTokens: progress.nextIndex - startIndex,
  };
  if (progress.nextIndex === startIndex) {
    telemetry.metrics.wastedPrefills.inc({ pool: grant.pool });
  }
  if (decoded.isErr() && !progress.finished) {
    const failure = fail(decoded.error, target.decode.upstream);
    void engines.cancel(target.decode.address, ref);
    void engines.cancel(target.prefill.address, ref);
    scheduler.release(grant, report);
    return failure;
  }
  report = { ...report, outcome: 'completed' };
  telemetry.metrics.attempts.inc({ pool: grant.pool, result: 'completed' });
  scheduler.release(grant, report);
  return ok(undefined);
}
