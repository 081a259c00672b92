/** The loop over attempts that model and plain requests share. */
import { createError } from '@hibiscusbank/core';
import type { Effect, RouterError, UpstreamId } from '@hibiscusbank/core';
import type { Grant, GrantTarget, PlacementRequest } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RetryBudget } from './retry-budget.js';
import type { AdmittedRequest, GatewayOptions } from './types.js';

/** Attempts of one request, the first included. */
const MAX_ATTEMPTS = 4;

/** Grants given back because their upstream went out of service meanwhile. */
const MAX_UNUSED_GRANTS = 8;

/** Why a request ended without an answer, and whether an upstream can have run it. */
export interface FinalFailure {
  readonly error: RouterError;
  readonly effect: Effect;
}

export interface AttemptFailure {
  readonly error: RouterError;
  readonly upstream: UpstreamId;
  /**
   * Whether an upstream ran a part of the request although the error says that its own did not run.
   * The request may then be sent again, but a refusal does not call it not run.
   */
  readonly ranPart?: boolean;
}

export interface AttemptLoop<T> {
  readonly options: GatewayOptions;
  readonly req: AdmittedRequest;
  readonly budget: RetryBudget;
  /** Number of the first attempt; a resumed stream continues to count. */
  readonly firstAttempt: number;
  readonly exclude: readonly UpstreamId[];
  readonly createPlacement: (attempt: number, exclude: readonly UpstreamId[]) => PlacementRequest;
  /** Runs one attempt and releases its grant. */
  readonly run: (grant: Grant) => Promise<Result<T, AttemptFailure>>;
  /** Whether the request can be sent again after an attempt with this effect. */
  readonly mayRepeat: (effect: Effect) => boolean;
}

/** Turns the abort reason of a request into an error: its time limit or a disconnected caller. */
export function describeAbort(signal: AbortSignal): RouterError {
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

/** Checked right before sending, because the grant may have waited behind a configuration change. */
function isGrantUsable(options: GatewayOptions, grant: Grant): boolean {
  return listUpstreams(grant.target).every(
    (upstream) => !options.configuration.isUpstreamOut(upstream, grant.dataCentre),
  );
}

async function placeUsable<T>(
  loop: AttemptLoop<T>,
  attempt: number,
  exclude: readonly UpstreamId[],
): Promise<Result<Grant, RouterError>> {
  const { options, req } = loop;
  for (let unused = 0; unused < MAX_UNUSED_GRANTS; unused += 1) {
    const placed = await options.scheduler.place(
      loop.createPlacement(attempt, exclude),
      req.signal,
    );
    if (placed.isErr()) return err(req.signal.aborted ? describeAbort(req.signal) : placed.error);
    const grant = placed.value;
    if (!req.isAllowed()) {
      options.scheduler.release(grant, { outcome: 'unused' });
      return err(createError('unauthorised', 'the key was withdrawn; ask for a new one'));
    }
    if (isGrantUsable(options, grant)) return ok(grant);
    options.scheduler.release(grant, { outcome: 'unused' });
  }
  return err(createError('no_capacity', 'upstreams are leaving; retry later'));
}

/** Runs attempts until one succeeds or the request may not be sent again. */
export async function runAttempts<T>(loop: AttemptLoop<T>): Promise<Result<T, FinalFailure>> {
  const { options, req, budget } = loop;
  const { pool } = req.route;
  const exclude = [...loop.exclude];
  let effect: Effect = loop.firstAttempt === 1 ? 'not_run' : 'unknown';
  let ranPart = false;
  const fail = (error: RouterError): Result<T, FinalFailure> =>
    err({ error, effect: ranPart ? 'unknown' : effect });
  let lastError = createError('no_capacity', 'no attempt was possible; retry later');
  for (let made = 0; made < MAX_ATTEMPTS; made += 1) {
    const attempt = loop.firstAttempt + made;
    const placed = await placeUsable(loop, attempt, exclude);
    if (placed.isErr()) return fail(placed.error);
    const grant = placed.value;
    const result = await loop.run(grant);
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
    ranPart ||= result.error.ranPart ?? false;
    if (req.signal.aborted) return fail(describeAbort(req.signal));
    if (!loop.mayRepeat(effect) || !budget.takeRetry(pool)) break;
    exclude.push(upstream);
  }
  return fail(lastError);
}
