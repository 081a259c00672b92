/** The plain upstream stand-in without its HTTP server. */
import { sleep } from '@hibiscusbank/core';
import { createColdStart } from '../cold-start.js';
import { createFaultBoard, createGate } from '../control.js';
import type { FaultBoard, Gate } from '../control.js';
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

/** How a request ended. `cut` breaks the connection. */
export type RunOutcome = 'answered' | 'cut' | 'cold_failed' | 'cold_not_run';

export interface RunCall {
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
}

export interface UpstreamCore {
  readonly faults: FaultBoard<UpstreamFaults>;
  readonly gate: Gate;
  /** Records a request when its headers have arrived. */
  record(call: RecordedCall): void;
  /** Runs a request and resolves when its answer is due. */
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

/** Creates an upstream. */
export function createUpstreamCore(
  options: UpstreamOptions,
  setRefusing: (refusing: boolean) => void,
): UpstreamCore {
  const random = createSeededRandom(options.seed, 'service times');
  const cold = createColdStart(options);
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
    onFaults(next);
  };
  const faults = createFaultBoard(NO_UPSTREAM_FAULTS, applyFaults);
  let refusing = false;
  const onFaults = (next: UpstreamFaults): void => {
    if (next.freeze !== gate.isClosed()) gate.setClosed(next.freeze);
    if (next.refuse !== refusing) {
      refusing = next.refuse;
      setRefusing(refusing);
    }
    if (!next.turnCold) return;
    cold.turnCold();
    faults.set({ turnCold: false });
  };

  const takeCut = (name: 'cutBefore' | 'cutAfter'): boolean => {
    const left = faults.read()[name];
    if (left <= 0) return false;
    faults.set({ [name]: left - 1 });
    counters[name] += 1;
    return true;
  };
  const drawServiceMs = (): number => {
    if (options.distribution === 'fixed') return options.serviceMs;
    return -Math.log(1 - random.next()) * options.serviceMs;
  };
  const computeServiceMs = (): number => {
    const crowding = Math.max(1, counters.running / options.capacity);
    return drawServiceMs() * crowding * faults.read().slowFactor;
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
      if (takeCut('cutBefore')) return 'cut';
      const overloaded = cold.isOverloaded(counters.running + 1);
      if (overloaded) counters.coldOverloads += 1;
      if (overloaded && options.coldAnswer === 'not_run') return 'cold_not_run';
      await execute(call);
      if (takeCut('cutAfter')) return 'cut';
      const { lateMs } = faults.read();
      if (lateMs > 0) await sleep(lateMs);
      await gate.whenOpen();
      return overloaded ? 'cold_failed' : 'answered';
    },
    readState: () => ({
      ...counters,
      cold: cold.isCold(),
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
