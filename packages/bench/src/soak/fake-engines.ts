/** In-memory engines that can be stopped and restarted. */
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { createEngineCore, ENGINE_DEFAULTS } from '@hibiscusbank/standins';
import type { EngineCore } from '@hibiscusbank/standins';
import { runOutsideProcesses } from './process.js';

const COLD_START_MS = 4_000;

export interface FakeEngine {
  readonly entry: UpstreamEntry;
  core: EngineCore;
  /** False between `kill` and the next restart. */
  isUp: boolean;
  refusing: boolean;
}

export interface FakeEngines {
  list(): readonly FakeEngine[];
  find(address: string): FakeEngine | undefined;
  kill(engine: FakeEngine): void;
  restart(engine: FakeEngine): void;
}

/** Creates a running engine for each entry of a model pool. */
export function createFakeEngines(entries: readonly UpstreamEntry[]): FakeEngines {
  const engines = new Map<string, FakeEngine>();
  const getReachable = (address: string): FakeEngine => {
    const engine = engines.get(address);
    if (engine === undefined || !engine.isUp || engine.refusing) throw new Error('refused');
    return engine;
  };
  const createCore = (entry: UpstreamEntry, startsCold: boolean): EngineCore =>
    runOutsideProcesses(() =>
      createEngineCore(
        {
          ...ENGINE_DEFAULTS,
          role: entry.role === 'plain' ? 'both' : entry.role,
          slots: entry.capacity,
          blocks: entry.memoryBlocks,
          coldLimit: entry.coldLimit,
          coldMs: COLD_START_MS,
          startsCold,
          linkBytesPerMs: entry.linkBytesPerMs,
          checksFencing: entry.checksOrders,
        },
        {
          kvClient: {
            begin: async (source, id) => getReachable(source).core.exports.beginImport(id),
            end: async (source, id, completed) =>
              engines.get(source)?.core.exports.endImport(id, completed),
            isLocal: (source) => source === entry.address,
          },
          reserveWeights: async () => 0,
          setRefusing: (refusing) => {
            const engine = engines.get(entry.address);
            if (engine !== undefined) engine.refusing = refusing;
          },
          destroyConnections: () => {},
        },
      ),
    );
  for (const entry of entries) {
    engines.set(entry.address, {
      entry,
      core: createCore(entry, false),
      isUp: true,
      refusing: false,
    });
  }
  return {
    list: () => [...engines.values()],
    find: (address) => engines.get(address),
    kill: (engine) => {
      if (!engine.isUp) return;
      engine.isUp = false;
      runOutsideProcesses(() => engine.core.stop());
    },
    restart: (engine) => {
      if (engine.isUp) return;
      engine.isUp = true;
      engine.refusing = false;
      engine.core = createCore(engine.entry, true);
    },
  };
}
