/** Sends JSON over HTTP to the platform's services. */
import { createError, toError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { ResultAsync } from 'neverthrow';
import { request } from 'undici';
import type { Dispatcher } from 'undici';

/** Services normally answer within milliseconds. No answer within this time counts as an outage. */
const CALL_TIMEOUT_MS = 2_000;

export interface JsonCall {
  readonly method: Dispatcher.HttpMethod;
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time that the service may wait before it answers, added to the timeout. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

async function send(call: JsonCall): Promise<JsonResponse> {
  const timeoutMs = CALL_TIMEOUT_MS + (call.waitMs ?? 0);
  const timeoutSignal = AbortSignal.timeout(timeoutMs);
  const res = await request(call.url, {
    method: call.method,
    headers: { 'content-type': 'application/json', ...call.headers },
    body: call.body === undefined ? null : JSON.stringify(call.body),
    signal:
      call.signal === undefined ? timeoutSignal : AbortSignal.any([timeoutSignal, call.signal]),
  });
  const text = await res.body.text();
  return { status: res.statusCode, body: text === '' ? undefined : JSON.parse(text) };
}

/** Statuses that callers of `callJson` handle. Any other status means that the service is unusable. */
const HANDLED_STATUSES = new Set([200, 400, 404, 409, 410, 413]);

/** Sends one call. Errors: `platform_unavailable` for a rate limit, a server error or no answer. */
export function callJson(call: JsonCall): ResultAsync<JsonResponse, RouterError> {
  const unavailable = (cause?: Error): RouterError =>
    createError(
      'platform_unavailable',
      `no answer from ${call.url}; check the [platform] addresses and the service`,
      cause === undefined ? {} : { cause },
    );
  return ResultAsync.fromPromise(
    send(call).then((res) => {
      if (!HANDLED_STATUSES.has(res.status)) throw new Error(`status ${res.status}`);
      return res;
    }),
    (thrown) => unavailable(toError(thrown)),
  );
}
