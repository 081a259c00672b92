import { sleep } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import { STORE_CALL_TIMEOUT_MS } from '../../src/index.js';
import type { EntryChange, EntryStore, StoredEntry } from '../../src/index.js';

export interface FakeStore extends EntryStore {
  put(name: string, value: unknown): void;
  drop(name: string): void;
  /** While set, calls fail with `unavailable`. */
  setDown(isDown: boolean): void;
  /** Calls that are open or opened while this is set never get a response; they fail by time-out. */
  setSilent(isSilent: boolean): void;
  /** Drops the history, so that watches from earlier revisions fail with `history_lost`. */
  compact(): void;
}

/** Creates an in-memory store of one kind of entries. */
export function createFakeStore(): FakeStore {
  const entries = new Map<string, StoredEntry>();
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
    const entry = { name, revision, value };
    entries.set(name, entry);
    record({ ...entry, isRemoved: false });
    return entry;
  };

  const changesAfter = (after: number): EntryChange[] =>
    log.filter((change) => change.revision > after);

  return {
    put,
    drop: (name) => {
      entries.delete(name);
      revision += 1;
      record({ name, revision, value: null, isRemoved: true });
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
    list: async () => {
      if (silent) return timeOut();
      return down ? err('unavailable' as const) : ok({ entries: [...entries.values()], revision });
    },
    watch: async (after, waitMs) => {
      if (silent) {
        await sleep(waitMs);
        return timeOut();
      }
      const silencesBefore = silences;
      if (down) return err('unavailable');
      if (after < oldest) return err('history_lost');
      if (changesAfter(after).length === 0) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, waitMs);
          wake.push(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      if (silences > silencesBefore) return timeOut();
      if (down) return err('unavailable');
      if (after < oldest) return err('history_lost');
      return ok({ changes: changesAfter(after), revision });
    },
    read: async (name) => {
      const entry = entries.get(name);
      if (down) return err('unavailable');
      return entry === undefined ? err('absent') : ok(entry);
    },
    write: async (name, value, expected) => {
      if (down) return err('unavailable');
      if (entries.get(name)?.revision !== expected) return err('conflict');
      return ok(put(name, value));
    },
    remove: async (name) => {
      if (down) return err('unavailable');
      entries.delete(name);
      return ok(undefined);
    },
  };
}
