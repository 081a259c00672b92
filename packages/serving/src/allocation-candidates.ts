/** Lists the upstreams of a cell for its allocator, with their capacity. */
import { createPlacementContext } from './context.js';
import type { ServingContext } from './context.js';
import type { AllocationCandidate, CellKey } from './allocation/index.js';

/** Requests that a failure rate of 1, and being cold, count as. */
const FAILURE_PENALTY_REQUESTS = 12;
const COLD_PENALTY_REQUESTS = 4;
/** Requests that a plain upstream gets beyond its slots, so that it is not idle for a round trip. */
const PLAIN_QUEUED_REQUESTS = 1;
/**
 * Prompt tokens that count as the capacity of a prefill engine, of which the preference for the data
 * centre of the decode engine is a part: about the tokens that a transfer within it saves.
 */
const PREFILL_QUEUE_TOKENS = 20_000;
/** Slots of a plain upstream that states none. */
const DEFAULT_SLOTS = 6;

/** Returns the upstreams that may get requests now; those that fail only if all of them do. */
export function listAllocationCandidates(
  context: ServingContext,
  cell: CellKey,
): readonly AllocationCandidate[] {
  const { directory } = context;
  const isPrefill = cell.kind === 'prefill';
  const loads = isPrefill ? context.prefillLoads : context.loads;
  const pool = directory.findPool(cell.pool);
  if (pool === undefined) return [];
  const placement = createPlacementContext(context, pool, loads, new Set(), Infinity);
  const healthy: AllocationCandidate[] = [];
  const ejected: AllocationCandidate[] = [];
  for (const upstream of context.rollouts.select(directory.usable(pool.id))) {
    if (cell.dataCentre !== undefined && upstream.dataCentre !== cell.dataCentre) continue;
    if (pool.engine !== undefined && upstream.role !== (isPrefill ? 'prefill' : 'decode')) continue;
    const state = placement.readState(upstream);
    if (state.isChanging) continue;
    const slots = pool.engine?.slots ?? upstream.slots ?? DEFAULT_SLOTS;
    const penaltyRequests =
      state.failureRate * FAILURE_PENALTY_REQUESTS + (state.isCold ? COLD_PENALTY_REQUESTS : 0);
    const candidate: AllocationCandidate = {
      id: upstream.id,
      dataCentre: upstream.dataCentre,
      capacity: {
        requests: pool.engine === undefined ? slots + PLAIN_QUEUED_REQUESTS : slots,
        tokens: isPrefill ? PREFILL_QUEUE_TOKENS : (pool.engine?.memoryTokens ?? 0),
      },
      isQueueing: isPrefill,
      penalty: penaltyRequests / slots,
      reported: { requests: state.requests, tokens: state.tokens },
    };
    (state.isEjected ? ejected : healthy).push(candidate);
  }
  return healthy.length > 0 ? healthy : ejected;
}
