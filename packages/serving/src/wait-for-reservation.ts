/** Waits until a decode engine reserves capacity for a stream. */
import { monotonicMs } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { allocateEngine } from './allocate-capacity.js';
import { describeVersionGone, hasDecodeEngine, hasOtherVersions } from './bound-version.js';
import { computeNeededMs, remainingMs } from './context.js';
import type { EngineReservation, ServingContext } from './context.js';
import { describeDraining, describeLimited } from './failures.js';
import { estimateLimitedWaitMs, reservationTokens, reserveEngine } from './reserve-engine.js';
import type { StreamState } from './stream-state.js';
import { planWait } from './wait-plan.js';

/**
 * Waits for a reservation. Errors: `no_capacity`, `cancelled`, and `not_ready` once the run could no
 * longer end before this node stops. A stream that has begun is not refused: its caller would be cut
 * off at once, and may get the rest. One that is bound to a version ends as soon as no engine of it serves.
 */
export async function waitForReservation(
  context: ServingContext,
  state: StreamState,
): Promise<Result<EngineReservation, RouterError>> {
  const { admitted, engineSettings, failedDecode } = state;
  const { req, pool, organisation, signal } = admitted;
  const usage = req.usage ?? { promptTokens: 0, maxOutputTokens: 0, expectedOutputTokens: 0 };
  const tokens = reservationTokens(usage);
  const plan = planWait({
    targetMs: admitted.route.targetMs,
    elapsedMs: monotonicMs() - admitted.startedAt,
    remainingMs: remainingMs(admitted),
    hasEvents: state.progress.hasEvents,
  });
  const startedAt = monotonicMs();
  const queue = context.queueFor(pool.id);
  const limitedWaitMs = estimateLimitedWaitMs(context, pool.id, queue.size());
  if (limitedWaitMs > plan.maxWaitMs && !state.progress.hasEvents) {
    const retryAfterMs = Math.round(limitedWaitMs);
    context.telemetry.log('permitRefused', { request: req.id, retryAfterMs });
    return err(describeLimited(retryAfterMs));
  }
  const { version } = state;
  const isStranded = (): boolean =>
    version !== undefined && !hasDecodeEngine(context, pool.id, version, failedDecode);
  if (version !== undefined && isStranded()) return err(describeVersionGone(version));
  const waiting = new AbortController();
  const endWait = (): void => waiting.abort();
  signal.addEventListener('abort', endWait, { once: true });
  const stopWatch = state.progress.hasEvents
    ? () => {}
    : context.drain.onTooLate(computeNeededMs(context, admitted), endWait);
  const release = (reservation: EngineReservation): void => {
    reservation.release();
    context.transport.dropReservation(reservation.upstream, reservation.id);
  };
  const allocate = async (): Promise<Result<EngineReservation, RouterError> | undefined> => {
    // An allocator grants engines of any version.
    const mayAllocate = version === undefined || !hasOtherVersions(context, pool.id, version);
    if (!mayAllocate || !context.allocation.isActive(pool.id)) return undefined;
    const result = await allocateEngine(
      context,
      admitted,
      engineSettings,
      tokens,
      plan,
      failedDecode,
      waiting.signal,
    );
    // Another version may have appeared while the request waited.
    if (version === undefined || result?.isOk() !== true) return result;
    if (result.value.upstream.version === version) return result;
    release(result.value);
    return undefined;
  };
  const allocated = await allocate();
  const passedMs = monotonicMs() - startedAt;
  const result =
    allocated ??
    (await queue.wait({
      organisation: organisation?.id ?? '',
      cost: tokens,
      onTargetMs: Math.max(0, plan.onTargetMs - passedMs),
      maxWaitMs: Math.max(0, plan.maxWaitMs - passedMs),
      signal: waiting.signal,
      reserve: async (missedTarget) => {
        if (isStranded()) endWait();
        return waiting.signal.aborted
          ? undefined
          : reserveEngine(
              context,
              admitted,
              engineSettings,
              tokens,
              failedDecode,
              missedTarget,
              version,
            );
      },
      release,
    }));
  stopWatch();
  signal.removeEventListener('abort', endWait);
  if (result.isErr() && version !== undefined && isStranded())
    return err(describeVersionGone(version));
  const isTooLate = result.isErr() && waiting.signal.aborted && !signal.aborted;
  return isTooLate ? err(describeDraining(context.drainView())) : result;
}
