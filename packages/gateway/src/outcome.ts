/** Maps the error of an attempt to the outcome that is reported to the scheduler. */
import type { RouterError } from '@hibiscusbank/core';
import type { GrantOutcome } from '@hibiscusbank/scheduler';

/** Returns the outcome of a failed call. An aborted call is not a failure of the upstream. */
export function toGrantOutcome(error: RouterError, signal: AbortSignal): GrantOutcome {
  if (signal.aborted) return 'cancelled';
  if (error.kind === 'upstream_cold') return 'cold';
  if (error.kind === 'upstream_refused') return 'refused';
  return 'failed';
}
