/** Log of a replica's most recent changes, each with the position that preceded it. */
import type { ConfigurationEntry, Position } from './types.js';

/** Changes kept for peers that are behind. A change takes about 400 bytes. */
export const MAX_LOGGED_CHANGES = 1_000;

interface LoggedChange {
  readonly before: Position;
  readonly entry: ConfigurationEntry;
}

export interface ChangeLog {
  append(before: Position, entry: ConfigurationEntry): void;
  /** Returns the last change of each key after a position; `undefined` if the log lacks the position. */
  listAfter(position: Position): readonly ConfigurationEntry[] | undefined;
}

/** Creates an empty log. */
export function createChangeLog(): ChangeLog {
  const changes: LoggedChange[] = [];
  return {
    append: (before, entry) => {
      changes.push({ before, entry });
      if (changes.length > MAX_LOGGED_CHANGES) changes.shift();
    },
    // Positions are matched by digest only. Equal digests mean equal entries even at different
    // revisions: a node that learned of a deletion from a list has it at the revision of the list.
    listAfter: ({ digest }) => {
      const start = changes.findIndex(({ before }) => before.digest === digest);
      if (start < 0) return undefined;
      const latest = new Map<string, ConfigurationEntry>();
      for (const { entry } of changes.slice(start)) {
        latest.delete(entry.key);
        latest.set(entry.key, entry);
      }
      return [...latest.values()];
    },
  };
}
