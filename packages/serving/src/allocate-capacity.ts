/** Obtains capacity for requests from the nodes that allocate it for the whole fleet. */
import { createError, monotonicMs } from '@hibiscusbank/core';
import type { RouterError, UpstreamId } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HeldCapacity, Refusal } from './allocation/index.js';
import {
  computePriority,
  createPlacementContext,
  mayStillServe,
  organisationOf,
} from './context.js';
import type { AdmittedRequest, EngineReservation, ServingContext } from './context.js';
import type { KnownUpstream } from './directory.js';
import { reserveOn } from './reserve-engine.js';
import type { EngineSettings } from './types.js';

/** Grants that a request may find refused by their upstreams. */
const MAX_GRANTS = 8;
/** Retry delay of a refusal that names no wait. */
const DEFAULT_RETRY_MS = 1_000;

export interface CapacityWait {
  /** Time for which the request can wait and still be on target. */
  readonly onTargetMs: number;
  readonly maxWaitMs: number;
}

export type CapacityResult =
  | { readonly kind: 'granted'; readonly held: HeldCapacity; readonly upstream: KnownUpstream }
  | { readonly kind: 'refused'; readonly retryAfterMs: number }
  /** No node allocates the pool at the moment. */
  | { readonly kind: 'unanswered' };

/** Returns the upstreams that this node avoids, unless it avoids all of them. */
function listEjected(
  context: ServingContext,
  { pool }: AdmittedRequest,
  excluded: ReadonlySet<UpstreamId>,
): readonly UpstreamId[] {
  const usable = context.directory.usable(pool.id).filter(({ role }) => role !== 'prefill');
  const { readState } = createPlacementContext(context, pool, context.loads, excluded);
  const ejected = usable.filter((upstream) => readState(upstream).isEjected);
  return ejected.length < usable.length ? ejected.map(({ id }) => id) : [];
}

/** Obtains a place on an upstream that is not in `excluded`. */
export async function allocateCapacity(
  context: ServingContext,
  admitted: AdmittedRequest,
  tokens: number,
  wait: CapacityWait,
  excluded: ReadonlySet<UpstreamId>,
  signal: AbortSignal,
  refusedBy?: Refusal,
): Promise<CapacityResult> {
  const { pool, req } = admitted;
  const startedAt = monotonicMs();
  const tried = new Set([...excluded, ...listEjected(context, admitted, excluded)]);
  for (let grants = 0; grants < MAX_GRANTS; grants += 1) {
    const passedMs = monotonicMs() - startedAt;
    const result = await context.allocation.acquire(pool.id, 'run', {
      tokens,
      organisation: organisationOf(admitted) ?? '',
      priority: computePriority(admitted),
      onTargetMs: Math.max(0, wait.onTargetMs - passedMs),
      maxWaitMs: Math.max(0, wait.maxWaitMs - passedMs),
      dataCentre: context.dataCentre,
      excluded: [...tried],
      refusedBy,
      signal,
    });
    if (result.kind === 'unanswered') return result;
    if (result.kind === 'refused') {
      const retryAfterMs = result.waitMs > 0 ? result.waitMs : DEFAULT_RETRY_MS;
      context.telemetry.log('allocationRefused', {
        request: req.id,
        waitedMs: Math.round(monotonicMs() - startedAt),
        retryAfterMs: Math.round(retryAfterMs),
      });
      return { kind: 'refused', retryAfterMs };
    }
    const { held } = result;
    const upstream = context.directory.usable(pool.id).find(({ id }) => id === held.upstream);
    if (upstream !== undefined && mayStillServe(context, upstream))
      return { kind: 'granted', held, upstream };
    held.release();
    tried.add(held.upstream);
  }
  return { kind: 'unanswered' };
}

/**
 * Obtains a reservation on a decode engine. Resolves to `undefined` while no node allocates the pool.
 * Errors: `no_capacity` (not run), `cancelled`.
 */
export async function allocateEngine(
  context: ServingContext,
  admitted: AdmittedRequest,
  engineSettings: EngineSettings,
  tokens: number,
  wait: CapacityWait,
  excluded: ReadonlySet<UpstreamId>,
  signal: AbortSignal,
): Promise<Result<EngineReservation, RouterError> | undefined> {
  const startedAt = monotonicMs();
  const notRun = { effect: 'not_run' } as const;
  let refusedBy: Refusal | undefined;
  for (let attempts = 0; attempts < MAX_GRANTS; attempts += 1) {
    const passedMs = monotonicMs() - startedAt;
    const left: CapacityWait = {
      onTargetMs: Math.max(0, wait.onTargetMs - passedMs),
      maxWaitMs: Math.max(0, wait.maxWaitMs - passedMs),
    };
    const result = await allocateCapacity(
      context,
      admitted,
      tokens,
      left,
      excluded,
      signal,
      refusedBy,
    );
    if (signal.aborted) {
      if (result.kind === 'granted') result.held.release();
      return err(createError('cancelled', 'the request ended', notRun));
    }
    if (result.kind === 'unanswered') return undefined;
    if (result.kind === 'refused') {
      const { retryAfterMs } = result;
      return err(
        createError('no_capacity', 'no engine has memory for the request; retry later', {
          ...notRun,
          retryAfterMs,
        }),
      );
    }
    const { held, upstream } = result;
    const reserved = await reserveOn(context, admitted, engineSettings, upstream, tokens);
    if (reserved.isOk()) {
      const reservation = reserved.value;
      const release = (): void => {
        held.release();
        reservation.release();
      };
      const observePause = (ms: number): void => held.observe('decode', ms, 1);
      return ok({ ...reservation, release, observePause });
    }
    held.release();
    refusedBy = { upstream: upstream.id, isAlive: reserved.error !== 'silent' };
  }
  return undefined;
}
