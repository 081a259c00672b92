/** Typed errors of the router. Every message says how to resolve the error. */
import VError from 'verror';

/** Category of an error, which callers use to decide how to handle it. */
export type ErrorKind =
  | 'invalid_settings'
  | 'invalid_request'
  | 'unauthorised'
  | 'forbidden'
  | 'no_route'
  | 'body_too_large'
  | 'rate_exceeded'
  | 'no_capacity'
  | 'quarantined'
  | 'not_ready'
  | 'conflict'
  | 'not_found'
  | 'already_exists'
  | 'history_lost'
  | 'platform_unavailable'
  | 'peer_unavailable'
  | 'upstream_refused'
  | 'upstream_cold'
  | 'upstream_failed'
  | 'timeout'
  | 'cancelled'
  | 'stale_epoch'
  | 'internal';

/**
 * Whether an upstream may have run the failed request. `not_run`: no upstream can have run it.
 * `unknown`: an upstream may have run it.
 */
export type Effect = 'not_run' | 'unknown';

export interface ErrorOptions {
  readonly cause?: Error;
  /** Milliseconds to wait before a retry. */
  readonly retryAfterMs?: number;
  readonly effect?: Effect;
  /** Values for logs and JSON output. */
  readonly info?: Readonly<Record<string, unknown>>;
}

/** An error with a kind; `message` says what happened and what to do about it. */
export class RouterError extends VError {
  readonly kind: ErrorKind;

  readonly retryAfterMs: number | undefined;

  readonly effect: Effect | undefined;

  constructor(kind: ErrorKind, message: string, options: ErrorOptions = {}) {
    super({ name: kind, cause: options.cause, info: options.info ?? {} }, '%s', message);
    this.kind = kind;
    this.retryAfterMs = options.retryAfterMs;
    this.effect = options.effect;
  }
}

export function createError(
  kind: ErrorKind,
  message: string,
  options: ErrorOptions = {},
): RouterError {
  return new RouterError(kind, message, options);
}

/** Returns `thrown` when it is an `Error`, otherwise an `Error` with its string form as message. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Returns a `RouterError` unchanged and wraps any other value in one of the given kind. */
export function toRouterError(
  thrown: unknown,
  kind: ErrorKind = 'internal',
  message = 'unexpected error; see the cause and report it',
): RouterError {
  if (thrown instanceof RouterError) return thrown;
  return createError(kind, message, { cause: toError(thrown) });
}
