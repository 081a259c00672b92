/** One attempt of a model request: prefill on one engine, decode on another. */
import { createError } from '@hibiscusbank/core';
import type { RouterError, UpstreamId } from '@hibiscusbank/core';
import type { PrefillResult, TokenEvent } from '@hibiscusbank/engines';
import type { Grant, GrantTarget, ReleaseReport } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AnswerWriter } from './answer-writer.js';
import type { AttemptFailure } from './attempts.js';
import type { ModelRequest } from './model-request.js';
import { toGrantOutcome } from './outcome.js';
import { createStallGuard } from './stall-guard.js';
import type { AdmittedRequest, GatewayOptions } from './types.js';

/** A prefill or transfer counts as stalled after this multiple of its estimated duration. */
const STALL_FACTOR = 3;
const MIN_PREFILL_LIMIT_MS = 2_000;
const MIN_TRANSFER_LIMIT_MS = 300;
/** Added to the transfer limit to allow for the first decode step in a full batch. */
const FIRST_DECODE_STEP_LIMIT_MS = 1_000;
const MIN_TOKEN_GAP_LIMIT_MS = 1_000;
const TOKEN_GAP_FACTOR = 30;

const URGENT_PRIORITY = 10;
const PATIENT_PRIORITY = 1;

/**
 * Text of the answer so far, index of its next token, and whether it is finished. All attempts of a
 * request share this object, so that each continues where the previous one stopped.
 */
export interface AnswerProgress {
  /** Text of all tokens from index 0; `undefined` if this node does not have the earlier ones. */
  text: string | undefined;
  nextIndex: number;
  finished: boolean;
}

export interface ModelContext {
  readonly options: GatewayOptions;
  readonly req: AdmittedRequest;
  readonly modelRequest: ModelRequest;
  readonly maxTokens: number;
  readonly writer: AnswerWriter;
  readonly progress: AnswerProgress;
}

type ModelTarget = Extract<GrantTarget, { kind: 'model' }>;

/**
 * Adds new tokens to the progress and returns them; drops repeated ones.
 * Throws `upstream_failed` if a token is missing.
 */
export function acceptTokens(
  progress: AnswerProgress,
  tokens: readonly TokenEvent[],
): readonly TokenEvent[] {
  const accepted: TokenEvent[] = [];
  for (const token of tokens) {
    if (token.index < progress.nextIndex) continue;
    if (token.index > progress.nextIndex) {
      throw createError('upstream_failed', 'the engine skipped a token; another attempt is made');
    }
    progress.nextIndex += 1;
    if (progress.text !== undefined) progress.text += token.text;
    progress.finished ||= token.finishReason !== undefined;
    accepted.push(token);
  }
  return accepted;
}

/** Returns the longest gap between two tokens before a stream counts as stalled. */
export function tokenGapLimitMs(req: AdmittedRequest): number {
  return Math.max(req.route.tokenGapTargetMs * TOKEN_GAP_FACTOR, MIN_TOKEN_GAP_LIMIT_MS);
}

function createEngineCall({ req, modelRequest }: ModelContext, attempt: number) {
  return {
    requestId: req.id,
    attempt,
    organisation: req.organisation,
    model: modelRequest.model,
    priority: req.route.urgency === 'urgent' ? URGENT_PRIORITY : PATIENT_PRIORITY,
  };
}

async function prefill(
  context: ModelContext,
  grant: Grant,
  target: ModelTarget,
): Promise<Result<PrefillResult, RouterError>> {
  const { options, req, modelRequest, progress } = context;
  const limitMs = Math.max(target.prefillMs * STALL_FACTOR, MIN_PREFILL_LIMIT_MS);
  const stallGuard = createStallGuard(req.signal, limitMs, 'prefill');
  const result = await options.engines.prefill({
    ...createEngineCall(context, grant.attempt),
    address: target.prefill.address,
    prompt: modelRequest.prompt + (progress.text ?? ''),
    signal: stallGuard.signal,
  });
  stallGuard.stop();
  return result;
}

function observeFirstToken({ options, req }: ModelContext): void {
  const seconds = (performance.now() - req.startedAtMs) / 1_000;
  options.telemetry.metrics.firstTokenSeconds.observe({ pool: req.route.pool }, seconds);
}

async function decode(
  context: ModelContext,
  grant: Grant,
  target: ModelTarget,
  kvId: string,
): Promise<Result<void, RouterError>> {
  const { options, req, progress, writer } = context;
  const transferLimitMs = Math.max(target.transferMs * STALL_FACTOR, MIN_TRANSFER_LIMIT_MS);
  const stallGuard = createStallGuard(
    req.signal,
    transferLimitMs + FIRST_DECODE_STEP_LIMIT_MS,
    'decode',
  );
  const gapLimitMs = tokenGapLimitMs(req);
  const startIndex = progress.nextIndex;
  let isActive = true;
  const result = await options.engines.decode({
    ...createEngineCall(context, grant.attempt),
    address: target.decode.address,
    kv: { address: target.prefill.address, kvId },
    startIndex,
    maxTokens: context.maxTokens - startIndex,
    signal: stallGuard.signal,
    onTokens: (tokens) => {
      // Tokens that arrive after the attempt has ended must not reach the caller.
      if (!isActive) return;
      if (progress.nextIndex === 0) observeFirstToken(context);
      stallGuard.recordProgress(gapLimitMs);
      const accepted = acceptTokens(progress, tokens);
      if (accepted.length > 0) writer.writeTokens(accepted, target.decode.upstream);
    },
  });
  isActive = false;
  stallGuard.stop();
  return progress.finished ? ok(undefined) : result;
}

/** Runs prefill and decode of one attempt. Releases the grant in every case. */
export async function runModelAttempt(
  context: ModelContext,
  grant: Grant,
  target: ModelTarget,
): Promise<Result<void, AttemptFailure>> {
  const { options, req, progress } = context;
  const { engines, scheduler, telemetry } = options;
  const attemptRef = { requestId: req.id, attempt: grant.attempt };

  let prefillDone = false;
  const fail = (
    error: RouterError,
    upstream: UpstreamId,
    report: Partial<ReleaseReport>,
  ): Result<void, AttemptFailure> => {
    void engines.cancel(target.prefill.address, attemptRef);
    void engines.cancel(target.decode.address, attemptRef);
    scheduler.release(grant, { ...report, outcome: toGrantOutcome(error, req.signal), upstream });
    return err({ error, upstream, partlyExecuted: prefillDone });
  };

  const prefilled = await prefill(context, grant, target);
  if (prefilled.isErr()) return fail(prefilled.error, target.prefill.upstream, {});
  prefillDone = true;
  const prefillReport = {
    prefillMs: prefilled.value.elapsedMs,
    prefilledTokens: prefilled.value.promptTokens,
    cachedTokens: prefilled.value.cachedTokens,
  };
  scheduler.finishPrefill(grant, { outcome: 'completed', ...prefillReport });

  const startIndex = progress.nextIndex;
  const startedAt = performance.now();
  const decoded = await decode(context, grant, target, prefilled.value.kvId);
  if (progress.nextIndex === startIndex) {
    telemetry.metrics.wastedPrefills.inc({ pool: grant.pool });
  }
  const report = {
    ...prefillReport,
    decodeMs: performance.now() - startedAt,
    decodedTokens: progress.nextIndex - startIndex,
  };
  if (decoded.isErr()) return fail(decoded.error, target.decode.upstream, report);
  scheduler.release(grant, { ...report, outcome: 'completed' });
  return ok(undefined);
}
