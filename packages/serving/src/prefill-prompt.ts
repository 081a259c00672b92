/** Prefills prompts on prefill engines. */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId, UpstreamId } from '@hibiscusbank/core';
import {
  computePriority,
  createPermitAsk,
  createPlacementContext,
  organisationOf,
  remainingMs,
} from './context.js';
import type { AdmittedRequest, EngineReservation, ServingContext } from './context.js';
import type { KnownUpstream } from './directory.js';
import { rankPrefill } from './placement.js';
import { gotNoResponse } from './failures.js';
import { startTimeLimit } from './time-limit.js';
import type { KvHandle } from './types.js';

/** Prefill engines tried before the decode engine prefills the prompt itself. */
const MAX_PREFILL_ATTEMPTS = 2;
/** Time-out of a prefill call. The reservation on the decode engine expires soon after. */
const PREFILL_TIMEOUT_MS = 1_500;

/**
 * Fraction of a route's target that a prompt may wait for prefill engines. With a longer wait the
 * first event would miss the target, so the decode engine prefills the prompt itself. Designed for
 * bursts, and for pools that have just lost a prefill engine.
 */
const MAX_WAIT_TARGET_SHARE = 0.5;
/**
 * The same for streams that callers resume. After an outage they resume all at once; prefill engines
 * alone would need seconds for them, and decode engines alone would pause all their streams meanwhile.
 */
const MAX_RESUMED_WAIT_TARGET_SHARE = 0.3;

export type PrefillOutcome =
  | { readonly kind: 'prefilled'; readonly handle: KvHandle }
  /** No prefill engine could prefill the prompt; the decode engine can do so itself. */
  | { readonly kind: 'not_prefilled' }
  /** The retry budget is used up. */
  | { readonly kind: 'budget_exhausted' }
  /** Engines ended under the request, which must not be sent to further ones. */
  | { readonly kind: 'engines_ended' };

/** Returns the engines whose KV cache the reserved engine can use: those of its software version. */
function listPrefillCandidates(
  { directory, rollouts }: ServingContext,
  pool: PoolId,
  { upstream }: EngineReservation,
): readonly KnownUpstream[] {
  const usable = directory.usable(pool);
  if (!rollouts.isRunning(pool)) return usable;
  return usable.filter(({ version }) => version === upstream.version);
}

interface PrefillChoice {
  readonly upstream: KnownUpstream;
  /** Prompt tokens that are prefilled before. */
  readonly aheadTokens: number;
  /** Records the time of the prefill. */
  readonly observe: (ms: number) => void;
  /** Called when the prompt has been prefilled or is not sent. */
  readonly endHold: () => void;
}

/** Chooses a prefill engine by what its allocator knows, or by the reports of the other nodes. */
async function choosePrefill(
  context: ServingContext,
  admitted: AdmittedRequest,
  reservation: EngineReservation,
  excluded: ReadonlySet<UpstreamId>,
): Promise<PrefillChoice | undefined> {
  const { allocation, prefillLoads } = context;
  const { pool, req, signal } = admitted;
  const candidates = listPrefillCandidates(context, pool.id, reservation);
  const { dataCentre } = reservation.upstream;
  const promptTokens = req.usage?.promptTokens ?? 0;
  if (allocation.isActive(pool.id)) {
    const result = await allocation.acquire(pool.id, 'prefill', {
      tokens: promptTokens,
      organisation: organisationOf(admitted) ?? '',
      priority: computePriority(admitted),
      onTargetMs: 0,
      maxWaitMs: 0,
      dataCentre,
      excluded: [...excluded],
      refusedBy: undefined,
      signal,
    });
    if (result.kind === 'granted') {
      const { held } = result;
      const upstream = candidates.find(({ id }) => id === held.upstream);
      if (upstream !== undefined)
        return {
          upstream,
          aheadTokens: held.aheadTokens,
          observe: (ms) => held.observe('prefill', ms, held.aheadTokens + promptTokens),
          endHold: held.release,
        };
      held.release();
    }
  }
  const placement = createPlacementContext(context, pool, prefillLoads, excluded);
  const [upstream] = rankPrefill(candidates, placement, dataCentre);
  if (upstream === undefined) return undefined;
  return {
    upstream,
    aheadTokens: prefillLoads.tokens(upstream.id),
    observe: () => {},
    endHold: () => {},
  };
}

/**
 * Prefills the prompt of a request on a prefill engine. The first call that an engine accepts does
 * not use the retry budget. A failed call counts as a retry, whether another prefill or the run
 * itself follows. So does prefilling a prompt again (`isRetry`).
 */
export async function prefillPrompt(
  context: ServingContext,
  admitted: AdmittedRequest,
  reservation: EngineReservation,
  failed: Set<UpstreamId>,
  use: { readonly isRetry: boolean; readonly isResumed: boolean },
): Promise<PrefillOutcome> {
  const { transport, prefillLoads, health, retryBudget, coldLimit, telemetry } = context;
  const excluded = new Set(failed);
  const { pool, req, body, route, signal } = admitted;
  const promptTokens = req.usage?.promptTokens ?? 0;
  if (use.isRetry && !retryBudget.take(pool.id)) return { kind: 'budget_exhausted' };
  const maxWaitShare = use.isResumed ? MAX_RESUMED_WAIT_TARGET_SHARE : MAX_WAIT_TARGET_SHARE;
  const maxWaitMs = route.targetMs * maxWaitShare;
  let attempts = 0;
  while (attempts < MAX_PREFILL_ATTEMPTS && !signal.aborted) {
    const choice = await choosePrefill(context, admitted, reservation, excluded);
    if (choice === undefined) return { kind: 'not_prefilled' };
    const { upstream, aheadTokens, observe, endHold } = choice;
    if (context.prefillRate.waitMs(pool.id, aheadTokens) > maxWaitMs) {
      endHold();
      return { kind: 'not_prefilled' };
    }
    excluded.add(upstream.id);
    const coldPermit = coldLimit.take(upstream, pool.coldRequestsPerSecond);
    if (coldPermit === undefined) {
      endHold();
      continue;
    }
    const permit = await context.permits.acquire(upstream, createPermitAsk(admitted));
    if (!permit.isGranted) {
      coldPermit.release();
      endHold();
      continue;
    }
    attempts += 1;
    const release = prefillLoads.begin(upstream.id, promptTokens);
    const limit = startTimeLimit(signal, PREFILL_TIMEOUT_MS);
    const startedAt = monotonicMs();
    coldPermit.recordSend();
    health.recordSend(upstream);
    context.unavailable.recordSend(upstream);
    const finishRun = context.crashProtection.beginRun(upstream, req.id, admitted.suspects);
    const versionRun = context.rollouts.beginRun(upstream, route.id, 'prefill');
    const result = await transport.prefill({
      upstream,
      req,
      body,
      organisation: organisationOf(admitted),
      remainingMs: remainingMs(admitted),
      prefillOnly: true,
      priority: admitted.organisation?.priority ?? route.priority,
      signal: limit.signal,
    });
    const isBroken = result.isErr() && result.error.reason === 'broken' && !limit.signal.aborted;
    finishRun(isBroken ? 'broken' : 'other');
    if (result.isOk()) versionRun.end('answered');
    else versionRun.end(isBroken ? 'failed' : 'none');
    limit.stop();
    release();
    if (result.isOk()) observe(monotonicMs() - startedAt);
    endHold();
    if (result.isOk()) {
      health.recordSuccess(upstream);
      context.prefillWork.record(pool.id, monotonicMs() - startedAt);
      context.prefillRate.record(pool.id, promptTokens, monotonicMs() - startedAt);
      telemetry.log('promptRead', {
        request: req.id,
        upstream: upstream.id,
        promptTokens,
        ms: Math.round(monotonicMs() - startedAt),
      });
      return { kind: 'prefilled', handle: result.value };
    }
    if (signal.aborted) return { kind: 'not_prefilled' };
    if (result.error.reason !== 'paused')
      health.recordFailure(upstream, gotNoResponse(result.error) ? 'no_response' : 'answered');
    failed.add(upstream.id);
    if (result.error.reason === 'moved') context.moved.record(upstream);
    telemetry.log('prefillFailed', {
      request: req.id,
      upstream: upstream.id,
      reason: result.error.reason,
      ms: Math.round(monotonicMs() - startedAt),
    });
    if (isBroken && !(await context.crashProtection.mayRepeat(upstream, admitted.suspects)))
      return { kind: 'engines_ended' };
    if (result.error.wasSent && !retryBudget.take(pool.id)) return { kind: 'budget_exhausted' };
  }
  return { kind: 'not_prefilled' };
}
