import { createTelemetry, sleep } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import { createStoreEra, STORE_CALL_TIMEOUT_MS } from '../../src/index.js';
import { createRestoredEntries } from '../../src/restored-entries.js';
import type { RestoredEntries } from '../../src/restored-entries.js';
import type { EntryChange, EntryStore, StoredEntry, StoreEra } from '../../src/index.js';

export interface FakeStore extends EntryStore {
  put(name: string, value: unknown): void;
  drop(name: string): void;
  /** While set, calls fail with `unavailable`. */
  setDown(isDown: boolean): void;
  /** Calls that are open or opened while this is set never get a response; they fail by time-out. */
  setSilent(isSilent: boolean): void;
  /** Drops the history, so that watches from earlier revisions fail with `history_lost`. */
  compact(): void;
  /** Returns the access of a node that keeps its own record of the store's era. */
  connect(era: StoreEra): EntryStore;
  /** Returns a copy of the entries, as a backup takes it. */
  copy(): StoreCopy;
  /** Starts a new era from a copy; what was written since is lost and its revisions come again. */
  restore(copy: StoreCopy): void;
}

export interface StoreCopy {
  readonly entries: ReadonlyMap<string, StoredEntry>;
  readonly revision: number;
}

/** Creates what a node knows of the store's era. */
export function createTestEra(): StoreEra {
  return createStoreEra(createTelemetry({}, () => {}));
}

/** Creates the bridge over a restoration for entries whose value is the order of their writing. */
export function createTestBridge(): RestoredEntries {
  return createRestoredEntries({
    order: (value) => (typeof value === 'number' ? [value] : undefined),
    missingMs: 2_500,
    remembersRemovals: true,
  });
}

/**
 * Creates an in-memory store of one kind of entries. `ownEra` is what the calling node knows of
 * the store's era.
 */
export function createFakeStore(ownEra = createTestEra()): FakeStore {
  let entries = new Map<string, StoredEntry>();
  let storeEra = 1;
  let log: EntryChange[] = [];
  let revision = 1;
  let oldest = 0;
  let down = false;
  let silent = false;
  /** Number of silences so far, by which a watch finds that one began while it was open. */
  let silences = 0;
  let wake: (() => void)[] = [];

  const timeOut = async () => {
    await sleep(STORE_CALL_TIMEOUT_MS);
    return err('unavailable' as const);
  };

  const record = (change: EntryChange): void => {
    log.push(change);
    const waiting = wake;
    wake = [];
    for (const resume of waiting) resume();
  };

  const put = (name: string, value: unknown): StoredEntry => {
    revision += 1;
    const entry = { name, era: storeEra, revision, value };
    entries.set(name, entry);
    record({ ...entry, isRemoved: false });
    return entry;
  };

  const changesAfter = (after: number): EntryChange[] =>
    log.filter((change) => change.revision > after);

  const connect = (era: StoreEra): EntryStore => ({
    list: async () => {
      if (silent) return timeOut();
      if (down) return err('unavailable' as const);
      era.observe(storeEra);
      return ok({ entries: [...entries.values()], era: storeEra, revision });
    },
    watch: async (position, waitMs, signal) => {
      const after = position.revision;
      if (silent) {
        await sleep(waitMs);
        return timeOut();
      }
      const silencesBefore = silences;
      const isLost = (): boolean =>
        !era.observe(storeEra) || position.era !== storeEra || after < oldest || after > revision;
      if (down) return err('unavailable');
      if (isLost()) return err('history_lost');
      if (changesAfter(after).length === 0) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, waitMs);
          const finish = (): void => {
            clearTimeout(timer);
            resolve();
          };
          wake.push(finish);
          signal?.addEventListener('abort', finish);
        });
      }
      if (silences > silencesBefore) return timeOut();
      if (down) return err('unavailable');
      if (isLost()) return err('history_lost');
      return ok({ changes: changesAfter(after), era: storeEra, revision });
    },
    read: async (name) => {
      const entry = entries.get(name);
      if (down) return err('unavailable');
      era.observe(storeEra);
      return entry === undefined ? err('absent') : ok(entry);
    },
    write: async (name, value, expected) => {
      if (down) return err('unavailable');
      era.observe(storeEra);
      const current = entries.get(name);
      if (current?.revision !== expected?.revision || current?.era !== expected?.era)
        return err('conflict');
      return ok(put(name, value));
    },
    writeStatus: async (name, status, expected) => {
      if (down) return err('unavailable');
      const current = entries.get(name);
      if (current?.revision !== expected.revision) return err('conflict');
      return ok(put(name, { ...(current.value as object), ...(status as object) }));
    },
    remove: async (name) => {
      if (down) return err('unavailable');
      entries.delete(name);
      return ok(undefined);
    },
  });

  return {
    put,
    drop: (name) => {
      entries.delete(name);
      revision += 1;
      record({ name, era: storeEra, revision, value: null, isRemoved: true });
    },
    setDown: (isDown) => {
      down = isDown;
      for (const resume of wake) resume();
      wake = [];
    },
    setSilent: (isSilent) => {
      silent = isSilent;
      if (!isSilent) return;
      silences += 1;
      wake = [];
    },
    compact: () => {
      log = [];
      oldest = revision;
      for (const resume of wake) resume();
      wake = [];
    },
    copy: () => ({ entries: new Map(entries), revision }),
    restore: (copy) => {
      storeEra += 1;
      entries = new Map(
        [...copy.entries].map(([name, entry]) => [name, { ...entry, era: storeEra }]),
      );
      revision = copy.revision;
      log = [];
      oldest = 0;
      for (const resume of wake) resume();
      wake = [];
    },
    ...connect(ownEra),
    connect,
  };
}
