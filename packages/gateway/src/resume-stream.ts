/** Resumes a stream after the event in `Last-Event-ID`, also if another node started the stream. */
import { createError, requestId, upstreamId } from '@hibiscusbank/core';
import type { RequestId, RouterError, UpstreamId } from '@hibiscusbank/core';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { FinalFailure } from './attempts.js';
import { toAbortError } from './attempts.js';
import { acceptTokens, tokenGapLimitMs } from './model-attempt.js';
import type { ModelContext } from './model-attempt.js';
import { toGrantOutcome } from './outcome.js';
import type { RetryBudget } from './retry-budget.js';
import { endAnswer, runModelAttempts } from './serve-model.js';
import { createStallGuard } from './stall-guard.js';

/** Position in a stream, written as `<request id>.<engine id>.<token index>`. */
export interface StreamPosition {
  readonly requestId: RequestId;
  readonly engine: UpstreamId;
  readonly index: number;
}

const EVENT_ID = /^(req_[0-9a-f-]+)\.(.+)\.(\d+)$/;

/** Parses the id of a stream event. Errors: `invalid_request`. */
export function parseEventId(text: string): Result<StreamPosition, RouterError> {
  const match = EVENT_ID.exec(text);
  const [, id, engine, index] = match ?? [];
  if (id === undefined || engine === undefined || index === undefined) {
    return err(
      createError('invalid_request', 'Last-Event-ID is not an id of a stream of this router', {
        effect: 'not_run',
      }),
    );
  }
  return ok({ requestId: requestId(id), engine: upstreamId(engine), index: Number(index) });
}

function findEngine(context: ModelContext, position: StreamPosition): UpstreamEntry | undefined {
  const pool = context.options.configuration.pools().get(context.req.route.pool);
  return pool?.upstreams.find((upstream) => upstream.id === position.engine);
}

interface ResumeResult {
  readonly attempt: number;
  /** Resolves when this node has adopted the grant of the stream, or cannot adopt it. */
  readonly adoption: Promise<void>;
  readonly result: Result<void, RouterError>;
}

/**
 * Reads the stream from its beginning, so that this node has the whole text and can continue the
 * answer on another engine. Sends the caller only the tokens after its last event.
 */
async function readStream(
  context: ModelContext,
  position: StreamPosition,
  engine: UpstreamEntry,
): Promise<ResumeResult> {
  const { options, req, progress, writer } = context;
  const stallGuard = createStallGuard(req.signal, tokenGapLimitMs(req), 'resumed stream');
  let attempt = 1;
  let adoption = Promise.resolve();
  let isFirstBatch = true;
  const result = await options.engines.resume({
    requestId: position.requestId,
    attempt,
    address: engine.address,
    lastIndex: -1,
    signal: stallGuard.signal,
    onOwner: (owner) => {
      if (owner.organisation === req.organisation) {
        attempt = owner.attempt;
        adoption = options.scheduler.adopt(position.requestId, attempt, engine.id);
        return undefined;
      }
      return createError('forbidden', 'the stream belongs to another organisation', {
        effect: 'not_run',
      });
    },
    onTokens: (tokens) => {
      stallGuard.recordProgress(tokenGapLimitMs(req));
      const [first] = tokens;
      if (isFirstBatch && first !== undefined) {
        isFirstBatch = false;
        progress.nextIndex = first.index;
        // An engine that continued the answer of another engine does not have the earlier text.
        if (first.index > 0) progress.text = undefined;
      }
      const accepted = acceptTokens(progress, tokens);
      const newTokens = accepted.filter((token) => token.index > position.index);
      if (newTokens.length > 0) writer.writeTokens(newTokens, engine.id);
    },
  });
  stallGuard.stop();
  return { attempt, adoption, result: progress.finished ? ok(undefined) : result };
}

/**
 * Releases the adopted grant. Waits for the adoption, because a stream that is complete on the
 * engine can end before its grant is adopted.
 */
async function releaseAdoptedGrant(
  { options, req }: ModelContext,
  position: StreamPosition,
  { attempt, adoption, result }: ResumeResult,
): Promise<void> {
  await adoption;
  const grant = options.scheduler.findGrant(position.requestId, attempt);
  if (grant === undefined) return;
  const outcome = result.isOk() ? 'completed' : toGrantOutcome(result.error, req.signal);
  options.scheduler.release(grant, { outcome, upstream: position.engine });
}

async function resume(
  context: ModelContext,
  budget: RetryBudget,
  position: StreamPosition,
): Promise<Result<void, FinalFailure>> {
  const { options, req, progress } = context;
  const engine = findEngine(context, position);
  const notFound = createError(
    'not_found',
    'the stream is no longer kept; send the request again without Last-Event-ID',
  );
  if (engine === undefined) return err({ error: notFound, effect: 'unknown' });
  const resumeResult = await readStream(context, position, engine);
  const { attempt, result } = resumeResult;
  if (result.isErr() && result.error.kind !== 'forbidden') {
    void options.engines.cancel(engine.address, { requestId: position.requestId, attempt });
  }
  void releaseAdoptedGrant(context, position, resumeResult);
  if (result.isOk()) return ok(undefined);
  if (req.signal.aborted) return err({ error: toAbortError(req.signal), effect: 'unknown' });
  if (result.error.kind === 'forbidden') return err({ error: result.error, effect: 'not_run' });
  const canContinue =
    req.route.idempotent && progress.text !== undefined && progress.nextIndex > position.index;
  if (!canContinue) return err({ error: notFound, effect: 'unknown' });
  return runModelAttempts(context, budget, attempt + 1, [engine.id]);
}

/** Serves a resumed stream until its response ends. The original request was charged already. */
export async function serveResumedStream(
  context: ModelContext,
  budget: RetryBudget,
  position: StreamPosition,
): Promise<void> {
  const { options, req, modelRequest } = context;
  options.telemetry.log('streamResumed', { request: req.id, engine: position.engine });
  const result = await resume(context, budget, position);
  endAnswer(context, options.countTokens(modelRequest.prompt), result);
}
