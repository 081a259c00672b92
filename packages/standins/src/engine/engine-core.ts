/** Behaviour of the engine stand-in, independent of its HTTP server. */
import { createColdStart } from '../cold-start.js';
import { createFaultController, createGate } from '../control.js';
import type { FaultController, Gate } from '../control.js';
import { createLaggedValue } from '../lagged-value.js';
import { createAdmission, refuseNotRun } from './admission.js';
import { createBatch } from './batch.js';
import { createDecodes } from './decodes.js';
import type { DecodeCall, KvClient } from './decodes.js';
import { createKvExports } from './kv-exports.js';
import type { KvExports } from './kv-exports.js';
import { createLink } from './link.js';
import { createMemory } from './memory.js';
import { createOrders } from './orders.js';
import type { Orders, ReserveWeights } from './orders.js';
import { createPrefillQueue, matchAttempt } from './prefill-queue.js';
import { createPrefixCache } from './prefix-cache.js';
import type { PrefixCache } from './prefix-cache.js';
import { runPrefill } from './prefills.js';
import type { PrefillCall, PrefillOutcome } from './prefills.js';
import { createRunLog } from './run-log.js';
import { disconnectReaders } from './streams.js';
import type { Stream } from './streams.js';
import { createCounters, NO_ENGINE_FAULTS } from './types.js';
import type {
  AttemptRef,
  EngineCounters,
  EngineFaults,
  EngineOptions,
  Hold,
  Refusal,
} from './types.js';

export interface EngineLoad {
  readonly slotsUsed: number;
  readonly slots: number;
  readonly blocksUsed: number;
  readonly blocks: number;
  readonly prefillQueueMs: number;
  readonly models: readonly string[];
  readonly role: string;
}

export interface EngineState extends EngineCounters {
  readonly peakBlocks: number;
  readonly blocksUsed: number;
  readonly slotsUsed: number;
  readonly cachedBlocks: number;
  readonly holds: number;
  readonly cold: boolean;
  readonly models: readonly string[];
  readonly role: string;
  readonly orders: number;
  readonly staleOrders: number;
  readonly loading: number;
  /** Attempts whose prefill or decode ran more than once. */
  readonly repeatedRuns: number;
}

export interface EngineCore {
  readonly gate: Gate;
  readonly faults: FaultController<EngineFaults>;
  readonly exports: KvExports;
  readonly cache: PrefixCache;
  readonly orders: Orders;
  prefill(call: PrefillCall & { model?: string }): Promise<PrefillOutcome>;
  decode(call: DecodeCall & { model?: string }): Promise<Stream | Refusal>;
  findStream(requestId: string): Stream | undefined;
  /** Frees all resources that one attempt of a request holds, or all attempts if none is given. */
  cancel(requestId: string, attempt?: number): void;
  holds(): Hold[];
  readLoad(): EngineLoad;
  readState(): EngineState;
  /** Returns the number of runs by `<kind>/<request id>/<attempt>`. */
  readRuns(): Readonly<Record<string, number>>;
  stop(): void;
}

export interface EngineHooks {
  readonly kvClient: KvClient;
  readonly reserveWeights: ReserveWeights;
  /** Closes or opens the listener. */
  readonly setRefusing: (refusing: boolean) => void;
  /** Breaks all connections after a crash. */
  readonly destroyConnections: () => void;
}

/** Creates an engine without an HTTP server. */
export function createEngineCore(options: EngineOptions, hooks: EngineHooks): EngineCore {
  const counters = createCounters();
  const runLog = createRunLog();
  const memory = createMemory(options.blocks);
  const coldStart = createColdStart(options);
  const queue = createPrefillQueue();

  // The components depend on each other in a cycle, so functions defer some references.
  const applyFaults = (faults: EngineFaults): void => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    handleFaultChange(faults);
  };
  const faults = createFaultController(NO_ENGINE_FAULTS, applyFaults);
  const cache = createPrefixCache({
    blocks: options.prefixCacheBlocks,
    lagMs: options.cacheEventLagMs,
    gapEvery: options.cacheEventGapEvery,
    losesAllEvents: () => faults.read().loseCacheEvents,
  });
  const isStalled = (): boolean => faults.read().stallTransfers || faults.read().freeze;
  const link = createLink(() => (isStalled() ? 0 : options.linkBytesPerMs));
  const countRunning = (): number =>
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    queue.size() + decodes.slotsUsed();
  const admission = createAdmission({ options, coldStart, counters, countRunning });
  const slowdown = (): number => faults.read().slowFactor * admission.coldSlowdown();
  const exports = createKvExports({
    ttlMs: options.kvTtlMs,
    memory,
    onDrop: (imported) => {
      if (imported) counters.imports += 1;
      else counters.wastedPrefills += 1;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      recordLoad();
    },
  });
  const crash = (): void => {
    counters.crashes += 1;
    faults.set({ dieAfterTokens: 0 });
    hooks.destroyConnections();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    releaseAll();
    cache.clear();
  };
  const batch = createBatch({
    stepMs: (size) => (options.tokenMs + options.tokenMsPerStream * size) * slowdown(),
    onFinish: (stream) => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      decodes.finish(stream);
    },
    onToken: (stream) => {
      counters.tokens += 1;
      const { dieAfterTokens, cutAfterTokens } = faults.read();
      if (cutAfterTokens > 0 && stream.produced >= cutAfterTokens) {
        faults.set({ cutAfterTokens: 0 });
        disconnectReaders(stream);
      }
      if (dieAfterTokens === 0 || stream.produced < dieAfterTokens) return false;
      crash();
      return true;
    },
  });
  const recordLoad = (): void => {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    laggedLoad.set(measureLoad());
  };
  const decodes = createDecodes({
    options,
    memory,
    link,
    kvClient: hooks.kvClient,
    admission,
    counters,
    batch,
    onRun: (ref: AttemptRef) => runLog.record('decode', ref),
    onChange: recordLoad,
  });
  const orders = createOrders(options, hooks.reserveWeights, recordLoad);
  const prefillContext = {
    options,
    queue,
    cache,
    memory,
    exports,
    admission,
    counters,
    slowdown,
    onRun: (ref: AttemptRef) => runLog.record('prefill', ref),
  };

  let unfinishedPrefillEstimateMs = 0;
  const measureLoad = (): EngineLoad => ({
    slotsUsed: decodes.slotsUsed(),
    slots: options.slots,
    blocksUsed: memory.used(),
    blocks: options.blocks,
    prefillQueueMs: unfinishedPrefillEstimateMs + queue.remainingMs(),
    models: orders.models(),
    role: orders.role(),
  });
  const laggedLoad = createLaggedValue(measureLoad(), () => options.loadLagMs);

  const releaseAll = (): void => {
    queue.cancel(() => true);
    exports.clear();
    decodes.clear();
    batch.clear();
  };
  let frozen = false;
  let refusing = false;
  const gate = createGate(() => {
    queue.setPaused(gate.isClosed());
    batch.setPaused(gate.isClosed());
  });
  const handleFaultChange = (next: EngineFaults): void => {
    if (next.freeze !== frozen) {
      frozen = next.freeze;
      gate.setClosed(frozen);
    }
    if (next.refuse !== refusing) {
      refusing = next.refuse;
      hooks.setRefusing(refusing);
    }
    link.refresh();
    if (!next.turnCold) return;
    coldStart.begin();
    faults.set({ turnCold: false });
  };

  const checkRoleAndModel = (role: 'prefill' | 'decode', model?: string): Refusal | undefined => {
    if (orders.role() !== 'both' && orders.role() !== role) {
      return admission.refuse(refuseNotRun(503, `the role is ${orders.role()}`));
    }
    if (orders.serves(model)) return undefined;
    return admission.refuse(refuseNotRun(503, `model ${model} is not loaded`));
  };

  return {
    gate,
    faults,
    exports,
    cache,
    orders,
    prefill: async (call) => {
      const refusal = checkRoleAndModel('prefill', call.model) ?? admission.checkCold();
      if (refusal !== undefined) return refusal;
      const estimateMs = call.prompt.length / 4 / options.prefillTokensPerMs;
      unfinishedPrefillEstimateMs += estimateMs;
      recordLoad();
      const outcome = await runPrefill(prefillContext, call);
      unfinishedPrefillEstimateMs -= estimateMs;
      recordLoad();
      return outcome;
    },
    decode: async (call) => checkRoleAndModel('decode', call.model) ?? decodes.start(call),
    findStream: (requestId) => decodes.find(requestId),
    cancel: (requestId, attempt) => {
      const matches = matchAttempt(requestId, attempt);
      const cancelled = queue.cancel(matches) + exports.cancel(matches) + decodes.cancel(matches);
      counters.cancelled += cancelled;
    },
    holds: () => [...decodes.holds(), ...exports.holds()],
    readLoad: () => laggedLoad.read(),
    readState: () => ({
      ...counters,
      peakBlocks: memory.peak(),
      blocksUsed: memory.used(),
      slotsUsed: decodes.slotsUsed(),
      cachedBlocks: cache.size(),
      holds: decodes.holds().length + exports.holds().length,
      cold: coldStart.isCold(),
      models: orders.models(),
      role: orders.role(),
      orders: orders.history().length,
      staleOrders: orders.stale(),
      loading: orders.loading(),
      repeatedRuns: runLog.repeated(),
    }),
    readRuns: () => runLog.read(),
    stop: () => {
      faults.stop();
      releaseAll();
      link.stop();
      orders.stop();
    },
  };
}
