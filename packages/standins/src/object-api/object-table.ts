/** In-memory objects with versions, conditional writes and watches. */

export interface StoredObject {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  readonly writeId: string;
  readonly deleted: boolean;
}

export interface WriteCall {
  readonly key: string;
  readonly value: unknown;
  readonly writeId: string;
  readonly deleted: boolean;
  readonly ifVersion: number | undefined;
  readonly ifAbsent: boolean;
}

export type WriteResult =
  | { readonly kind: 'written'; readonly object: StoredObject }
  | { readonly kind: 'conflict'; readonly version: number };

export interface ChangeBatch {
  readonly revision: number;
  readonly changes: readonly StoredObject[];
}

export interface WatchHandle {
  /**
   * Resolves to `undefined` if changes after the requested revision are no longer in the history.
   */
  readonly done: Promise<ChangeBatch | undefined>;
  /** Ends the wait; `done` resolves to the changes so far. */
  cancel(): void;
}

export interface ObjectTable {
  revision(): number;
  get(key: string): StoredObject | undefined;
  list(prefix: string): StoredObject[];
  write(call: WriteCall): WriteResult;
  /** Waits up to `waitMs` for a change under the prefix after the revision `after`. */
  watch(prefix: string, after: number, waitMs: number): WatchHandle;
  /** Returns the number of waiting watches. */
  waiting(): number;
  /** Ends all waiting watches. */
  stop(): void;
}

interface Waiter {
  readonly prefix: string;
  readonly wake: () => void;
}

/**
 * Creates an empty table that keeps at least the last `historyLength` changes, and fewer than twice
 * as many.
 */
export function createObjectTable(historyLength: number): ObjectTable {
  const objects = new Map<string, StoredObject>();
  const waiters = new Set<Waiter>();
  let history: StoredObject[] = [];
  let revision = 0;
  let lastDroppedRevision = 0;

  /**
   * The versions in the history are consecutive, so the position of a change follows from its
   * version.
   */
  const changesAfter = (after: number, prefix: string): StoredObject[] => {
    const start = Math.max(0, after - lastDroppedRevision);
    return history.slice(start).filter((change) => change.key.startsWith(prefix));
  };
  const trim = (): void => {
    // Trimming half of the history at once keeps the amortised cost of a write constant.
    if (history.length < 2 * historyLength) return;
    history = history.slice(-historyLength);
    lastDroppedRevision = revision - history.length;
  };
  const record = (stored: StoredObject): void => {
    if (stored.deleted) objects.delete(stored.key);
    else objects.set(stored.key, stored);
    history.push(stored);
    trim();
    for (const waiter of [...waiters]) {
      if (stored.key.startsWith(waiter.prefix)) waiter.wake();
    }
  };
  const hasConflict = (call: WriteCall): boolean => {
    const current = objects.get(call.key);
    if (call.ifAbsent) return current !== undefined;
    return call.ifVersion !== undefined && (current?.version ?? 0) !== call.ifVersion;
  };
  const readChanges = (prefix: string, after: number): ChangeBatch | undefined =>
    after < lastDroppedRevision ? undefined : { revision, changes: changesAfter(after, prefix) };

  return {
    revision: () => revision,
    get: (key) => objects.get(key),
    list: (prefix) => [...objects.values()].filter((object) => object.key.startsWith(prefix)),
    write: (call) => {
      if (hasConflict(call)) {
        return { kind: 'conflict', version: objects.get(call.key)?.version ?? 0 };
      }
      revision += 1;
      const { key, value, writeId, deleted } = call;
      const object = { key, value, version: revision, writeId, deleted };
      record(object);
      return { kind: 'written', object };
    },
    watch: (prefix, after, waitMs) => {
      const batch = readChanges(prefix, after);
      const isReady = batch === undefined || batch.changes.length > 0 || waitMs <= 0;
      if (isReady) return { done: Promise.resolve(batch), cancel: () => {} };
      let cancelWait = (): void => {};
      const done = new Promise<ChangeBatch | undefined>((resolve) => {
        let timer: NodeJS.Timeout | undefined;
        const waiter: Waiter = {
          prefix,
          wake: () => {
            clearTimeout(timer);
            waiters.delete(waiter);
            resolve(readChanges(prefix, after));
          },
        };
        timer = setTimeout(waiter.wake, waitMs);
        waiters.add(waiter);
        cancelWait = waiter.wake;
      });
      return { done, cancel: cancelWait };
    },
    waiting: () => waiters.size,
    stop: () => {
      for (const waiter of [...waiters]) waiter.wake();
    },
  };
}
