/** The entries of a replica and the rules by which they replace each other. */
import { hash32 } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { createChangeLog } from './change-log.js';
import type { ConfigurationEntry, Position, Snapshot } from './types.js';

export interface EntryStore {
  position(): Position;
  get(key: string): ConfigurationEntry | undefined;
  /**
   * Applies the changes after a position that this store has reached. Returns those that took effect,
   * in revision order.
   */
  applyChanges(changes: readonly ConfigurationEntry[]): readonly ConfigurationEntry[];
  /**
   * Merges a complete state. A key that the snapshot lacks counts as deleted at the snapshot's floor,
   * unless the local entry is newer. Returns the entries that took effect, in revision order.
   */
  applySnapshot(snapshot: Snapshot): readonly ConfigurationEntry[];
  /** Records that the state is complete up to a revision of the platform's store. */
  raiseFloor(revision: number): void;
  /** Adopts the revision of a peer that has the same entries. */
  adoptRevision(revision: number): void;
  /** Highest revision of the platform's store up to which the state is known to be complete. */
  floor(): number;
  listAfter(position: Position): readonly ConfigurationEntry[] | undefined;
  snapshot(): Snapshot;
}

function hashEntry({ key, revision }: ConfigurationEntry): number {
  return hash32(`${key}@${revision}`);
}

/* eslint-disable no-bitwise -- exclusive or makes the digest independent of the order of entries */
const toggleInDigest = (digest: number, entry: ConfigurationEntry): number =>
  (digest ^ hashEntry(entry)) >>> 0;
/* eslint-enable no-bitwise */

const byRevision = (a: ConfigurationEntry, b: ConfigurationEntry): number =>
  a.revision - b.revision;

/** Creates an empty store that calls `onEntry` with every entry that takes effect. */
export function createEntryStore(
  telemetry: Telemetry,
  onEntry: (entry: ConfigurationEntry) => void,
): EntryStore {
  const entries = new Map<string, ConfigurationEntry>();
  const log = createChangeLog();
  let position: Position = { revision: 0, digest: 0 };
  let floor = 0;

  const setPosition = (revision: number, digest: number): void => {
    telemetry.invariants.check(
      revision >= position.revision,
      'configuration_revision_monotonic',
      () => `from ${position.revision} to ${revision}`,
    );
    position = { revision, digest };
    telemetry.metrics.configurationRevision.set(revision);
  };

  /** An absent key counts as deleted at the floor, so that a stale entry does not restore it. */
  const isNewer = (entry: ConfigurationEntry): boolean =>
    entry.revision > (entries.get(entry.key)?.revision ?? floor);

  const apply = (entry: ConfigurationEntry): void => {
    const previous = entries.get(entry.key);
    telemetry.invariants.check(
      previous === undefined || entry.revision > previous.revision,
      'configuration_entry_monotonic',
      () => `${entry.key} from ${previous?.revision} to ${entry.revision}`,
    );
    let { digest } = position;
    if (previous !== undefined) digest = toggleInDigest(digest, previous);
    if (!entry.deleted) digest = toggleInDigest(digest, entry);
    log.append(position, entry);
    if (entry.deleted) entries.delete(entry.key);
    else entries.set(entry.key, entry);
    setPosition(Math.max(position.revision, entry.revision), digest);
    onEntry(entry);
  };

  const raiseFloor = (revision: number): void => {
    floor = Math.max(floor, revision);
  };

  const applyAll = (newer: readonly ConfigurationEntry[]): readonly ConfigurationEntry[] => {
    for (const entry of newer) apply(entry);
    return newer;
  };

  return {
    position: () => position,
    get: (key) => entries.get(key),
    floor: () => floor,
    raiseFloor,
    adoptRevision: (revision) => {
      if (revision > position.revision) setPosition(revision, position.digest);
      raiseFloor(revision);
    },
    applyChanges: (changes) => {
      const applied: ConfigurationEntry[] = [];
      for (const entry of [...changes].sort(byRevision)) {
        if (!isNewer(entry)) continue;
        apply(entry);
        applied.push(entry);
      }
      raiseFloor(position.revision);
      return applied;
    },
    applySnapshot: (snapshot) => {
      const snapshotKeys = new Set(snapshot.entries.map((entry) => entry.key));
      const missing = [...entries.values()].filter(
        (entry) => !snapshotKeys.has(entry.key) && entry.revision < snapshot.floor,
      );
      const deletions = missing.map(({ key }) => ({
        key,
        revision: snapshot.floor,
        value: undefined,
        deleted: true,
      }));
      const applied = applyAll(
        [...snapshot.entries, ...deletions].filter(isNewer).sort(byRevision),
      );
      raiseFloor(Math.max(snapshot.floor, position.revision));
      return applied;
    },
    listAfter: (from) => (from.digest === position.digest ? [] : log.listAfter(from)),
    snapshot: () => ({ floor, entries: [...entries.values()] }),
  };
}
