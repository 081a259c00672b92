/** Maps the error of an attempt to the outcome that the scheduler learns. */
import type { RouterError } from '@hibiscusbank/core';
import type { GrantOutcome } from '@hibiscusbank/scheduler';

/** A call that was aborted because its caller left is no fault of the upstream. */
export function toGrantOutcome(error: RouterError, signal: AbortSignal): GrantOutcome {
  if (signal.aborted) return 'cancelled';
  if (error.kind === 'upstream_cold') return 'cold';
  if (error.kind === 'upstream_refused') return 'refused';
  return 'failed';
}
