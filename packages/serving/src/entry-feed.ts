/**
 * Follows the entries of one kind in the platform's store. In a large data centre only some nodes
 * watch the store; they forward changes, and the other nodes apply them.
 */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { EntryChange, EntryList, EntryStore, StoredEntry, StoreFailure } from './ports.js';

/** The pause doubles after each failed call, so that an outage does not cause a storm of calls. */
const FIRST_RETRY_MS = 150;

const MS_PER_S = 1_000;

/**
 * All relevant changes after one revision and up to another. `FeedOptions.digest` decides which
 * changes are relevant.
 */
export interface EntryDelta {
  /** Revision of the last relevant change before these. */
  readonly after: number;
  /** Revision up to which `changes` is complete. */
  readonly revision: number;
  readonly changes: readonly EntryChange[];
}

export interface FeedOptions {
  readonly kind: string;
  readonly store: EntryStore;
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
  entries(): ReadonlyMap<string, StoredEntry>;
  /** Returns the revision up to which changes are applied; 0 before the first list. */
  revision(): number;
  /**
   * Returns the revision of the last relevant change that was applied. A peer with a lower one is
   * behind.
   */
  changeRevision(): number;
  /** Returns the entries as a list, for peers that cannot reach the store. */
  list(): EntryList;
  /** Returns the time since the last response of the store. */
  sinceLastContactMs(): number;
  /** Returns false from a failed call until the next successful one. */
  isConnected(): boolean;
  /** Applies a peer's list if it is newer. Returns whether it was. */
  adopt(list: EntryList): boolean;
  /** Applies changes that a peer forwarded. Returns false when earlier changes are missing here. */
  apply(delta: EntryDelta): boolean;
  /** Records that a peer knows of no relevant change after `changeRevision` up to `revision`. */
  confirm(changeRevision: number, revision: number): void;
  /** Follows the store until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

function toRemoval({ name, revision }: StoredEntry): EntryChange {
  return { name, revision, value: null, isRemoved: true };
}

/** Creates the feed. No calls are made before `run`. */
export function createEntryFeed(options: FeedOptions): EntryFeed {
  const { kind, store, telemetry, onChange } = options;
  const readDigest = options.digest ?? (({ revision }) => String(revision));
  const digests = new Map<string, string>();
  const entries = new Map<string, StoredEntry>();
  let revision = 0;
  let changeRevision = 0;
  let lastContactAt = -Infinity;
  let connected = true;
  let failures = 0;
  let lastFailedCallMs = 0;

  const recordResponse = (): void => {
    const now = monotonicMs();
    if (!connected) {
      const silentMs = Math.round(now - lastContactAt);
      if (Number.isFinite(silentMs)) {
        telemetry.metrics.storeSilenceSeconds.observe({ kind }, silentMs / MS_PER_S);
      }
      telemetry.log('storeRegained', { kind, revision, silentMs, failures, lastFailedCallMs });
    }
    lastContactAt = now;
    failures = 0;
    connected = true;
  };

  const recordFailure = (failure: StoreFailure, calledAt: number): void => {
    lastFailedCallMs = Math.round(monotonicMs() - calledAt);
    if (connected)
      telemetry.log('storeLost', { kind, failure, revision, callMs: lastFailedCallMs });
    connected = false;
    failures += 1;
  };

  const retryPauseMs = (): number =>
    Math.min(options.maxRetryMs, FIRST_RETRY_MS * 2 ** Math.max(0, failures - 1));

  /** Applies one change. Returns whether it is relevant. */
  const applyChange = (change: EntryChange): boolean => {
    const known = entries.get(change.name);
    if (known !== undefined && known.revision > change.revision) return false;
    if (change.isRemoved) {
      digests.delete(change.name);
      return entries.delete(change.name);
    }
    const digest = readDigest(change);
    entries.set(change.name, change);
    if (digests.get(change.name) === digest) return false;
    digests.set(change.name, digest);
    return true;
  };

  /** Applies changes up to a revision. Returns the relevant ones. */
  const applyChanges = (changes: readonly EntryChange[], upTo: number): readonly EntryChange[] => {
    const relevant = changes.filter(applyChange);
    revision = Math.max(revision, upTo);
    if (relevant.length > 0) {
      changeRevision = Math.max(changeRevision, upTo);
      onChange(entries);
    }
    return relevant;
  };

  /**
   * Whether a change may be applied: an older change must not bring back an entry that was removed
   * since.
   */
  const isApplicable = (change: EntryChange): boolean =>
    change.isRemoved || entries.has(change.name) || change.revision > revision;

  const notify = (after: number, changes: readonly EntryChange[]): void => {
    if (changes.length > 0) options.onStoreDelta?.({ after, revision, changes });
  };

  /**
   * Replaces all entries. Returns the relevant changes to forward, none for the first list, or
   * `undefined` for a list that is not newer.
   */
  const replace = (list: EntryList): readonly EntryChange[] | undefined => {
    if (list.revision <= revision) return undefined;
    const isFirst = revision === 0;
    const listed = new Map(list.entries.map((entry) => [entry.name, entry]));
    const removed = [...entries.values()].filter(({ name }) => !listed.has(name)).map(toRemoval);
    const present = list.entries.map((entry): EntryChange => ({ ...entry, isRemoved: false }));
    const relevant = applyChanges([...removed, ...present], list.revision);
    if (relevant.length === 0 && isFirst) {
      changeRevision = revision;
      onChange(entries);
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
    const after = changeRevision;
    notify(after, replace(result.value) ?? []);
    return true;
  };

  /**
   * Watches once for changes, and pauses before the next watch. After a failed call the watch does
   * not wait for changes, so that its response shows at once that the store answers again. Returns
   * false when the store no longer has the history after the local revision.
   */
  const watch = async (signal: AbortSignal): Promise<boolean> => {
    const calledAt = monotonicMs();
    const result = await store.watch(revision, failures > 0 ? 0 : options.waitMs);
    if (result.isErr()) {
      if (result.error === 'history_lost') return false;
      recordFailure(result.error, calledAt);
      await sleep(retryPauseMs(), signal);
      return true;
    }
    recordResponse();
    const { changes, revision: upTo } = result.value;
    const after = changeRevision;
    notify(after, applyChanges(changes.filter(isApplicable), upTo));
    await sleep(options.pauseMs, signal);
    return true;
  };

  return {
    entries: () => entries,
    revision: () => revision,
    changeRevision: () => changeRevision,
    list: () => ({ entries: [...entries.values()], revision }),
    sinceLastContactMs: () => monotonicMs() - lastContactAt,
    isConnected: () => connected,
    adopt: (list) => replace(list) !== undefined,
    apply: (delta) => {
      if (delta.after > revision) return false;
      if (delta.revision > revision)
        applyChanges(delta.changes.filter(isApplicable), delta.revision);
      return true;
    },
    confirm: (peerChange, peerRevision) => {
      if (revision >= peerChange && revision > 0) revision = Math.max(revision, peerRevision);
    },
    run: async (signal) => {
      let mustList = true;
      while (!signal.aborted) {
        if (mustList && revision === 0) {
          mustList = !(await readList());
          if (mustList) await sleep(retryPauseMs(), signal);
          continue;
        }
        await options.whenSelected?.(signal);
        if (signal.aborted) return;
        if (mustList) {
          mustList = !(await readList());
          if (mustList) await sleep(retryPauseMs(), signal);
        } else {
          mustList = !(await watch(signal));
        }
      }
    },
  };
}
