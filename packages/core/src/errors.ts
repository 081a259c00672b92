/** Typed errors of the router. Every message names the remedy. */
import VError from 'verror';

/** What went wrong, as a caller of a module can act on it. */
export type ErrorKind =
  | 'invalid_settings'
  | 'invalid_request'
  | 'unauthorised'
  | 'forbidden'
  | 'no_route'
  | 'body_too_large'
  | 'rate_exceeded'
  | 'no_capacity'
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
 * What is known about the effect of the work that failed.
 * `not_run`: no upstream can have run it. `unknown`: an upstream may have run it.
 */
export type Effect = 'not_run' | 'unknown';

export interface ErrorOptions {
  readonly cause?: Error;
  /** Milliseconds after which a retry is worthwhile. */
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

/** Creates a typed error. */
export function createError(
  kind: ErrorKind,
  message: string,
  options: ErrorOptions = {},
): RouterError {
  return new RouterError(kind, message, options);
}

/** Returns the value as an `Error`, whatever was thrown. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Returns a typed error unchanged and wraps anything else under `kind`. */
export function toRouterError(
  thrown: unknown,
  kind: ErrorKind = 'internal',
  message = 'unexpected error; see the cause and report it',
): RouterError {
  if (thrown instanceof RouterError) return thrown;
  return createError(kind, message, { cause: toError(thrown) });
}
