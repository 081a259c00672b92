/** Attempt loop of model and plain requests: placement, retries and the final failure. */
import { createError } from '@hibiscusbank/core';
import type { Effect, RouterError, UpstreamId } from '@hibiscusbank/core';
import type { Grant, GrantTarget, PlacementRequest } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RetryBudget } from './retry-budget.js';
import type { AdmittedRequest, GatewayOptions } from './types.js';

/** Attempts per run of the loop, including the first. */
const MAX_ATTEMPTS = 4;

/** Maximum number of grants per attempt released unused because an upstream is out of service. */
const MAX_UNUSED_GRANTS = 8;

/** Error that ended a request, and whether an upstream may have run it. */
export interface FinalFailure {
  readonly error: RouterError;
  readonly effect: Effect;
}

export interface AttemptFailure {
  readonly error: RouterError;
  readonly upstream: UpstreamId;
  /**
   * Whether an upstream ran part of the request, such as the prefill, although the effect of the
   * error is `not_run`. Such a request may be retried, but its final effect is `unknown`.
   */
  readonly partlyExecuted?: boolean;
}

export interface AttemptLoop<T> {
  readonly options: GatewayOptions;
  readonly req: AdmittedRequest;
  readonly budget: RetryBudget;
  /** Number of the first attempt; a resumed stream continues the count. */
  readonly firstAttempt: number;
  readonly exclude: readonly UpstreamId[];
  readonly createPlacement: (attempt: number, exclude: readonly UpstreamId[]) => PlacementRequest;
  /** Runs one attempt. A failed attempt releases its grant. */
  readonly runAttempt: (grant: Grant) => Promise<Result<T, AttemptFailure>>;
  /** Returns whether the request may be retried, given the effect of its attempts so far. */
  readonly canRetry: (effect: Effect) => boolean;
}

/** Returns the error of an aborted request: `timeout`, or `cancelled` if the caller disconnected. */
export function toAbortError(signal: AbortSignal): RouterError {
  const reason: unknown = signal.reason;
  return reason instanceof Error && reason.name === 'timeout'
    ? (reason as RouterError)
    : createError('cancelled', 'the caller disconnected');
}

function listUpstreams(target: GrantTarget): readonly UpstreamId[] {
  return target.kind === 'plain'
    ? [target.server.upstream]
    : [target.prefill.upstream, target.decode.upstream];
}

/**
 * Returns whether all upstreams of a grant are in service. Called right before sending, because the
 * configuration may have changed while the request was queued.
 */
function isGrantUsable(options: GatewayOptions, grant: Grant): boolean {
  return listUpstreams(grant.target).every(
    (upstream) => !options.configuration.isUpstreamOutOfService(upstream, grant.dataCentre),
  );
}

async function acquireUsableGrant<T>(
  loop: AttemptLoop<T>,
  attempt: number,
  exclude: readonly UpstreamId[],
): Promise<Result<Grant, RouterError>> {
  const { options, req } = loop;
  for (let discarded = 0; discarded < MAX_UNUSED_GRANTS; discarded += 1) {
    const placed = await options.scheduler.place(
      loop.createPlacement(attempt, exclude),
      req.signal,
    );
    if (placed.isErr()) return err(req.signal.aborted ? toAbortError(req.signal) : placed.error);
    const grant = placed.value;
    if (!req.isStillAuthorised()) {
      options.scheduler.release(grant, { outcome: 'unused' });
      return err(createError('unauthorised', 'the key was withdrawn; ask for a new one'));
    }
    if (isGrantUsable(options, grant)) return ok(grant);
    options.scheduler.release(grant, { outcome: 'unused' });
  }
  return err(createError('no_capacity', 'upstreams are leaving; retry later'));
}

/** Runs attempts until one succeeds or no further attempt is allowed. */
export async function runAttempts<T>(loop: AttemptLoop<T>): Promise<Result<T, FinalFailure>> {
  const { options, req, budget } = loop;
  const { pool } = req.route;
  const exclude = [...loop.exclude];
  let effect: Effect = loop.firstAttempt === 1 ? 'not_run' : 'unknown';
  let partlyExecuted = false;
  const fail = (error: RouterError): Result<T, FinalFailure> =>
    err({ error, effect: partlyExecuted ? 'unknown' : effect });
  let lastError = createError('no_capacity', 'no attempt was possible; retry later');
  for (let attemptsMade = 0; attemptsMade < MAX_ATTEMPTS; attemptsMade += 1) {
    const attempt = loop.firstAttempt + attemptsMade;
    const placed = await acquireUsableGrant(loop, attempt, exclude);
    if (placed.isErr()) return fail(placed.error);
    const grant = placed.value;
    const result = await loop.runAttempt(grant);
    const succeeded = result.isOk();
    options.telemetry.metrics.attempts.inc({ pool, result: succeeded ? 'completed' : 'failed' });
    if (succeeded) return ok(result.value);
    const { error, upstream } = result.error;
    options.telemetry.log('attemptFailed', {
      request: req.id,
      attempt,
      upstream,
      kind: error.kind,
      error: error.message,
    });
    lastError = error;
    if (error.effect !== 'not_run') effect = 'unknown';
    partlyExecuted ||= result.error.partlyExecuted ?? false;
    if (req.signal.aborted) return fail(toAbortError(req.signal));
    if (!loop.canRetry(effect) || !budget.takeRetry(pool)) break;
    exclude.push(upstream);
  }
  return fail(lastError);
}
