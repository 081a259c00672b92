/**
 * Chooses the plain upstream for a request, and waits for its permit where upstreams limit their
 * requests. A request takes the best upstream that it may be sent to now; while all of them are
 * limited, it waits for the earliest permit, or is refused at once if that comes too late.
 */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import { allocateCapacity } from './allocate-capacity.js';
import type { Refusal } from './allocation/index.js';
import type { ColdPermit } from './cold-limit.js';
import {
  createPermitAsk,
  createPlacementContext,
  listCandidates,
  mayStillServe,
  remainingMs,
} from './context.js';
import type { AdmittedRequest, ServingContext } from './context.js';
import type { KnownUpstream } from './directory.js';
import type { PermitAsk } from './permit-grants.js';
import { rankPlain } from './placement.js';

/** Fraction of the target that a response takes; the rest can be spent waiting for a permit. */
const RESPONSE_TARGET_SHARE = 0.4;

export type PlainChoice =
  | {
      readonly kind: 'chosen';
      readonly upstream: KnownUpstream;
      readonly alternative: KnownUpstream | undefined;
      /** To be used for the send, or released. */
      readonly coldPermit: ColdPermit;
      /** Records the time of the response. */
      readonly observe: (ms: number) => void;
      /** Called when the request has ended or is not sent. */
      readonly release: () => void;
    }
  /** No upstream can take the request. */
  | { readonly kind: 'none' }
  /** All upstreams limit their requests or pause; the next place is free after `retryAfterMs`. */
  | { readonly kind: 'limited'; readonly retryAfterMs: number };

/** Chooses an upstream that is not in `excluded`. */
export async function choosePlain(
  context: ServingContext,
  admitted: AdmittedRequest,
  excluded: ReadonlySet<UpstreamId>,
  refusedBy?: Refusal,
): Promise<PlainChoice> {
  const { coldLimit, loads, permits, telemetry } = context;
  const { pool, route, req, signal } = admitted;
  const responseMs = route.targetMs * RESPONSE_TARGET_SHARE;
  const passedMs = monotonicMs() - admitted.startedAt;
  const ask: PermitAsk = {
    ...createPermitAsk(admitted),
    onTargetMs: Math.max(0, route.targetMs - responseMs - passedMs),
    maxWaitMs: Math.max(0, remainingMs(admitted) - responseMs),
  };
  /** Waits that the upstreams' granters stated, by upstream. */
  const statedWaits = new Map<UpstreamId, number>();
  const rank = (without: ReadonlySet<UpstreamId>, maxWaitMs: number): readonly KnownUpstream[] =>
    rankPlain(
      listCandidates(context, admitted, excluded),
      createPlacementContext(context, pool, loads, without, maxWaitMs),
    );

  /** Obtains a place from the node that allocates the pool; `undefined` if that is not possible. */
  const allocate = async (): Promise<PlainChoice | undefined> => {
    const result = await allocateCapacity(context, admitted, 0, ask, excluded, signal, refusedBy);
    if (result.kind === 'unanswered') return undefined;
    if (result.kind === 'refused')
      return signal.aborted
        ? { kind: 'none' }
        : { kind: 'limited', retryAfterMs: result.retryAfterMs };
    const { held, upstream } = result;
    const { release } = held;
    const coldPermit = coldLimit.take(upstream, pool.coldRequestsPerSecond);
    const permit = await permits.acquire(upstream, createPermitAsk(admitted));
    if (signal.aborted || coldPermit === undefined || !permit.isGranted) {
      coldPermit?.release();
      release();
      return signal.aborted ? { kind: 'none' } : undefined;
    }
    const [alternative] = rank(new Set([...excluded, upstream.id]), 0);
    const observe = (ms: number): void => held.observe(route.id, ms, 1);
    return { kind: 'chosen', upstream, alternative, coldPermit, observe, release };
  };

  if (context.allocation.isActive(pool.id)) {
    const allocated = await allocate();
    if (allocated !== undefined) return allocated;
  }
  while (!signal.aborted) {
    const [upstream, alternative] = rank(new Set([...excluded, ...statedWaits.keys()]), 0);
    const coldPermit = upstream && coldLimit.take(upstream, pool.coldRequestsPerSecond);
    if (upstream === undefined || coldPermit === undefined) break;
    const { isGranted, waitMs } = await permits.acquire(upstream, createPermitAsk(admitted));
    if (isGranted)
      return {
        kind: 'chosen',
        upstream,
        alternative,
        coldPermit,
        observe: () => {},
        release: () => {},
      };
    coldPermit.release();
    statedWaits.set(upstream.id, waitMs);
  }
  const waits = rank(excluded, Infinity).map((upstream) => ({
    upstream,
    waitMs: statedWaits.get(upstream.id) ?? permits.nextPermitMs(upstream),
  }));
  waits.sort((a, b) => a.waitMs - b.waitMs);
  const [earliest] = waits;
  if (signal.aborted) return { kind: 'none' };
  if (earliest === undefined) {
    const left = listCandidates(context, admitted, excluded).filter(({ id }) => !excluded.has(id));
    const retryAfterMs = context.unavailable.returnMs(left);
    if (retryAfterMs === 0) return { kind: 'none' };
    telemetry.log('permitRefused', { request: req.id, reason: 'paused', retryAfterMs });
    return { kind: 'limited', retryAfterMs };
  }
  const { upstream } = earliest;
  const last = await permits.acquire(upstream, ask);
  if (last.isGranted) {
    await sleep(last.waitMs, signal);
    if (signal.aborted || !mayStillServe(context, upstream)) return { kind: 'none' };
    const coldPermit = coldLimit.take(upstream, pool.coldRequestsPerSecond);
    if (coldPermit === undefined) return { kind: 'none' };
    return {
      kind: 'chosen',
      upstream,
      alternative: undefined,
      coldPermit,
      observe: () => {},
      release: () => {},
    };
  }
  telemetry.log('permitRefused', {
    request: req.id,
    upstream: upstream.id,
    reason: 'limited',
    retryAfterMs: last.waitMs,
  });
  return { kind: 'limited', retryAfterMs: last.waitMs };
}
