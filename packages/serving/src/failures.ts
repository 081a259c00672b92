/** Why a request of the serving path ended without an upstream's answer. */
import { createError } from '@hibiscusbank/core';
import type { Effect, RouterError } from '@hibiscusbank/core';
import type { SendFailure } from './types.js';

export interface ServingFailure {
  readonly error: RouterError;
  readonly effect: Effect;
}

/** Describes an attempt that failed, in a status that states no more than is known. */
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

/** Describes a request whose time is over. */
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

/** Whether a failed send got no answer at all. */
export function isSilent({ reason }: SendFailure): boolean {
  return reason === 'unreachable' || reason === 'aborted';
}
