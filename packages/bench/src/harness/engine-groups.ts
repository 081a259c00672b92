/**
 * Groups of prefill and decode engines: stand-ins, capacity and table entries from one
 * specification.
 */
import { dataCentreId } from '@hibiscusbank/core';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { ENGINE_DEFAULTS, startEngine } from '@hibiscusbank/standins';
import type { EngineOptions, EngineStandin, ModelRoute } from '@hibiscusbank/standins';
import { meanOfLogRange } from './statistics.js';
import { createUpstreamEntry } from './tables.js';

export interface EngineGroupSpec {
  readonly prefill: number;
  readonly decode: number;
  readonly options: Partial<EngineOptions>;
}

export interface EngineGroup {
  readonly prefill: readonly EngineStandin[];
  readonly decode: readonly EngineStandin[];
  stop(): Promise<void>;
}

function startEngines(
  role: 'prefill' | 'decode',
  count: number,
  options: Partial<EngineOptions>,
): Promise<EngineStandin[]> {
  return Promise.all(Array.from({ length: count }, () => startEngine(0, { ...options, role })));
}

/** Starts the engines of a group in this process, with empty caches and counters. */
export async function startEngineGroup(spec: EngineGroupSpec): Promise<EngineGroup> {
  const [prefill, decode] = await Promise.all([
    startEngines('prefill', spec.prefill, spec.options),
    startEngines('decode', spec.decode, spec.options),
  ]);
  return {
    prefill,
    decode,
    stop: async () => {
      await Promise.all([...prefill, ...decode].map((engine) => engine.stop()));
    },
  };
}

/** Table entries of a group. The engines are warm, so slow start does not limit them. */
export function createGroupEntries(
  group: EngineGroup,
  pool: string,
  dataCentre: string,
  options: Partial<EngineOptions>,
): readonly UpstreamEntry[] {
  const { slots, blocks, linkBytesPerMs } = { ...ENGINE_DEFAULTS, ...options };
  const createEntry = (role: 'prefill' | 'decode') => (engine: EngineStandin, index: number) =>
    createUpstreamEntry(`${dataCentre}-${role}-${index + 1}`, pool, {
      role,
      dataCentre: dataCentreId(dataCentre),
      address: engine.url,
      capacity: slots,
      memoryBlocks: blocks,
      coldLimit: slots,
      linkBytesPerMs,
    });
  return [...group.prefill.map(createEntry('prefill')), ...group.decode.map(createEntry('decode'))];
}

/** Returns the time between the tokens of a stream when all slots are in use, in ms. */
export function fullBatchTokenMs(options: Partial<EngineOptions>): number {
  const { tokenMs, tokenMsPerStream, slots } = { ...ENGINE_DEFAULTS, ...options };
  return tokenMs + tokenMsPerStream * slots;
}

function meanOverRoutes(
  routes: readonly ModelRoute[],
  readValue: (route: ModelRoute) => number,
): number {
  const weight = routes.reduce((sum, route) => sum + route.weight, 0);
  return routes.reduce((sum, route) => sum + route.weight * readValue(route), 0) / weight;
}

/**
 * Returns the requests per second that fill all decode slots of a group. A request occupies a slot
 * for the transfer of a mean prompt over an idle link and for a mean answer in a full batch.
 */
export function computeDecodeCapacity(
  spec: EngineGroupSpec,
  routes: readonly ModelRoute[],
): number {
  const { slots, kvBytesPerToken, linkBytesPerMs } = { ...ENGINE_DEFAULTS, ...spec.options };
  const promptTokens = meanOverRoutes(routes, (route) => meanOfLogRange(...route.promptTokens));
  const answerTokens = meanOverRoutes(routes, (route) => meanOfLogRange(...route.answerTokens));
  const transferMs = (promptTokens * kvBytesPerToken) / linkBytesPerMs;
  const slotBusyMs = transferMs + answerTokens * fullBatchTokenMs(spec.options);
  return (spec.decode * slots * 1_000) / slotBusyMs;
}
