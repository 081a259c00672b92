/** Cache of prompt prefixes with least-recently-used eviction, and its events. */
import { TOKENS_PER_BLOCK } from './memory.js';

const KEPT_EVENTS = 2_000;

export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  readonly hash: number;
}

export interface CacheEventBatch {
  readonly latestSeq: number;
  readonly events: readonly CacheEvent[];
  readonly snapshot?: readonly number[];
}

export interface PrefixCacheOptions {
  readonly blocks: number;
  readonly lagMs: number;
  /** Every n-th event is lost; 0 for none. */
  readonly gapEvery: number;
  readonly losesAll: () => boolean;
}

export interface PrefixCache {
  /** Tokens of the longest cached prefix. */
  cachedTokens(hashes: readonly number[]): number;
  store(hashes: readonly number[]): void;
  clear(): void;
  readEvents(after: number): CacheEventBatch;
  size(): number;
}

interface LoggedEvent {
  readonly event: CacheEvent;
  readonly visibleAtMs: number;
}

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  // A map iterates in insertion order, so its first key is the least recently used one.
  const cached = new Map<number, true>();
  const log: LoggedEvent[] = [];
  let lastSeq = 0;
  let droppedUpTo = 0;

  const publish = (kind: CacheEvent['kind'], hash: number): void => {
    lastSeq += 1;
    const isGap = options.gapEvery > 0 && lastSeq % options.gapEvery === 0;
    if (isGap || options.losesAll()) return;
    const visibleAtMs = performance.now() + options.lagMs;
    log.push({ event: { seq: lastSeq, kind, hash }, visibleAtMs });
    if (log.length > KEPT_EVENTS) droppedUpTo = log.shift()?.event.seq ?? droppedUpTo;
  };
  const evictOldest = (): void => {
    const [oldest] = cached.keys();
    if (oldest === undefined) return;
    cached.delete(oldest);
    publish('evicted', oldest);
  };
  const touch = (hash: number): void => {
    const isNew = !cached.delete(hash);
    cached.set(hash, true);
    if (isNew) publish('stored', hash);
  };

  return {
    cachedTokens: (hashes) => {
      const missing = hashes.findIndex((hash) => !cached.has(hash));
      return (missing === -1 ? hashes.length : missing) * TOKENS_PER_BLOCK;
    },
    store: (hashes) => {
      // The last block of a prompt is touched first, so that eviction shortens prefixes from the end.
      for (const hash of hashes.slice(0, options.blocks).reverse()) touch(hash);
      while (cached.size > options.blocks) evictOldest();
    },
    clear: () => {
      cached.clear();
      publish('cleared', 0);
    },
    readEvents: (after) => {
      const now = performance.now();
      const visible = log.filter((entry) => entry.visibleAtMs <= now).map((entry) => entry.event);
      const latestSeq = visible.at(-1)?.seq ?? droppedUpTo;
      if (after < droppedUpTo || after > lastSeq) {
        return { latestSeq, events: [], snapshot: [...cached.keys()] };
      }
      return { latestSeq, events: visible.filter((event) => event.seq > after) };
    },
    size: () => cached.size,
  };
}
