/**
 * Bridges the time after the store was restored from a copy in which it lacks what was written last.
 * Until operators and upstreams have written again, an entry that is known to be newer than the
 * copy's stays in force, a missing entry is kept, and a removed one does not come back.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { EntryChange, StoredEntry } from './ports.js';

/** Maximum time for which an entry that is older than the known one is not used. */
const OLDER_ENTRY_MS = 10_000;
/** Time for which removals are remembered; copies are some seconds old. */
const REMOVAL_MEMORY_MS = 60_000;

/** Numbers by which two writings of an entry are compared, the first difference deciding. */
export type WritingOrder = (value: unknown) => readonly number[] | undefined;

export interface RestoredEntriesOptions {
  /** Returns `undefined` for an entry that states no order. */
  readonly order: WritingOrder;
  /** Time for which an entry that the restored store lacks is kept. */
  readonly missingMs: number;
  /** Whether a removed entry stays removed until it is written again. */
  readonly remembersRemovals: boolean;
}

type Entries = ReadonlyMap<string, StoredEntry>;

export interface RestoredEntries {
  /** Remembers an entry that was removed. */
  recordRemoval(entry: StoredEntry): void;
  /** Starts to bridge from the entries that were in force before the store was restored. */
  begin(known: Entries): void;
  /** Applies a change that the store made after it was restored. Returns whether `merge` changes. */
  settle(change: EntryChange): boolean;
  /** Returns the entries in force, given those of the store. */
  merge(entries: Entries): Entries;
  /** Returns the time after which `merge` changes by itself, `undefined` if it does not. */
  nextChangeMs(): number | undefined;
}

interface Kept {
  readonly entry: StoredEntry;
  readonly isRemoved: boolean;
  readonly since: number;
  /** Whether the entry was in the store at the last `merge`. */
  isListed: boolean;
}

function compareWritings(order: WritingOrder, a: StoredEntry, b: StoredEntry): number {
  const first = order(a.value) ?? [];
  const second = order(b.value) ?? [];
  for (let index = 0; index < Math.min(first.length, second.length); index += 1) {
    const difference = (first[index] ?? 0) - (second[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/** Creates the state for one kind of entries. */
export function createRestoredEntries(options: RestoredEntriesOptions): RestoredEntries {
  const { order, missingMs, remembersRemovals } = options;
  const removals = new Map<string, { readonly entry: StoredEntry; readonly at: number }>();
  const kept = new Map<string, Kept>();

  const untilMs = ({ since, isListed }: Kept): number =>
    since + (isListed ? OLDER_ENTRY_MS : missingMs);

  /** Whether the store's entry was written after what is known, or is the same writing. */
  const isRewritten = ({ entry, isRemoved }: Kept, listed: StoredEntry): boolean => {
    const difference = compareWritings(order, listed, entry);
    return isRemoved ? difference > 0 : difference >= 0;
  };

  /** Returns the entry in force of the one that is kept and the one in the store. */
  const choose = (known: Kept, listed: StoredEntry | undefined): StoredEntry | undefined => {
    known.isListed = listed !== undefined;
    const isOver = monotonicMs() >= untilMs(known);
    if (isOver || (listed !== undefined && isRewritten(known, listed))) {
      kept.delete(known.entry.name);
      return listed;
    }
    return known.isRemoved ? undefined : known.entry;
  };

  return {
    recordRemoval: (entry) => {
      if (!remembersRemovals) return;
      const now = monotonicMs();
      for (const [name, { at }] of removals) {
        if (now - at >= REMOVAL_MEMORY_MS) removals.delete(name);
      }
      removals.set(entry.name, { entry, at: now });
    },
    begin: (known) => {
      const since = monotonicMs();
      const keep = (entry: StoredEntry, isRemoved: boolean): void => {
        kept.set(entry.name, { entry, isRemoved, since, isListed: false });
      };
      kept.clear();
      for (const { entry, at } of removals.values()) {
        if (since - at < REMOVAL_MEMORY_MS) keep(entry, true);
      }
      for (const entry of known.values()) keep(entry, false);
    },
    settle: ({ name, isRemoved }) => isRemoved && kept.delete(name),
    merge: (entries) => {
      if (kept.size === 0) return entries;
      const merged = new Map(entries);
      for (const known of [...kept.values()]) {
        const { name } = known.entry;
        const entry = choose(known, entries.get(name));
        if (entry === undefined) merged.delete(name);
        else merged.set(name, entry);
      }
      return merged;
    },
    nextChangeMs: () => {
      if (kept.size === 0) return undefined;
      const next = Math.min(...[...kept.values()].map(untilMs));
      return Math.max(0, next - monotonicMs());
    },
  };
}
