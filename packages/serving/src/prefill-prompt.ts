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

export type PrefillEnd =
  | { readonly kind: 'read'; readonly handle: KvHandle }
  /** No prefill engine could read the prompt; the decode engine may. */
  | { readonly kind: 'unread' }
  /** The budget of repeats allows nothing more for this request. */
  | { readonly kind: 'spent' };

/**
 * Has the prompt read. The first call that an engine accepts is no repeat. A call that failed is one,
 * whether another prefill or the run itself follows; so is one that reads the prompt again
 * (`isAgain`).
 */
export async function prefillPrompt(
  context: ServingContext,
  admitted: AdmittedServing,
  reservation: EngineReservation,
  failed: Set<UpstreamId>,
  isAgain: boolean,
): Promise<PrefillEnd> {
  const { directory, transport, prefillLoads, health, budget, cold, telemetry } = context;
  const { pool, req, body, route, signal } = admitted;
  const promptTokens = req.usage?.promptTokens ?? 0;
  if (isAgain && !budget.take(pool.id)) return { kind: 'spent' };
  for (let tried = 0; tried < MAX_PREFILLS && !signal.aborted; tried += 1) {
    const choice = createChoiceContext(context, pool, prefillLoads, failed);
    const ranked = rankPrefill(directory.usable(pool.id), choice, reservation.upstream.dataCentre);
    const [upstream] = ranked;
    if (upstream === undefined) return { kind: 'unread' };
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
      return { kind: 'read', handle: result.value };
    }
    if (signal.aborted) return { kind: 'unread' };
    health.recordFailure(upstream, isSilent(result.error) ? 'silent' : 'answered');
    failed.add(upstream.id);
    telemetry.log('prefillFailed', {
      request: req.id,
      upstream: upstream.id,
      reason: result.error.reason,
      ms: Math.round(monotonicMs() - startedAt),
    });
    if (result.error.wasSent && !budget.take(pool.id)) return { kind: 'spent' };
  }
  return { kind: 'unread' };
}
