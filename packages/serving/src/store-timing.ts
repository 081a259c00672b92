/**
 * Time limits of calls to the store. They follow from the bounds within which a node must know of
 * changes, also when the store or a single connection falls silent without closing.
 */

/**
 * The store answers within milliseconds; a call that takes longer than this beyond its wait counts
 * as failed.
 */
export const STORE_CALL_TIMEOUT_MS = 1_500;
/** Time for the pause before a failed watch is renewed, the call itself and a busy process. */
const RENEWAL_MARGIN_MS = 500;
const MIN_WAIT_MS = 300;

/**
 * Returns the maximum time for which a call may be left without effect, waiting in the store or
 * pausing before it, so that a silence is noticed and the call renewed within `boundMs`. Bounds
 * below `STORE_CALL_TIMEOUT_MS` + 800 ms are not met.
 */
export function computeMaxWaitMs(boundMs: number): number {
  return Math.max(MIN_WAIT_MS, boundMs - STORE_CALL_TIMEOUT_MS - RENEWAL_MARGIN_MS);
}
