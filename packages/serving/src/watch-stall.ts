/** Detects runs of resumable streams that no longer make progress. */
import { monotonicMs } from '@hibiscusbank/core';
import type { StreamProgress } from './relay-events.js';
import type { ServingRoute } from './types.js';

/**
 * Time without an event after which a resumable stream continues on another engine, in targets of
 * the route. Callers disconnect after four; an engine that prefills several prompts at a time pauses
 * its streams for more than one.
 */
const STALL_LIMIT_TARGETS = 2;
const STALL_CHECK_INTERVAL_MS = 200;

/** Aborts a run that makes no progress. Returns a function that stops the check. */
export function watchStall(
  progress: StreamProgress,
  { targetMs }: Pick<ServingRoute, 'targetMs'>,
  abort: () => void,
): () => void {
  progress.lastEventAt = monotonicMs();
  const limitMs = targetMs * STALL_LIMIT_TARGETS;
  const timer = setInterval(() => {
    if (monotonicMs() - progress.lastEventAt > limitMs) abort();
  }, STALL_CHECK_INTERVAL_MS);
  return () => clearInterval(timer);
}
