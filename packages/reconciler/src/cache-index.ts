/**
 * Estimates which prompt prefixes each engine has cached. The index is only a hint: cache events
 * arrive late and with gaps, and placement never waits for them.
 */
import { repeatUntilAborted } from '@hibiscusbank/core';
import type { Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { CacheEvents, EnginePort } from '@hibiscusbank/engines';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { listEngines } from './types.js';
import type { FindCachedTokens, OwnedCell } from './types.js';

/** Placements update the index at once and events only correct it, so slow polling is enough. */
const POLL_INTERVAL_MS = 10_000;
/** Tokens that one prefix hash stands for. */
const TOKENS_PER_HASH = 1_000;
/** Bounds the memory per engine; the least recently used prefixes are removed first. */
const MAX_HASHES_PER_ENGINE = 4_096;

export interface CacheIndexOptions {
  readonly engines: EnginePort;
  readonly telemetry: Telemetry;
  readonly listCells: () => readonly OwnedCell[];
}

export interface CacheIndex {
  readonly findCachedTokens: FindCachedTokens;
  /** Records the prefixes of a prompt sent to an engine as cached there. */
  recordPlacement(upstream: UpstreamId, prefixHashes: readonly number[]): void;
  start(): void;
  stop(): void;
  /** Reads the cache events of all engines once. */
  poll(): Promise<void>;
}

interface EngineCache {
  /** In order of last use, least recent first. */
  readonly hashes: Set<number>;
  lastSeq: number;
}

function addHash(cache: EngineCache, hash: number): void {
  cache.hashes.delete(hash);
  cache.hashes.add(hash);
  if (cache.hashes.size <= MAX_HASHES_PER_ENGINE) return;
  const [oldest] = cache.hashes;
  if (oldest !== undefined) cache.hashes.delete(oldest);
}

function replaceFromSnapshot(cache: EngineCache, update: CacheEvents): void {
  cache.hashes.clear();
  for (const hash of update.snapshot ?? []) addHash(cache, hash);
  cache.lastSeq = update.latestSeq;
}

/** Applies events in order. Returns false at a gap in the sequence numbers. */
function applyEvents(cache: EngineCache, update: CacheEvents): boolean {
  for (const event of update.events) {
    if (event.seq !== cache.lastSeq + 1) return false;
    cache.lastSeq = event.seq;
    if (event.kind === 'stored') addHash(cache, event.hash);
    if (event.kind === 'evicted') cache.hashes.delete(event.hash);
    if (event.kind === 'cleared') cache.hashes.clear();
  }
  return true;
}

/** Creates the index of a node. */
export function createCacheIndex(options: CacheIndexOptions): CacheIndex {
  const caches = new Map<UpstreamId, EngineCache>();
  const stopController = new AbortController();

  const getOrCreateCache = (upstream: UpstreamId): EngineCache => {
    const cache = caches.get(upstream) ?? { hashes: new Set<number>(), lastSeq: 0 };
    caches.set(upstream, cache);
    return cache;
  };

  const removeUnownedCaches = (engines: readonly UpstreamEntry[]): void => {
    const owned = new Set(engines.map(({ id }) => id));
    for (const id of caches.keys()) {
      if (!owned.has(id)) caches.delete(id);
    }
  };

  const pollEngine = async (engine: UpstreamEntry): Promise<void> => {
    const cache = getOrCreateCache(engine.id);
    const result = await options.engines.readCacheEvents(engine.address, cache.lastSeq);
    if (result.isErr()) return;
    const update = result.value;
    if (update.snapshot !== undefined) {
      replaceFromSnapshot(cache, update);
      return;
    }
    if (applyEvents(cache, update)) return;
    options.telemetry.log('cacheEventGap', { upstream: engine.id, after: cache.lastSeq });
    // A position before the first event makes the engine send a snapshot of its cache.
    const fullUpdate = await options.engines.readCacheEvents(engine.address, -1);
    if (fullUpdate.isOk()) replaceFromSnapshot(cache, fullUpdate.value);
    else cache.hashes.clear();
  };

  const poll = async (): Promise<void> => {
    const engines = listEngines(options.listCells()).filter(({ role }) => role !== 'decode');
    removeUnownedCaches(engines);
    await Promise.all(engines.map(pollEngine));
  };

  return {
    findCachedTokens: (upstream, prefixHashes) => {
      const hashes = caches.get(upstream)?.hashes;
      if (hashes === undefined) return 0;
      let cached = 0;
      for (const hash of prefixHashes) {
        if (!hashes.has(hash)) break;
        cached += TOKENS_PER_HASH;
      }
      return cached;
    },
    recordPlacement: (upstream, prefixHashes) => {
      const cache = getOrCreateCache(upstream);
      for (const hash of prefixHashes) addHash(cache, hash);
    },
    start: () => {
      void repeatUntilAborted(stopController.signal, () => POLL_INTERVAL_MS, poll);
    },
    stop: () => stopController.abort(),
    poll,
  };
}
