/** One attempt of a plain request, and a second one when the first is slow. */
import type { IncomingMessage } from 'node:http';
import { createError, sleep } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import type { UpstreamAnswer } from '@hibiscusbank/engines';
import type { Grant } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AttemptFailure } from './attempts.js';
import { createUpstreamHeaders } from './headers.js';
import type { LatencyWindow } from './latency-window.js';
import { toGrantOutcome } from './outcome.js';
import type { AdmittedRequest, GatewayOptions } from './types.js';

/** Share of requests that are faster than the start of a second attempt. */
const HEDGE_QUANTILE = 0.95;

export interface PlainExchange {
  readonly options: GatewayOptions;
  readonly req: AdmittedRequest;
  readonly incoming: IncomingMessage;
  /** The whole body when it is small; otherwise it is streamed and can be sent once. */
  readonly body: Buffer | undefined;
}

/** A response whose body is still to be read; its grant is released afterwards. */
export interface PlainSuccess {
  readonly answer: UpstreamAnswer;
  readonly grant: Grant;
  readonly upstream: UpstreamId;
  readonly latencyMs: number;
}

type PlainResult = Result<PlainSuccess, AttemptFailure>;

/** Sends a request under a grant. A failed attempt releases the grant. */
export async function sendPlain(
  exchange: PlainExchange,
  grant: Grant,
  signal: AbortSignal,
): Promise<PlainResult> {
  const { options, req, incoming, body } = exchange;
  if (grant.target.kind !== 'plain') {
    options.scheduler.release(grant, { outcome: 'unused' });
    return err({
      error: createError('not_found', `pool ${grant.pool} has no servers; correct the route`, {
        effect: 'not_run',
      }),
      upstream: grant.target.decode.upstream,
    });
  }
  const { upstream, address } = grant.target.server;
  const startedAt = performance.now();
  const sent = await options.upstreams.send({
    address,
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: createUpstreamHeaders(incoming.headers, req, grant.attempt),
    body: body ?? incoming,
    signal,
  });
  if (sent.isOk()) {
    return ok({ answer: sent.value, grant, upstream, latencyMs: performance.now() - startedAt });
  }
  options.scheduler.release(grant, { outcome: toGrantOutcome(sent.error, signal), upstream });
  return err({ error: sent.error, upstream });
}

export interface HedgeOptions {
  readonly window: LatencyWindow;
  /** Takes a retry from the budget. */
  readonly takeRetry: () => boolean;
  /** Places the second attempt elsewhere; `undefined` when there is no room. */
  readonly placeSecond: (exclude: UpstreamId) => Promise<Grant | undefined>;
}

/** Gives up an answer that lost against the other attempt. */
function discard(exchange: PlainExchange, pending: Promise<PlainResult>): void {
  void pending.then((result) => {
    if (result.isErr()) return;
    result.value.answer.body.destroy();
    exchange.options.scheduler.release(result.value.grant, {
      outcome: 'cancelled',
      upstream: result.value.upstream,
    });
  });
}

/**
 * Sends a request and, when the answer takes longer than most, a second attempt elsewhere; the first
 * answer wins and the other attempt is cancelled. Only for idempotent requests.
 */
export async function sendHedged(
  exchange: PlainExchange,
  grant: Grant,
  hedge: HedgeOptions,
): Promise<PlainResult> {
  const { req } = exchange;
  const waitMs = hedge.window.quantile(HEDGE_QUANTILE);
  const firstCancel = new AbortController();
  const first = sendPlain(exchange, grant, AbortSignal.any([req.signal, firstCancel.signal]));
  if (waitMs === undefined || grant.target.kind !== 'plain') return first;
  const timer = new AbortController();
  const early = await Promise.race([first, sleep(waitMs, timer.signal)]);
  timer.abort();
  if (early !== undefined) return early;
  if (!hedge.takeRetry()) return first;
  const secondGrant = await hedge.placeSecond(grant.target.server.upstream);
  if (secondGrant === undefined) return first;
  const secondCancel = new AbortController();
  const second = sendPlain(
    exchange,
    secondGrant,
    AbortSignal.any([req.signal, secondCancel.signal]),
  );
  const winner = await Promise.race([
    first.then((result) => ({ result, isFirst: true })),
    second.then((result) => ({ result, isFirst: false })),
  ]);
  const loser = winner.isFirst ? second : first;
  if (winner.result.isErr()) return loser;
  (winner.isFirst ? secondCancel : firstCancel).abort();
  discard(exchange, loser);
  return winner.result;
}
