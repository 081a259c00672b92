/** Behaviour of the plain upstream stand-in, independent of its HTTP server. */
import { sleep } from '@hibiscusbank/core';
import { createColdStart } from '../cold-start.js';
import { createFaultController, createGate } from '../control.js';
import type { FaultController, Gate } from '../control.js';
import { createSeededRandom } from '../seeded-random.js';
import { NO_UPSTREAM_FAULTS } from './types.js';
import type {
  RecordedCall,
  UpstreamCounters,
  UpstreamFaults,
  UpstreamOptions,
  UpstreamRuns,
  UpstreamState,
} from './types.js';

const MAX_CALLS_KEPT = 1_000;

/** How a request ended. For `cut`, the connection is broken without a response. */
export type RunOutcome = 'answered' | 'cut' | 'cold_failed' | 'cold_not_run';

export interface RunCall {
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
}

export interface UpstreamCore {
  readonly faults: FaultController<UpstreamFaults>;
  readonly gate: Gate;
  /** Records a request when its headers have arrived. */
  record(call: RecordedCall): void;
  /** Runs a request and resolves when its response is due. */
  run(call: RunCall): Promise<RunOutcome>;
  readState(): UpstreamState;
  readRuns(): UpstreamRuns;
  readCalls(): readonly RecordedCall[];
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function countRepeated(counts: Map<string, number>): number {
  return [...counts.values()].filter((count) => count > 1).length;
}

/** Creates an upstream. `setRefusing` closes or opens its listener. */
export function createUpstreamCore(
  options: UpstreamOptions,
  setRefusing: (refusing: boolean) => void,
): UpstreamCore {
  const random = createSeededRandom(options.seed, 'service times');
  const coldStart = createColdStart(options);
  const byRequest = new Map<string, number>();
  const byKey = new Map<string, number>();
  const calls: RecordedCall[] = [];
  const counters: UpstreamCounters = {
    requests: 0,
    runs: 0,
    running: 0,
    peakRunning: 0,
    coldOverloads: 0,
    cutBefore: 0,
    cutAfter: 0,
  };
  const gate = createGate();
  const applyFaults = (next: UpstreamFaults): void => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    handleFaultChange(next);
  };
  const faults = createFaultController(NO_UPSTREAM_FAULTS, applyFaults);
  let refusing = false;
  const handleFaultChange = (next: UpstreamFaults): void => {
    if (next.freeze !== gate.isClosed()) gate.setClosed(next.freeze);
    if (next.refuse !== refusing) {
      refusing = next.refuse;
      setRefusing(refusing);
    }
    if (!next.turnCold) return;
    coldStart.begin();
    faults.set({ turnCold: false });
  };

  const consumeCutFault = (name: 'cutBefore' | 'cutAfter'): boolean => {
    const remaining = faults.read()[name];
    if (remaining <= 0) return false;
    faults.set({ [name]: remaining - 1 });
    counters[name] += 1;
    return true;
  };
  const drawServiceMs = (): number => {
    if (options.distribution === 'fixed') return options.serviceMs;
    return -Math.log(1 - random.next()) * options.serviceMs;
  };
  const computeServiceMs = (): number => {
    const overloadFactor = Math.max(1, counters.running / options.capacity);
    return drawServiceMs() * overloadFactor * faults.read().slowFactor;
  };
  const execute = async (call: RunCall): Promise<void> => {
    counters.runs += 1;
    counters.running += 1;
    counters.peakRunning = Math.max(counters.peakRunning, counters.running);
    increment(byRequest, call.requestId);
    if (call.idempotencyKey !== undefined) increment(byKey, call.idempotencyKey);
    await sleep(computeServiceMs());
    counters.running -= 1;
  };

  return {
    faults,
    gate,
    record: (call) => {
      counters.requests += 1;
      calls.push(call);
      if (calls.length > MAX_CALLS_KEPT) calls.shift();
    },
    run: async (call) => {
      if (consumeCutFault('cutBefore')) return 'cut';
      const overloaded = coldStart.isOverloaded(counters.running + 1);
      if (overloaded) counters.coldOverloads += 1;
      if (overloaded && options.coldAnswer === 'not_run') return 'cold_not_run';
      await execute(call);
      if (consumeCutFault('cutAfter')) return 'cut';
      const { lateMs } = faults.read();
      if (lateMs > 0) await sleep(lateMs);
      await gate.whenOpen();
      return overloaded ? 'cold_failed' : 'answered';
    },
    readState: () => ({
      ...counters,
      cold: coldStart.isCold(),
      repeatedRequests: countRepeated(byRequest),
      repeatedKeys: countRepeated(byKey),
    }),
    readRuns: () => ({
      byRequest: Object.fromEntries(byRequest),
      byIdempotencyKey: Object.fromEntries(byKey),
    }),
    readCalls: () => calls,
  };
}
