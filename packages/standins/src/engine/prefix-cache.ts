/** Least-recently-used cache of prompt prefixes, with a log of its changes. */
import { TOKENS_PER_BLOCK } from './memory.js';

const MAX_EVENTS_KEPT = 2_000;

export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  readonly hash: number;
}

export interface CacheEventBatch {
  readonly latestSeq: number;
  readonly events: readonly CacheEvent[];
  /** Hashes of all cached blocks, if the requested sequence number is outside the log. */
  readonly snapshot?: readonly number[];
}

export interface PrefixCacheOptions {
  readonly blocks: number;
  /** Time until an event is visible to readers. */
  readonly lagMs: number;
  /** Every n-th event is lost; 0 means none. */
  readonly gapEvery: number;
  readonly losesAllEvents: () => boolean;
}

export interface PrefixCache {
  /** Returns the number of tokens in the longest cached prefix. */
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
  // A map iterates in insertion order, so its first key is the least recently used block.
  const cached = new Map<number, true>();
  const loggedEvents: LoggedEvent[] = [];
  let lastSeq = 0;
  let lastDroppedSeq = 0;

  const publish = (kind: CacheEvent['kind'], hash: number): void => {
    lastSeq += 1;
    const isGap = options.gapEvery > 0 && lastSeq % options.gapEvery === 0;
    if (isGap || options.losesAllEvents()) return;
    const visibleAtMs = performance.now() + options.lagMs;
    loggedEvents.push({ event: { seq: lastSeq, kind, hash }, visibleAtMs });
    if (loggedEvents.length > MAX_EVENTS_KEPT)
      lastDroppedSeq = loggedEvents.shift()?.event.seq ?? lastDroppedSeq;
  };
  const evictOldest = (): void => {
    const [oldest] = cached.keys();
    if (oldest === undefined) return;
    cached.delete(oldest);
    publish('evicted', oldest);
  };
  const markUsed = (hash: number): void => {
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
      // The last block is marked as used first, so that eviction shortens prefixes from the end.
      for (const hash of hashes.slice(0, options.blocks).reverse()) markUsed(hash);
      while (cached.size > options.blocks) evictOldest();
    },
    clear: () => {
      cached.clear();
      publish('cleared', 0);
    },
    readEvents: (after) => {
      const now = performance.now();
      const visible = loggedEvents
        .filter((entry) => entry.visibleAtMs <= now)
        .map((entry) => entry.event);
      const latestSeq = visible.at(-1)?.seq ?? lastDroppedSeq;
      if (after < lastDroppedSeq || after > lastSeq) {
        return { latestSeq, events: [], snapshot: [...cached.keys()] };
      }
      return { latestSeq, events: visible.filter((event) => event.seq > after) };
    },
    size: () => cached.size,
  };
}
