/** Follows the entries of one kind in the platform's store. */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { EntryList, EntryStore, StoredEntry, StoreFailure } from './ports.js';

/** Pauses after calls that failed; they double, so that an outage is not met with a storm of calls. */
const FIRST_RETRY_MS = 150;
const MAX_RETRY_MS = 1_200;

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
  let failures = 0;

  const noteAnswer = (): void => {
    answeredAt = monotonicMs();
    failures = 0;
    if (!isConnected) telemetry.log('storeRegained', { kind, revision });
    isConnected = true;
  };

  const noteFailure = (failure: StoreFailure): void => {
    if (isConnected) telemetry.log('storeLost', { kind, failure, revision });
    isConnected = false;
    failures += 1;
  };

  const retryPauseMs = (): number =>
    Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.max(0, failures - 1));

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
      await sleep(result.error === 'history_lost' ? 0 : retryPauseMs());
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
          if (mustList) await sleep(retryPauseMs(), signal);
        } else {
          mustList = !(await watch());
          if (!mustList) await sleep(options.pauseMs, signal);
        }
      }
    },
  };
}
