/** One attempt of a plain request, and a hedged second one if the first is slow. */
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

/** Quantile of recent latencies after which the second attempt starts. */
const HEDGE_QUANTILE = 0.95;

export interface PlainExchange {
  readonly options: GatewayOptions;
  readonly req: AdmittedRequest;
  readonly incoming: IncomingMessage;
  /** The whole body if it is small; a larger one is streamed and can be sent only once. */
  readonly body: Buffer | undefined;
}

/** A response whose body has not been read; its grant is released once the body has been sent. */
export interface PlainSuccess {
  readonly answer: UpstreamAnswer;
  readonly grant: Grant;
  readonly upstream: UpstreamId;
  readonly latencyMs: number;
}

type PlainResult = Result<PlainSuccess, AttemptFailure>;

/** Sends a request to the server of a grant. A failed attempt releases the grant. */
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
  /** Takes a retry from the budget; returns false if the budget is used up. */
  readonly takeRetry: () => boolean;
  /** Places the second attempt on another upstream; `undefined` if it cannot be placed now. */
  readonly placeHedge: (exclude: UpstreamId) => Promise<Grant | undefined>;
}

/** Discards the answer of the slower attempt and releases its grant. */
function discardAnswer(exchange: PlainExchange, pending: Promise<PlainResult>): void {
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
 * Sends a request and, if the answer takes longer than the `HEDGE_QUANTILE` quantile of recent
 * latencies, a second attempt to another upstream. The first answer is used and the other attempt
 * is cancelled. The request must be idempotent.
 */
export async function sendHedged(
  exchange: PlainExchange,
  grant: Grant,
  hedge: HedgeOptions,
): Promise<PlainResult> {
  const { req } = exchange;
  const hedgeDelayMs = hedge.window.quantile(HEDGE_QUANTILE);
  const firstAbort = new AbortController();
  const first = sendPlain(exchange, grant, AbortSignal.any([req.signal, firstAbort.signal]));
  if (hedgeDelayMs === undefined || grant.target.kind !== 'plain') return first;
  const delayAbort = new AbortController();
  const firstResult = await Promise.race([first, sleep(hedgeDelayMs, delayAbort.signal)]);
  delayAbort.abort();
  if (firstResult !== undefined) return firstResult;
  if (!hedge.takeRetry()) return first;
  const hedgeGrant = await hedge.placeHedge(grant.target.server.upstream);
  if (hedgeGrant === undefined) return first;
  const hedgeAbort = new AbortController();
  const second = sendPlain(exchange, hedgeGrant, AbortSignal.any([req.signal, hedgeAbort.signal]));
  const winner = await Promise.race([
    first.then((result) => ({ result, isFirst: true })),
    second.then((result) => ({ result, isFirst: false })),
  ]);
  const loser = winner.isFirst ? second : first;
  if (winner.result.isErr()) {
    const other = await loser;
    // When both fail, the request may have run if either attempt may have.
    return other.isErr() && other.error.error.effect === 'not_run' ? winner.result : other;
  }
  (winner.isFirst ? hedgeAbort : firstAbort).abort();
  discardAnswer(exchange, loser);
  return winner.result;
}
