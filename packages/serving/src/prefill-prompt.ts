/** Prefills prompts on prefill engines. */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import { createChoiceContext, organisationOf, remainingMs } from './context.js';
import type { AdmittedServing, EngineReservation, ServingContext } from './context.js';
import { rankPrefill } from './placement.js';
import { isSilent } from './failures.js';
import { startTimeLimit } from './time-limit.js';
import type { KvHandle } from './types.js';

/** Prefill engines tried before the decode engine prefills the prompt itself. */
const MAX_PREFILLS = 2;
/** Time-out of a prefill call. The reservation on the decode engine expires soon after. */
const PREFILL_TIMEOUT_MS = 1_500;

export type PrefillEnd =
  | { readonly kind: 'read'; readonly handle: KvHandle }
  /** No prefill engine could prefill the prompt; the decode engine can do so itself. */
  | { readonly kind: 'unread' }
  /** The retry budget is used up. */
  | { readonly kind: 'spent' };

/**
 * Prefills the prompt of a request on a prefill engine. The first call that an engine accepts does
 * not use the retry budget. A failed call counts as a retry, whether another prefill or the run
 * itself follows. So does prefilling a prompt again (`isRetry`).
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
