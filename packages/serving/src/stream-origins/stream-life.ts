/** How long what is known of a stream is needed. */
import type { ServingTables } from '../types.js';

const MIN_LIFE_MS = 15_000;
/** Assumed before the configuration is known. */
const DEFAULT_LIFE_MS = 30_000;
/** A caller may resume up to the end of its deadline, and then wait as long again for the rest. */
const LIFE_TIME_LIMITS = 2;

/** Returns the longest time in milliseconds between the first event of a stream and the end of its last try. */
export function computeStreamLifeMs(tables: ServingTables | undefined): number {
  if (tables === undefined) return DEFAULT_LIFE_MS;
  const limits = tables.routes
    .filter(({ isResumable }) => isResumable)
    .map(({ timeLimitMs }) => timeLimitMs * LIFE_TIME_LIMITS);
  return Math.max(MIN_LIFE_MS, ...limits);
}
