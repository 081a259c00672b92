/** Follows the entries of one kind in the platform's store. */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { EntryList, EntryStore, StoredEntry, StoreFailure } from './ports.js';

/** Pause after a call that failed, so that an outage is not answered with a storm of calls. */
const RETRY_PAUSE_MS = 150;

export interface FeedOptions {
  readonly kind: string;
  readonly store: EntryStore;
  readonly telemetry: Telemetry;
  /** Longest wait of one watch. */
  readonly waitMs: number;
  /** Pause between two watches, in which changes gather. */
  readonly pauseMs: number;
  readonly onChange: (entries: ReadonlyMap<string, StoredEntry>) => void;
}

export interface ObjectFeed {
  entries(): ReadonlyMap<string, StoredEntry>;
  /** Revision up to which changes are included; 0 before the first list. */
  revision(): number;
  /** Revision of the last change that was applied; a peer that knows less than this is behind. */
  changeRevision(): number;
  /** The entries as a list, for peers that cannot reach the store. */
  list(): EntryList;
  /** Time since the store last answered. */
  silenceMs(): number;
  /** Takes over a newer list that a peer has; older ones are ignored. */
  adopt(list: EntryList): boolean;
  /** Runs until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** Creates the feed; nothing is called before `run`. */
export function createObjectFeed(options: FeedOptions): ObjectFeed {
  const { kind, store, telemetry, onChange } = options;
  let entries = new Map<string, StoredEntry>();
  let revision = 0;
  let changeRevision = 0;
  let answeredAt = -Infinity;
  let isConnected = true;

  const noteAnswer = (): void => {
    answeredAt = monotonicMs();
    if (!isConnected) telemetry.log('storeRegained', { kind, revision });
    isConnected = true;
  };

  const noteFailure = (failure: StoreFailure): void => {
    if (isConnected) telemetry.log('storeLost', { kind, failure, revision });
    isConnected = false;
  };

  const adopt = (list: EntryList): boolean => {
    if (list.revision <= revision) return false;
    entries = new Map(list.entries.map((entry) => [entry.name, entry]));
    revision = list.revision;
    changeRevision = revision;
    onChange(entries);
    return true;
  };

  const readList = async (): Promise<boolean> => {
    const result = await store.list();
    if (result.isErr()) {
      noteFailure(result.error);
      return false;
    }
    noteAnswer();
    adopt(result.value);
    return true;
  };

  /** Returns false when the history after the known revision is gone. */
  const watch = async (): Promise<boolean> => {
    const from = revision;
    const result = await store.watch(from, options.waitMs);
    if (result.isErr()) {
      if (result.error !== 'history_lost') noteFailure(result.error);
      await sleep(result.error === 'history_lost' ? 0 : RETRY_PAUSE_MS);
      return result.error !== 'history_lost';
    }
    noteAnswer();
    // A newer list from a peer can have come meanwhile.
    if (revision !== from) return true;
    const { changes } = result.value;
    for (const change of changes) {
      const known = entries.get(change.name);
      if (known !== undefined && known.revision > change.revision) continue;
      if (change.isRemoved) entries.delete(change.name);
      else entries.set(change.name, change);
    }
    revision = Math.max(revision, result.value.revision);
    if (changes.length > 0) {
      changeRevision = revision;
      onChange(entries);
    }
    return true;
  };

  return {
    entries: () => entries,
    revision: () => revision,
    changeRevision: () => changeRevision,
    list: () => ({ entries: [...entries.values()], revision }),
    silenceMs: () => monotonicMs() - answeredAt,
    adopt,
    run: async (signal) => {
      let mustList = true;
      while (!signal.aborted) {
        if (mustList) {
          mustList = !(await readList());
          if (mustList) await sleep(RETRY_PAUSE_MS, signal);
        } else {
          mustList = !(await watch());
          if (!mustList) await sleep(options.pauseMs, signal);
        }
      }
    },
  };
}
