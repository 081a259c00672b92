/** Errors for requests that ended without a response from an upstream. */
import { createError } from '@hibiscusbank/core';
import type { Effect, RouterError } from '@hibiscusbank/core';
import { computeDrainRetryMs } from './drain-admission.js';
import type { DrainView } from './drain-admission.js';
import type { QuarantinedParts } from './quarantine-notices.js';
import type { SendFailure } from './types.js';

export interface ServingFailure {
  readonly error: RouterError;
  readonly effect: Effect;
}

/** Returns the error for a request that was not sent because it or a part of its prompt is quarantined. */
export function describeQuarantine({
  parts,
  ageMs,
  lengthMs,
  ends,
}: QuarantinedParts): RouterError {
  return createError(
    'quarantined',
    `${ends.length} upstreams ended while they ran requests with ${parts.join(' and ')}; ` +
      'change the request, or ask the operator to lift the quarantine',
    { effect: 'not_run', retryAfterMs: Math.max(0, lengthMs - ageMs) },
  );
}

/** Returns the error for a request for which upstreams at their limits have no place in time. */
export function describeLimited(retryAfterMs: number): RouterError {
  return createError('no_capacity', 'all upstreams limit their requests or pause; retry later', {
    effect: 'not_run',
    retryAfterMs,
  });
}

/** Returns the error for a request that could not end before this node stops. */
export function describeDraining(view: DrainView): RouterError {
  return createError('not_ready', 'the node is stopping; send the request to another node', {
    effect: 'not_run',
    retryAfterMs: computeDrainRetryMs(view),
  });
}

/** Converts a failed attempt to an error that claims no more about its effect than is known. */
export function describeFailure(failure: SendFailure, retryAfterMs: number): ServingFailure {
  if (failure.effect === 'not_run') {
    return {
      error: createError('no_capacity', 'no upstream took the request; retry later', {
        effect: 'not_run',
        retryAfterMs,
      }),
      effect: 'not_run',
    };
  }
  return {
    error: createError('upstream_failed', 'the upstream broke off; it may have run the request'),
    effect: 'unknown',
  };
}

/** Returns the failure of a request that must not be sent (again) because of a quarantine. */
export function describeBlocked(blocked: QuarantinedParts, effect: Effect): ServingFailure {
  return effect === 'not_run'
    ? { error: describeQuarantine(blocked), effect }
    : describeFailure({ effect, wasSent: true, reason: 'broken' }, 0);
}

/** Returns the error for a request whose time limit has passed. */
export function describeTimeout(effect: Effect): ServingFailure {
  return effect === 'not_run'
    ? {
        error: createError('no_capacity', 'no upstream was free in time; retry later', {
          effect: 'not_run',
        }),
        effect,
      }
    : { error: createError('timeout', 'the upstream did not answer in time'), effect };
}

/** Whether a failed send got no response at all. */
export function gotNoResponse({ reason }: SendFailure): boolean {
  return reason === 'unreachable' || reason === 'aborted';
}
