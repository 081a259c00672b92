/** Error responses to callers. */
import type { Effect, ErrorKind, RouterError } from '@hibiscusbank/core';

/** Header that states whether the request was answered, was not run or may have run. */
export const OUTCOME_HEADER = 'x-hibiscusbank-outcome';

const STATUS_BY_KIND: Partial<Record<ErrorKind, number>> = {
  invalid_request: 400,
  unauthorised: 401,
  forbidden: 403,
  no_route: 404,
  not_found: 404,
  conflict: 409,
  already_exists: 409,
  body_too_large: 413,
  rate_exceeded: 429,
  cancelled: 499,
  internal: 500,
  upstream_failed: 502,
  upstream_refused: 503,
  upstream_cold: 503,
  no_capacity: 503,
  quarantined: 503,
  not_ready: 503,
  platform_unavailable: 503,
  peer_unavailable: 503,
  stale_epoch: 503,
  timeout: 504,
};

const MS_PER_S = 1_000;

export interface ErrorResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Formats an error as in the OpenAI API. */
export function formatError(error: RouterError, effect: Effect): ErrorResponse {
  const status = STATUS_BY_KIND[error.kind] ?? 500;
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [OUTCOME_HEADER]: effect,
  };
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_S)));
  }
  if (status === 401) headers['www-authenticate'] = 'Bearer';
  const body = JSON.stringify({
    error: { type: error.kind, message: error.message, code: status, outcome: effect },
  });
  return { status, headers, body };
}
