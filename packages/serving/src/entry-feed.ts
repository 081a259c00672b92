/**
 * Follows the entries of one kind in the platform's store. In a large data centre only some nodes
 * watch the store; they forward changes, and the other nodes apply them.
 */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { EntryChange, EntryList, EntryStore, StoredEntry, StoreFailure } from './ports.js';
import type { RestoredEntries } from './restored-entries.js';
import { comparePositions, laterPosition, ORIGIN } from './store-era.js';
import type { StoreEra, StorePosition } from './store-era.js';

/** The pause doubles after each failed call, so that an outage does not cause a storm of calls. */
const FIRST_RETRY_MS = 150;

const MS_PER_S = 1_000;

/**
 * All relevant changes after one revision and up to another of the same era. `FeedOptions.digest`
 * decides which changes are relevant.
 */
export interface EntryDelta extends StorePosition {
  /** Revision of the last relevant change before these. */
  readonly after: number;
  readonly changes: readonly EntryChange[];
}

export interface FeedOptions {
  readonly kind: string;
  readonly store: EntryStore;
  /** The era of the store, shared by all feeds of the node. */
  readonly era: StoreEra;
  /** Entries that stay in force for a while after the store was restored. */
  readonly restored: RestoredEntries;
  readonly telemetry: Telemetry;
  /** Maximum time for which one watch waits for changes. */
  readonly waitMs: number;
  /** Maximum pause after a failed call. */
  readonly maxRetryMs: number;
  /** Pause between two watches, in which changes are batched. */
  readonly pauseMs: number;
  /**
   * Returns a digest of the relevant parts of an entry. A change that leaves the digest unchanged
   * is not forwarded. Without this function every change is relevant.
   */
  readonly digest?: (entry: StoredEntry) => string;
  /**
   * Resolves when this node should watch the store itself. Without this function it always does.
   */
  readonly whenSelected?: (signal: AbortSignal) => Promise<void>;
  readonly onChange: (entries: ReadonlyMap<string, StoredEntry>) => void;
  /** Called with changes that this node read from the store before a peer sent them. */
  readonly onStoreDelta?: (delta: EntryDelta) => void;
}

export interface EntryFeed {
  /** Returns the entries in force. */
  entries(): ReadonlyMap<string, StoredEntry>;
  /** Returns the position up to which changes are applied; `ORIGIN` before the first list. */
  position(): StorePosition;
  /**
   * Returns the position of the last relevant change that was applied. A peer with an earlier one is
   * behind.
   */
  changePosition(): StorePosition;
  /** Returns the entries of the store as a list, for peers that cannot reach it. */
  list(): EntryList;
  /** Returns the time since the last response of the store. */
  sinceLastContactMs(): number;
  /** Returns false from a failed call until the next successful one. */
  isConnected(): boolean;
  /** Applies a peer's list if it is newer. Returns whether it was. */
  adopt(list: EntryList): boolean;
  /** Applies changes that a peer forwarded. Returns false when earlier changes are missing here. */
  apply(delta: EntryDelta): boolean;
  /** Records that a peer knows of no relevant change after `change` up to `upTo` of the same era. */
  confirm(change: StorePosition, upTo: number): void;
  /** Follows the store until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

function toRemoval({ name, era, revision }: StoredEntry): EntryChange {
  return { name, era, revision, value: null, isRemoved: true };
}

/** Creates the feed. No calls are made before `run`. */
export function createEntryFeed(options: FeedOptions): EntryFeed {
  const { kind, store, era, restored, telemetry } = options;
  const readDigest = options.digest ?? ((entry) => `${entry.era} ${entry.revision}`);
  const digests = new Map<string, string>();
  const entries = new Map<string, StoredEntry>();
  let inForce: ReadonlyMap<string, StoredEntry> = entries;
  let position = ORIGIN;
  let changePosition = ORIGIN;
  let lastContactAt = -Infinity;
  let connected = true;
  let failures = 0;
  let lostHistories = 0;
  let lastFailedCallMs = 0;
  let settleTimer: NodeJS.Timeout | undefined;

  const recordResponse = (): void => {
    const now = monotonicMs();
    if (!connected) {
      const silentMs = Math.round(now - lastContactAt);
      if (Number.isFinite(silentMs)) {
        telemetry.metrics.storeSilenceSeconds.observe({ kind }, silentMs / MS_PER_S);
      }
      telemetry.log('storeRegained', { kind, ...position, silentMs, failures, lastFailedCallMs });
    }
    lastContactAt = now;
    failures = 0;
    connected = true;
  };

  const recordFailure = (failure: StoreFailure, calledAt: number): void => {
    lastFailedCallMs = Math.round(monotonicMs() - calledAt);
    if (connected)
      telemetry.log('storeLost', { kind, failure, ...position, callMs: lastFailedCallMs });
    connected = false;
    failures += 1;
  };

  const pauseMsAfter = (count: number): number =>
    Math.min(options.maxRetryMs, FIRST_RETRY_MS * 2 ** Math.max(0, count - 1));

  /** Passes on the entries in force, again when those that are kept no longer are. */
  const publish = (): void => {
    inForce = restored.merge(entries);
    options.onChange(inForce);
    clearTimeout(settleTimer);
    const nextMs = restored.nextChangeMs();
    if (nextMs === undefined) return;
    settleTimer = setTimeout(publish, nextMs);
    settleTimer.unref();
  };

  /** Applies one change. Returns whether it is relevant. */
  const applyChange = (change: EntryChange): boolean => {
    const known = entries.get(change.name);
    if (known !== undefined && comparePositions(known, change) > 0) return false;
    if (change.isRemoved) {
      const wasKept = restored.settle(change);
      digests.delete(change.name);
      if (known !== undefined) restored.recordRemoval(known);
      return entries.delete(change.name) || wasKept;
    }
    const digest = readDigest(change);
    const { name, value } = change;
    entries.set(name, { name, era: change.era, revision: change.revision, value });
    if (digests.get(name) === digest) return false;
    digests.set(name, digest);
    return true;
  };

  /** Applies changes up to a position. Returns the relevant ones. */
  const applyChanges = (
    changes: readonly EntryChange[],
    upTo: StorePosition,
  ): readonly EntryChange[] => {
    const relevant = changes.filter(applyChange);
    position = laterPosition(position, upTo);
    if (relevant.length > 0) {
      changePosition = laterPosition(changePosition, upTo);
      publish();
    }
    return relevant;
  };

  /**
   * Whether a change may be applied: an older change must not bring back an entry that was removed
   * since.
   */
  const isApplicable = (change: EntryChange): boolean =>
    change.era === position.era &&
    (change.isRemoved || entries.has(change.name) || change.revision > position.revision);

  const notify = (after: StorePosition, changes: readonly EntryChange[]): void => {
    // Peers cannot apply changes to an earlier era; they read the list of the new one.
    if (changes.length === 0 || after.era !== position.era) return;
    options.onStoreDelta?.({ after: after.revision, ...position, changes });
  };

  /** Starts over with a list of a later era; what was in force is bridged. */
  const beginEra = (list: EntryList): void => {
    restored.begin(inForce);
    entries.clear();
    digests.clear();
    for (const entry of list.entries) applyChange({ ...entry, isRemoved: false });
    position = { era: list.era, revision: list.revision };
    changePosition = position;
    publish();
  };

  /**
   * Replaces all entries. Returns the relevant changes to forward, none for the first list, or
   * `undefined` for a list that is not newer.
   */
  const replace = (list: EntryList): readonly EntryChange[] | undefined => {
    if (comparePositions(list, position) <= 0 || !era.observe(list.era)) return undefined;
    const isFirst = position.revision === 0;
    if (!isFirst && list.era !== position.era) {
      beginEra(list);
      return [];
    }
    const listed = new Map(list.entries.map((entry) => [entry.name, entry]));
    const removed = [...entries.values()].filter(({ name }) => !listed.has(name)).map(toRemoval);
    const present = list.entries.map((entry): EntryChange => ({ ...entry, isRemoved: false }));
    const relevant = applyChanges([...removed, ...present], list);
    if (relevant.length === 0 && isFirst) {
      changePosition = position;
      publish();
    }
    return isFirst ? [] : relevant;
  };

  const readList = async (): Promise<boolean> => {
    const calledAt = monotonicMs();
    const result = await store.list();
    if (result.isErr()) {
      recordFailure(result.error, calledAt);
      return false;
    }
    recordResponse();
    const after = changePosition;
    notify(after, replace(result.value) ?? []);
    return true;
  };

  /** Watches until there are changes, the wait ends, or the store turns out to be restored. */
  const openWatch = async (signal: AbortSignal) => {
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    const forget = era.onChange(abort);
    signal.addEventListener('abort', abort, { once: true });
    const result = await store.watch(
      position,
      failures > 0 ? 0 : options.waitMs,
      controller.signal,
    );
    forget();
    signal.removeEventListener('abort', abort);
    return result;
  };

  /**
   * Watches once for changes, and pauses before the next watch. After a failed call the watch does
   * not wait for changes, so that its response shows at once that the store answers again. Returns
   * false when the list has to be read, because the store no longer has the history after the local
   * position.
   */
  const watch = async (signal: AbortSignal): Promise<boolean> => {
    const calledAt = monotonicMs();
    const result = await openWatch(signal);
    if (position.era < era.current()) return false;
    if (result.isErr()) {
      if (result.error === 'history_lost') {
        lostHistories += 1;
        if (lostHistories > 1) await sleep(pauseMsAfter(lostHistories - 1), signal);
        return false;
      }
      recordFailure(result.error, calledAt);
      await sleep(pauseMsAfter(failures), signal);
      return true;
    }
    recordResponse();
    lostHistories = 0;
    const after = changePosition;
    notify(after, applyChanges(result.value.changes.filter(isApplicable), result.value));
    await sleep(options.pauseMs, signal);
    return true;
  };

  return {
    entries: () => inForce,
    position: () => position,
    changePosition: () => changePosition,
    list: () => ({ entries: [...entries.values()], ...position }),
    sinceLastContactMs: () => monotonicMs() - lastContactAt,
    isConnected: () => connected,
    adopt: (list) => replace(list) !== undefined,
    apply: (delta) => {
      if (delta.era !== position.era || delta.after > position.revision) return false;
      if (delta.revision > position.revision)
        applyChanges(delta.changes.filter(isApplicable), delta);
      return true;
    },
    confirm: (change, upTo) => {
      if (change.era !== position.era || position.revision === 0) return;
      if (position.revision >= change.revision)
        position = laterPosition(position, { era: change.era, revision: upTo });
    },
    run: async (signal) => {
      let mustList = true;
      const follow = async (): Promise<void> => {
        if (mustList || position.era < era.current()) {
          mustList = !(await readList());
          if (mustList) await sleep(pauseMsAfter(failures), signal);
        } else {
          mustList = !(await watch(signal));
        }
      };
      while (!signal.aborted) {
        if (position.revision !== 0) await options.whenSelected?.(signal);
        if (signal.aborted) break;
        try {
          await follow();
        } catch (thrown) {
          telemetry.log('feedFailed', { kind, error: String(thrown) });
          await sleep(options.maxRetryMs, signal);
        }
      }
      clearTimeout(settleTimer);
    },
  };
}
