/** Engines in memory. */
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { createEngineCore, ENGINE_DEFAULTS } from '@hibiscusbank/standins';
import type { EngineCore } from '@hibiscusbank/standins';
import { runOutside } from './process.js';

const COLD_MS = 4_000;

export interface FakeEngine {
  readonly entry: UpstreamEntry;
  core: EngineCore;
  /** False while the process does not exist. */
  up: boolean;
  refusing: boolean;
}

export interface FakeEngines {
  list(): readonly FakeEngine[];
  find(address: string): FakeEngine | undefined;
  kill(engine: FakeEngine): void;
  revive(engine: FakeEngine): void;
}

/** Creates the engines of a model pool. */
export function createFakeEngines(entries: readonly UpstreamEntry[]): FakeEngines {
  const engines = new Map<string, FakeEngine>();
  const reach = (address: string): FakeEngine => {
    const engine = engines.get(address);
    if (engine === undefined || !engine.up || engine.refusing) throw new Error('refused');
    return engine;
  };
  const createCore = (entry: UpstreamEntry, startsCold: boolean): EngineCore =>
    runOutside(() =>
      createEngineCore(
        {
          ...ENGINE_DEFAULTS,
          role: entry.role === 'plain' ? 'both' : entry.role,
          slots: entry.capacity,
          blocks: entry.memoryBlocks,
          coldLimit: entry.coldLimit,
          coldMs: COLD_MS,
          startsCold,
          linkBytesPerMs: entry.linkBytesPerMs,
          checksFencing: entry.checksOrders,
        },
        {
          kvClient: {
            begin: async (source, id) => reach(source).core.exports.beginImport(id),
            end: async (source, id, completed) =>
              engines.get(source)?.core.exports.endImport(id, completed),
            isLocal: (source) => source === entry.address,
          },
          reserveWeights: async () => 0,
          setRefusing: (refusing) => {
            const engine = engines.get(entry.address);
            if (engine !== undefined) engine.refusing = refusing;
          },
          cutConnections: () => {},
        },
      ),
    );
  for (const entry of entries) {
    engines.set(entry.address, {
      entry,
      core: createCore(entry, false),
      up: true,
      refusing: false,
    });
  }
  return {
    list: () => [...engines.values()],
    find: (address) => engines.get(address),
    kill: (engine) => {
      if (!engine.up) return;
      engine.up = false;
      runOutside(() => engine.core.stop());
    },
    revive: (engine) => {
      if (engine.up) return;
      engine.up = true;
      engine.refusing = false;
      engine.core = createCore(engine.entry, true);
    },
  };
}
