/** Classifies transport failures and refusals of upstreams. */
import { createError, toError } from '@hibiscusbank/core';
import type { Effect, RouterError } from '@hibiscusbank/core';

/** Codes of errors raised before a connection exists, so that no byte can have been sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Response header that states that the upstream did not run the request. */
export const NOT_RUN_HEADER = 'x-not-run';

/** Response header that states that the upstream is in cold start. */
export const COLD_START_HEADER = 'x-cold-start';

function findErrorCode(error: Error): string | undefined {
  const { code, cause } = error as Error & { code?: string; cause?: unknown };
  if (typeof code === 'string') return code;
  return cause instanceof Error ? findErrorCode(cause) : undefined;
}

/** Converts a transport error to a typed error. Its effect is `not_run` if no connection existed. */
export function classifyTransportError(
  thrown: unknown,
  address: string,
  signal: AbortSignal,
): RouterError {
  const cause = toError(thrown);
  const code = findErrorCode(cause);
  const effect: Effect =
    code !== undefined && CONNECT_ERROR_CODES.has(code) ? 'not_run' : 'unknown';
  if (signal.aborted) {
    return createError('cancelled', `the call to ${address} was cancelled`, { cause, effect });
  }
  return createError(
    'upstream_failed',
    `${address} failed (${code ?? cause.message}); check the upstream`,
    { cause, effect },
  );
}

export interface RefusalHeaders {
  readonly [COLD_START_HEADER]?: string | string[] | undefined;
  readonly [NOT_RUN_HEADER]?: string | string[] | undefined;
}

/** Converts the status and headers of an unsuccessful response into a typed error. */
export function classifyStatus(
  status: number,
  headers: RefusalHeaders,
  address: string,
): RouterError {
  if (status === 503 && headers[COLD_START_HEADER] !== undefined) {
    const effect = headers[NOT_RUN_HEADER] === undefined ? 'unknown' : 'not_run';
    return createError('upstream_cold', `${address} is in cold start; send less`, { effect });
  }
  if (headers[NOT_RUN_HEADER] !== undefined) {
    return createError('upstream_refused', `${address} refused with status ${status}; retry`, {
      effect: 'not_run',
    });
  }
  if (status === 404) {
    return createError('not_found', `${address} does not know the request`, { effect: 'unknown' });
  }
  return createError('upstream_failed', `${address} answered ${status}; check the upstream`, {
    effect: 'unknown',
  });
}
