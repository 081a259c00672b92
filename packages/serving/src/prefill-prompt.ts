/** Has the prompt read by a prefill engine. */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import { createChoiceContext, organisationOf, remainingMs } from './context.js';
import type { AdmittedServing, EngineReservation, ServingContext } from './context.js';
import { rankPrefill } from './placement.js';
import { isSilent } from './failures.js';
import { startTimeLimit } from './time-limit.js';
import type { KvHandle } from './types.js';

/** Prefill engines tried before the decode engine reads the prompt itself. */
const MAX_PREFILLS = 2;
/** A prefill that takes longer is given up; the reservation lapses soon after. */
const PREFILL_TIMEOUT_MS = 1_500;

/**
 * Resolves to the handle of the KV cache, or `undefined` when no prefill engine could read the
 * prompt. A first call that an engine accepts is no repeat; every further call is.
 */
export async function prefillPrompt(
  context: ServingContext,
  admitted: AdmittedServing,
  reservation: EngineReservation,
  failed: Set<UpstreamId>,
): Promise<KvHandle | undefined> {
  const { directory, transport, prefillLoads, health, budget, cold, telemetry } = context;
  const { pool, req, body, route, signal } = admitted;
  const promptTokens = req.usage?.promptTokens ?? 0;
  for (let tried = 0; tried < MAX_PREFILLS && !signal.aborted; tried += 1) {
    const choice = createChoiceContext(context, pool, prefillLoads, failed);
    const ranked = rankPrefill(directory.usable(pool.id), choice, reservation.upstream.dataCentre);
    const [upstream] = ranked;
    if (upstream === undefined) return undefined;
    if (tried > 0 && !budget.take(pool.id)) return undefined;
    const release = prefillLoads.begin(upstream.id, promptTokens);
    const limit = startTimeLimit(signal, PREFILL_TIMEOUT_MS);
    const startedAt = monotonicMs();
    cold.record(upstream.id);
    const result = await transport.prefill({
      upstream,
      req,
      body,
      organisation: organisationOf(admitted),
      remainingMs: remainingMs(admitted),
      prefillOnly: true,
      priority: admitted.organisation?.rank ?? route.rank,
      signal: limit.signal,
    });
    limit.stop();
    release();
    if (result.isOk()) {
      health.recordSuccess(upstream);
      context.prefillWork.record(pool.id, monotonicMs() - startedAt);
      telemetry.log('promptRead', {
        request: req.id,
        upstream: upstream.id,
        promptTokens,
        ms: Math.round(monotonicMs() - startedAt),
      });
      return result.value;
    }
    if (signal.aborted) return undefined;
    health.recordFailure(upstream, isSilent(result.error) ? 'silent' : 'answered');
    failed.add(upstream.id);
    telemetry.log('prefillFailed', {
      request: req.id,
      upstream: upstream.id,
      reason: result.error.reason,
      ms: Math.round(monotonicMs() - startedAt),
    });
  }
  return undefined;
}
