/** Serves requests of plain upstreams, which are not model engines. */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { sendRefusal, sendWhole } from './answers.js';
import { createChoiceContext, organisationOf, remainingMs } from './context.js';
import type { AdmittedServing, ServingContext } from './context.js';
import type { KnownUpstream } from './directory.js';
import { describeFailure, describeTimeout, isSilent } from './failures.js';
import type { ServingFailure } from './failures.js';
import { readWhole } from './http-exchange.js';
import { rankPlain } from './placement.js';
import { startTimeLimit } from './time-limit.js';
import type { SendFailure, UpstreamReply } from './types.js';

/** Maximum number of sends of one request, including rejected ones. */
const MAX_SENDS = 4;
/**
 * Fraction of the route's target after which an idempotent request is retried on another upstream.
 * The work itself takes a small part of the target, so an upstream that needs longer is unhealthy.
 */
const RETRY_AFTER_TARGET = 0.6;
/** Retry delay for refused callers: about the time in which an upstream works off its queue. */
const PLAIN_RETRY_AFTER_MS = 100;

interface PlainAnswer {
  readonly reply: UpstreamReply;
  readonly body: Buffer;
}

const isUpstreamError = ({ reply }: PlainAnswer): boolean => reply.status >= 500;

async function sendOnce(
  context: ServingContext,
  admitted: AdmittedServing,
  upstream: KnownUpstream,
  limitMs: number,
): Promise<Result<PlainAnswer, SendFailure>> {
  const { transport, loads, cold, health } = context;
  const release = loads.begin(upstream.id, 0);
  const limit = startTimeLimit(admitted.signal, limitMs);
  cold.record(upstream.id);
  const sent = await transport.send({
    upstream,
    req: admitted.req,
    body: admitted.body,
    organisation: organisationOf(admitted),
    remainingMs: remainingMs(admitted),
    signal: limit.signal,
  });
  const body = sent.isOk() ? await readWhole(sent.value) : undefined;
  limit.stop();
  release();
  if (sent.isErr()) {
    const isOwnEnd = sent.error.reason === 'aborted' && !limit.isExpired();
    if (!isOwnEnd && sent.error.reason !== 'moved') {
      health.recordFailure(upstream, isSilent(sent.error) ? 'silent' : 'answered');
    }
    return err(sent.error);
  }
  if (body === undefined) {
    if (!admitted.signal.aborted) health.recordFailure(upstream, 'answered');
    return err({ effect: 'unknown', wasSent: true, reason: 'broken' });
  }
  const answer = { reply: sent.value, body };
  if (isUpstreamError(answer)) health.recordFailure(upstream, 'answered');
  else health.recordSuccess(upstream);
  return ok(answer);
}

/** Serves one admitted request to its end. Resolves to the failure, if any. */
export async function servePlain(
  context: ServingContext,
  admitted: AdmittedServing,
): Promise<ServingFailure | undefined> {
  const { directory, budget, loads, telemetry } = context;
  const { pool, route, outgoing, req, signal } = admitted;
  const excluded = new Set<UpstreamId>();
  const mayRepeat = route.kind === 'idempotent';
  let runs = 0;
  let effect: 'not_run' | 'unknown' = 'not_run';
  let lastAnswer: PlainAnswer | undefined;
  let lastFailure: SendFailure = { effect: 'not_run', wasSent: false, reason: 'unreachable' };

  for (let sends = 0; sends < MAX_SENDS && !signal.aborted; sends += 1) {
    const choice = createChoiceContext(context, pool, loads, excluded);
    const [upstream, other] = rankPlain(directory.usable(pool.id), choice);
    if (upstream === undefined) break;
    if (sends > 0 && lastFailure.wasSent && !budget.take(pool.id)) break;
    // A send is aborted early only when a retry can follow.
    const mayTryAnother =
      mayRepeat && runs + 1 < route.maxAttempts && other !== undefined && budget.hasRoom(pool.id);
    const limitMs = mayTryAnother ? route.targetMs * RETRY_AFTER_TARGET : remainingMs(admitted);
    const startedAt = monotonicMs();
    const result = await sendOnce(context, admitted, upstream, limitMs);
    telemetry.log('upstreamAnswered', {
      request: req.id,
      upstream: upstream.id,
      status: result.isOk() ? result.value.reply.status : undefined,
      failure: result.isErr() ? result.error.reason : undefined,
      ms: Math.round(monotonicMs() - startedAt),
    });
    excluded.add(upstream.id);
    if (result.isOk()) {
      lastAnswer = result.value;
      lastFailure = { effect: 'unknown', wasSent: true, reason: 'broken' };
      runs += 1;
      if (!isUpstreamError(lastAnswer) || !mayRepeat || runs >= route.maxAttempts) break;
      effect = 'unknown';
      continue;
    }
    lastFailure = result.error;
    if (lastFailure.effect === 'not_run') continue;
    effect = 'unknown';
    runs += 1;
    if (!mayRepeat || runs >= route.maxAttempts) break;
  }

  if (lastAnswer !== undefined) {
    sendWhole(outgoing, lastAnswer.reply, lastAnswer.body);
    return undefined;
  }
  const failure = signal.aborted
    ? describeTimeout(effect)
    : describeFailure({ ...lastFailure, effect }, PLAIN_RETRY_AFTER_MS);
  sendRefusal(outgoing, failure.error, failure.effect);
  return failure;
}
