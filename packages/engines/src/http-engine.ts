/** HTTP adapter of the engine port. */
import { createError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { classifyStatus, classifyTransportError } from './failures.js';
import { createHttpClient } from './http-client.js';
import { readTokenStream } from './token-stream.js';
import type {
  AttemptRef,
  CacheEvents,
  EngineHold,
  EngineLoad,
  EngineOrder,
  EnginePort,
  PrefillResult,
} from './types.js';

/** Time limit of control calls, which engines answer quickly. */
const CONTROL_TIMEOUT_MS = 1_500;

interface JsonCall {
  readonly address: string;
  readonly path: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly headers?: Record<string, string>;
  readonly body?: unknown;
  readonly signal?: AbortSignal;
}

interface AttemptHeaderSource extends AttemptRef {
  readonly organisation: string | undefined;
}

function createAttemptHeaders(call: AttemptHeaderSource): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-request-id': call.requestId,
    'x-hibiscusbank-attempt': String(call.attempt),
    ...(call.organisation === undefined
      ? {}
      : { 'x-hibiscusbank-organisation': call.organisation }),
  };
}

async function sendWithSignal(
  client: Dispatcher,
  call: JsonCall,
  signal: AbortSignal,
): Promise<Result<unknown, RouterError>> {
  try {
    const res = await client.request({
      origin: call.address,
      path: call.path,
      method: call.method,
      headers: call.headers ?? { 'content-type': 'application/json' },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal,
    });
    const text = await res.body.text();
    if (res.statusCode === 409) {
      return err(createError('stale_epoch', `${call.address} has seen a newer epoch`));
    }
    if (res.statusCode !== 200) {
      return err(classifyStatus(res.statusCode, res.headers, call.address));
    }
    return ok(text === '' ? undefined : JSON.parse(text));
  } catch (thrown) {
    return err(classifyTransportError(thrown, call.address, signal));
  }
}

/** Sends a call. Without a signal, the time limit of control calls applies. */
async function sendJson(client: Dispatcher, call: JsonCall): Promise<Result<unknown, RouterError>> {
  if (call.signal !== undefined) return sendWithSignal(client, call, call.signal);
  const timeoutController = new AbortController();
  const timer = setTimeout(() => timeoutController.abort(), CONTROL_TIMEOUT_MS);
  const result = await sendWithSignal(client, call, timeoutController.signal);
  clearTimeout(timer);
  if (result.isErr() && result.error.kind === 'cancelled') {
    const message = `${call.address} did not answer within ${CONTROL_TIMEOUT_MS} ms; check the engine`;
    return err(createError('timeout', message, { cause: result.error, effect: 'unknown' }));
  }
  return result;
}

async function toResult(
  pending: Promise<RouterError | undefined>,
): Promise<Result<void, RouterError>> {
  const error = await pending;
  return error === undefined ? ok(undefined) : err(error);
}

function firstValue(header: string | string[] | undefined): string | undefined {
  return Array.isArray(header) ? header[0] : header;
}

/** Creates the adapter. `client` holds the connections to all engines. */
export function createHttpEngine(client: Dispatcher = createHttpClient()): EnginePort {
  const callJson = (call: JsonCall): ResultAsync<unknown, RouterError> =>
    new ResultAsync(sendJson(client, call));
  return {
    prefill: (call) =>
      callJson({
        address: call.address,
        path: '/v1/prefill',
        method: 'POST',
        headers: createAttemptHeaders(call),
        body: { model: call.model, prompt: call.prompt, priority: call.priority },
        signal: call.signal,
      }).map((body): PrefillResult => {
        const responseBody = body as Record<string, number | string>;
        return {
          kvId: String(responseBody.kv_id),
          promptTokens: Number(responseBody.prompt_tokens),
          cachedTokens: Number(responseBody.cached_tokens),
          elapsedMs: Number(responseBody.elapsed_ms),
        };
      }),
    decode: (call) =>
      new ResultAsync(
        toResult(
          readTokenStream(client, {
            address: call.address,
            path: '/v1/decode',
            method: 'POST',
            headers: createAttemptHeaders(call),
            body: JSON.stringify({
              model: call.model,
              kv_id: call.kv.kvId,
              kv_source: call.kv.address,
              start_index: call.startIndex,
              max_tokens: call.maxTokens,
              priority: call.priority,
            }),
            signal: call.signal,
            onTokens: call.onTokens,
          }),
        ),
      ),
    resume: (call) =>
      new ResultAsync(
        toResult(
          readTokenStream(client, {
            address: call.address,
            path: `/v1/streams/${encodeURIComponent(call.requestId)}`,
            method: 'GET',
            headers: { 'last-event-id': String(call.lastIndex) },
            body: undefined,
            signal: call.signal,
            onHeaders: (headers) =>
              call.onOwner({
                organisation: firstValue(headers['x-hibiscusbank-organisation']),
                attempt: Number(firstValue(headers['x-hibiscusbank-attempt']) ?? call.attempt),
              }),
            onTokens: call.onTokens,
          }),
        ),
      ),
    cancel: (address, ref) =>
      callJson({
        address,
        path: `/v1/requests/${encodeURIComponent(ref.requestId)}?attempt=${ref.attempt}`,
        method: 'DELETE',
      }).map(() => undefined),
    listHolds: (address) =>
      callJson({ address, path: '/v1/holds', method: 'GET' }).map(
        (body) => (body as { holds: EngineHold[] }).holds,
      ),
    readLoad: (address) =>
      callJson({ address, path: '/v1/load', method: 'GET' }).map((body) => body as EngineLoad),
    readCacheEvents: (address, after) =>
      callJson({ address, path: `/v1/cache-events?after=${after}`, method: 'GET' }).map(
        (body) => body as CacheEvents,
      ),
    order: (address, order: EngineOrder) =>
      callJson({ address, path: '/v1/orders', method: 'POST', body: order }).map(() => undefined),
  };
}
