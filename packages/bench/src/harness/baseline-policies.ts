/** Engine choices of the baselines: without reservation, from a turn or from lagged load reports. */
import type { EngineLoad } from '@hibiscusbank/engines';

export const BASELINES = ['round_robin', 'least_loaded'] as const;
export type Baseline = (typeof BASELINES)[number];

export interface BaselinePolicy {
  pickPrefill(): string;
  pickDecode(): string;
}

export interface PolicyOptions {
  readonly prefill: readonly string[];
  readonly decode: readonly string[];
  /** Start of the turn, so that several relays do not move in step. */
  readonly offset: number;
  /** The last load report of an engine. */
  readonly readLoad: (address: string) => EngineLoad | undefined;
}

function createTurn(addresses: readonly string[], offset: number): () => string {
  let next = offset;
  return () => {
    const address = addresses[next % addresses.length] ?? '';
    next += 1;
    return address;
  };
}

/** Equal loads are taken in turn. */
function createLeast(
  addresses: readonly string[],
  offset: number,
  measure: (address: string) => number,
): () => string {
  const turn = createTurn(addresses, offset);
  return () => {
    let best = turn();
    for (let i = 1; i < addresses.length; i += 1) {
      const other = turn();
      if (measure(other) < measure(best)) best = other;
    }
    turn();
    return best;
  };
}

/** Creates the choice of one relay. */
export function createBaselinePolicy(name: Baseline, options: PolicyOptions): BaselinePolicy {
  const { prefill, decode, offset, readLoad } = options;
  if (name === 'round_robin') {
    return { pickPrefill: createTurn(prefill, offset), pickDecode: createTurn(decode, offset) };
  }
  return {
    pickPrefill: createLeast(prefill, offset, (at) => readLoad(at)?.prefillQueueMs ?? 0),
    pickDecode: createLeast(decode, offset, (at) => readLoad(at)?.slotsUsed ?? 0),
  };
}
