/** HTTP adapter of the plain upstream port. */
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RouterError } from '@hibiscusbank/core';
import type { Dispatcher } from 'undici';
import {
  classifyStatus,
  classifyTransportError,
  COLD_START_HEADER,
  NOT_RUN_HEADER,
} from './failures.js';
import { createHttpClient } from './http-client.js';
import type { UpstreamAnswer, UpstreamCall, UpstreamPort } from './types.js';

async function send(
  client: Dispatcher,
  call: UpstreamCall,
): Promise<Result<UpstreamAnswer, RouterError>> {
  try {
    const res = await client.request({
      origin: call.address,
      path: call.path,
      method: call.method,
      headers: { ...call.headers },
      body: call.body ?? null,
      signal: call.signal,
    });
    const isRefusal =
      res.headers[NOT_RUN_HEADER] !== undefined ||
      (res.statusCode === 503 && res.headers[COLD_START_HEADER] !== undefined);
    if (isRefusal) {
      await res.body.dump();
      return err(classifyStatus(res.statusCode, res.headers, call.address));
    }
    return ok({ status: res.statusCode, headers: res.headers, body: res.body });
  } catch (thrown) {
    return err(classifyTransportError(thrown, call.address, call.signal));
  }
}

/** Creates the adapter. `client` holds the connections to all upstreams. */
export function createHttpUpstream(client: Dispatcher = createHttpClient()): UpstreamPort {
  return { send: (call) => new ResultAsync(send(client, call)) };
}
