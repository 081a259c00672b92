/** Engine selection of the baselines: round robin or polled load reports, without reservations. */
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
  /** Index of the first engine, so that several relays do not choose the same engine at once. */
  readonly offset: number;
  /** Returns the last load report of an engine. */
  readonly readLoad: (address: string) => EngineLoad | undefined;
}

function createRoundRobin(addresses: readonly string[], offset: number): () => string {
  let nextIndex = offset;
  return () => {
    const address = addresses[nextIndex % addresses.length] ?? '';
    nextIndex += 1;
    return address;
  };
}

/** Picks the engine with the lowest load; engines with equal loads alternate. */
function createLeastLoaded(
  addresses: readonly string[],
  offset: number,
  loadOf: (address: string) => number,
): () => string {
  const nextAddress = createRoundRobin(addresses, offset);
  return () => {
    let leastLoaded = nextAddress();
    for (let i = 1; i < addresses.length; i += 1) {
      const candidate = nextAddress();
      if (loadOf(candidate) < loadOf(leastLoaded)) leastLoaded = candidate;
    }
    nextAddress();
    return leastLoaded;
  };
}

/** Creates the selection policy of one relay. */
export function createBaselinePolicy(name: Baseline, options: PolicyOptions): BaselinePolicy {
  const { prefill, decode, offset, readLoad } = options;
  if (name === 'round_robin') {
    return {
      pickPrefill: createRoundRobin(prefill, offset),
      pickDecode: createRoundRobin(decode, offset),
    };
  }
  return {
    pickPrefill: createLeastLoaded(
      prefill,
      offset,
      (address) => readLoad(address)?.prefillQueueMs ?? 0,
    ),
    pickDecode: createLeastLoaded(decode, offset, (address) => readLoad(address)?.slotsUsed ?? 0),
  };
}
