/** HTTP client for the admin addresses of nodes. */
import { createError, toError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { ResultAsync } from 'neverthrow';
import { request } from 'undici';

const CALL_TIMEOUT_MS = 2_000;
const STATUS_NOT_FOUND = 404;

/**
 * Errors: `peer_unavailable` if the node does not respond or fails, `not_found` for an unknown path
 * or name, `invalid_request` if the node rejects the call.
 */
export interface AdminPort {
  /** `IP:port`. */
  readonly address: string;
  get(path: string): ResultAsync<unknown, RouterError>;
  post(path: string, body: unknown): ResultAsync<unknown, RouterError>;
}

async function send(url: string, method: 'GET' | 'POST', body: unknown): Promise<unknown> {
  const res = await request(url, {
    method,
    headers: { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const text = await res.body.text();
  if (res.statusCode === STATUS_NOT_FOUND) {
    throw createError('not_found', `${url} returned 404; the node does not know this path or name`);
  }
  if (res.statusCode >= 500) throw new Error(`status ${res.statusCode}: ${text}`);
  if (res.statusCode >= 400) {
    throw createError('invalid_request', `${url} rejected the call: ${res.statusCode} ${text}`);
  }
  return text === '' ? undefined : JSON.parse(text);
}

/** Creates an admin client for one node. */
export function createHttpAdmin(address: string): AdminPort {
  const call = (method: 'GET' | 'POST', path: string, body?: unknown) =>
    ResultAsync.fromPromise(send(`http://${address}${path}`, method, body), (thrown) => {
      const cause = toError(thrown);
      if ('kind' in cause) return cause as RouterError;
      return createError(
        'peer_unavailable',
        `no valid response from the node at ${address}; check the admin address and the process`,
        { cause },
      );
    });
  return {
    address,
    get: (path) => call('GET', path),
    post: (path, body) => call('POST', path, body),
  };
}
