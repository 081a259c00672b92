/**
 * Follows the entries of one kind in the platform's store. In a large data centre only some nodes
 * watch the store; they pass on what changed, and the others apply it.
 */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { EntryChange, EntryList, EntryStore, StoredEntry, StoreFailure } from './ports.js';

/** Pauses after calls that failed; they double, so that an outage is not met with a storm of calls. */
const FIRST_RETRY_MS = 150;
const MAX_RETRY_MS = 1_200;

/** What changed between two revisions; nothing else of consequence did. */
export interface EntryDelta {
  /** Revision of the change of consequence before these. */
  readonly after: number;
  readonly revision: number;
  readonly changes: readonly EntryChange[];
}

export interface FeedOptions {
  readonly kind: string;
  readonly store: EntryStore;
  readonly telemetry: Telemetry;
  /** Longest wait of one watch. */
  readonly waitMs: number;
  /** Pause between two watches, in which changes gather. */
  readonly pauseMs: number;
  /**
   * Text of what matters in an entry. A change that leaves it as it was is not passed on. Without
   * it every change matters.
   */
  readonly digest?: (entry: StoredEntry) => string;
  /** Resolves when this node is to watch the store itself; at once without it. */
  readonly whenOnDuty?: (signal: AbortSignal) => Promise<void>;
  readonly onChange: (entries: ReadonlyMap<string, StoredEntry>) => void;
  /** Called with what this node learned from the store before its peers told it. */
  readonly onLearned?: (delta: EntryDelta) => void;
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
  /** False from a call that failed until the next answer. */
  isConnected(): boolean;
  /** Takes over a newer list that a peer has; older ones are ignored. */
  adopt(list: EntryList): boolean;
  /** Applies changes that a peer passed on; false when some before them are missing here. */
  apply(delta: EntryDelta): boolean;
  /** Takes note that a peer knows of no change after `changeRevision` up to `revision`. */
  confirm(changeRevision: number, revision: number): void;
  /** Runs until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

function toRemoval({ name, revision }: StoredEntry): EntryChange {
  return { name, revision, value: null, isRemoved: true };
}

/** Creates the feed; nothing is called before `run`. */
export function createObjectFeed(options: FeedOptions): ObjectFeed {
  const { kind, store, telemetry, onChange } = options;
  const readDigest = options.digest ?? (({ revision }) => String(revision));
  const digests = new Map<string, string>();
  const entries = new Map<string, StoredEntry>();
  let revision = 0;
  let changeRevision = 0;
  let answeredAt = -Infinity;
  let connected = true;
  let failures = 0;

  const noteAnswer = (): void => {
    answeredAt = monotonicMs();
    failures = 0;
    if (!connected) telemetry.log('storeRegained', { kind, revision });
    connected = true;
  };

  const noteFailure = (failure: StoreFailure): void => {
    if (connected) telemetry.log('storeLost', { kind, failure, revision });
    connected = false;
    failures += 1;
  };

  const retryPauseMs = (): number =>
    Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.max(0, failures - 1));

  /** Returns whether the change is one of consequence. */
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

  /** Applies changes up to a revision; returns those of consequence. */
  const applyChanges = (changes: readonly EntryChange[], upTo: number): readonly EntryChange[] => {
    const kept = changes.filter(applyChange);
    revision = Math.max(revision, upTo);
    if (kept.length > 0) {
      changeRevision = Math.max(changeRevision, upTo);
      onChange(entries);
    }
    return kept;
  };

  /** An older entry of a name that was removed since must not come back. */
  const isNews = (change: EntryChange): boolean =>
    change.isRemoved || entries.has(change.name) || change.revision > revision;

  const tell = (after: number, changes: readonly EntryChange[]): void => {
    if (changes.length > 0) options.onLearned?.({ after, revision, changes });
  };

  /** Replaces all entries; returns what changed, or `undefined` for a list that is not newer. */
  const replace = (list: EntryList): readonly EntryChange[] | undefined => {
    if (list.revision <= revision) return undefined;
    const isFirst = revision === 0;
    const listed = new Map(list.entries.map((entry) => [entry.name, entry]));
    const removed = [...entries.values()].filter(({ name }) => !listed.has(name)).map(toRemoval);
    const present = list.entries.map((entry): EntryChange => ({ ...entry, isRemoved: false }));
    const kept = applyChanges([...removed, ...present], list.revision);
    if (kept.length === 0 && isFirst) {
      changeRevision = revision;
      onChange(entries);
    }
    return isFirst ? [] : kept;
  };

  const readList = async (): Promise<boolean> => {
    const result = await store.list();
    if (result.isErr()) {
      noteFailure(result.error);
      return false;
    }
    noteAnswer();
    const after = changeRevision;
    tell(after, replace(result.value) ?? []);
    return true;
  };

  /** Returns false when the history after the known revision is gone. */
  const watch = async (): Promise<boolean> => {
    const result = await store.watch(revision, options.waitMs);
    if (result.isErr()) {
      if (result.error !== 'history_lost') noteFailure(result.error);
      await sleep(result.error === 'history_lost' ? 0 : retryPauseMs());
      return result.error !== 'history_lost';
    }
    noteAnswer();
    const { changes, revision: upTo } = result.value;
    const after = changeRevision;
    tell(after, applyChanges(changes.filter(isNews), upTo));
    return true;
  };

  return {
    entries: () => entries,
    revision: () => revision,
    changeRevision: () => changeRevision,
    list: () => ({ entries: [...entries.values()], revision }),
    silenceMs: () => monotonicMs() - answeredAt,
    isConnected: () => connected,
    adopt: (list) => replace(list) !== undefined,
    apply: (delta) => {
      if (delta.after > revision) return false;
      if (delta.revision > revision) applyChanges(delta.changes.filter(isNews), delta.revision);
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
        await options.whenOnDuty?.(signal);
        if (signal.aborted) return;
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
