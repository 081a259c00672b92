/** Reserves memory and a slot on a decode engine, asking the least loaded engines first. */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId, UpstreamId } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { createPermitAsk, createPlacementContext, listCandidates } from './context.js';
import type { AdmittedRequest, EngineReservation, ServingContext } from './context.js';
import type { KnownUpstream } from './directory.js';
import { rankDecode } from './placement.js';
import type { UpstreamVersion } from './rollouts/index.js';
import { startTimeLimit } from './time-limit.js';
import type { EngineSettings, ModelUsage } from './types.js';

/** Engines asked before the request goes back to waiting; each refusal costs a round trip. */
const MAX_ENGINES_ASKED = 3;
/**
 * Time-out of a reservation call. Engines answer it from memory, so one that takes longer is
 * unhealthy.
 */
const RESERVE_TIMEOUT_MS = 250;
/**
 * Fraction of the expected output that is reserved. Runs are in different phases, so on average
 * half of their output occupies memory at a time.
 */
const RESERVED_OUTPUT_SHARE = 0.6;
/**
 * Fraction of an engine's memory that requests past their target leave free for requests that can
 * be on target.
 */
const PAST_TARGET_FREE_SHARE = 0.2;

const MS_PER_S = 1_000;
/** Rate that is assumed at least, so that engines with a limit of 0 give a finite wait. */
const MIN_RATE_PER_S = 0.01;

/**
 * Returns the tokens to reserve: the prompt and the part of the output that occupies memory on
 * average.
 */
export function reservationTokens(usage: ModelUsage): number {
  const { promptTokens, maxOutputTokens, expectedOutputTokens } = usage;
  return (
    promptTokens +
    Math.ceil(
      RESERVED_OUTPUT_SHARE * Math.min(maxOutputTokens, expectedOutputTokens ?? maxOutputTokens),
    )
  );
}

/** Returns the wait that limits and pauses of the decode engines impose behind the waiting requests. */
export function estimateLimitedWaitMs(
  { directory, permits, rollouts, unavailable }: ServingContext,
  pool: PoolId,
  waiting: number,
): number {
  const engines = rollouts.select(directory.usable(pool)).filter(({ role }) => role === 'decode');
  const perSecond = engines.length === 0 ? undefined : permits.expectedRate(engines);
  // With no requests ahead the wait is 0, since other nodes may leave permits unused.
  const limitedMs =
    perSecond === undefined ? 0 : (waiting / Math.max(MIN_RATE_PER_S, perSecond)) * MS_PER_S;
  return Math.max(limitedMs, unavailable.returnMs(engines));
}

/** Why an engine was not reserved: it or a limit refused, or it did not answer. */
type ReservationFailure = 'refused' | 'silent';

/** Reserves capacity on one engine. */
export async function reserveOn(
  context: ServingContext,
  admitted: AdmittedRequest,
  { reservationTtlMs }: EngineSettings,
  upstream: KnownUpstream,
  tokens: number,
): Promise<Result<EngineReservation, ReservationFailure>> {
  const { transport, loads, health, telemetry } = context;
  const { pool, req, signal } = admitted;
  const coldPermit = context.coldLimit.take(upstream, pool.coldRequestsPerSecond);
  if (coldPermit === undefined) return err('refused');
  const endLoad = loads.begin(upstream.id, tokens);
  const release = (): void => {
    endLoad();
    coldPermit.release();
  };
  const limit = startTimeLimit(signal, RESERVE_TIMEOUT_MS);
  const result = await transport.reserve(upstream, tokens, reservationTtlMs, limit.signal);
  const expired = limit.isExpired();
  limit.stop();
  if (result.isOk()) {
    const permit = await context.permits.acquire(upstream, createPermitAsk(admitted));
    if (!permit.isGranted) {
      release();
      transport.dropReservation(upstream, result.value);
      return err('refused');
    }
    telemetry.log('reservationGranted', {
      request: req.id,
      upstream: upstream.id,
      tokens,
      knownTokens: loads.tokens(upstream.id),
      waitedMs: Math.round(monotonicMs() - admitted.startedAt),
    });
    return ok({ upstream, id: result.value, tokens, coldPermit, release });
  }
  release();
  const { reason } = result.error;
  if (expired || reason === 'unreachable' || reason === 'broken') {
    health.recordFailure(upstream, reason === 'broken' ? 'answered' : 'no_response');
  }
  telemetry.log('reservationRefused', {
    request: req.id,
    upstream: upstream.id,
    tokens,
    reason: expired ? 'timeout' : reason,
    knownTokens: loads.tokens(upstream.id),
  });
  return err(expired || reason === 'unreachable' ? 'silent' : 'refused');
}

/**
 * Reserves capacity on an engine, on one of `version` if the stream is bound to it. Resolves to `undefined`
 * when no engine that was asked has free capacity.
 */
export async function reserveEngine(
  context: ServingContext,
  admitted: AdmittedRequest,
  engineSettings: EngineSettings,
  tokens: number,
  excluded: ReadonlySet<UpstreamId>,
  missedTarget: boolean,
  version?: UpstreamVersion,
): Promise<EngineReservation | undefined> {
  const { loads } = context;
  const { pool, signal } = admitted;
  const placement = createPlacementContext(context, pool, loads, excluded);
  const rank = (failed: ReadonlySet<UpstreamId>): readonly KnownUpstream[] =>
    rankDecode(listCandidates(context, admitted, failed, version), placement, {
      tokens: missedTarget ? tokens + engineSettings.memoryTokens * PAST_TARGET_FREE_SHARE : tokens,
      memoryTokens: engineSettings.memoryTokens,
      slots: engineSettings.slots,
    });
  const ranked = rank(excluded);
  const asked = ranked.slice(0, MAX_ENGINES_ASKED);
  if (context.rollouts.isRunning(pool.id)) {
    // A request that the few engines of a new version cannot take is served as if it had failed there.
    const [first] = ranked;
    const others = rank(new Set([...excluded, ...ranked.map(({ id }) => id)]));
    const otherVersion = others.filter((other) => other.version !== first?.version);
    asked.splice(otherVersion.length > 0 ? 1 : asked.length, Infinity, ...otherVersion);
  }
  for (const upstream of asked.slice(0, MAX_ENGINES_ASKED)) {
    if (signal.aborted) return undefined;
    const reserved = await reserveOn(context, admitted, engineSettings, upstream, tokens);
    if (reserved.isOk()) return reserved.value;
  }
  return undefined;
}
