/** The last changes of a replica, each with the position before it. */
import type { ConfigurationEntry, Position } from './types.js';

/** Changes kept for peers that are behind; a change has about 400 bytes. */
export const LOG_LENGTH = 1_000;

interface LoggedChange {
  readonly before: Position;
  readonly entry: ConfigurationEntry;
}

export interface ChangeLog {
  append(before: Position, entry: ConfigurationEntry): void;
  /** The last change of each key after a position, or `undefined` when the log does not have it. */
  listAfter(position: Position): readonly ConfigurationEntry[] | undefined;
}

/** Creates an empty log. */
export function createChangeLog(): ChangeLog {
  const changes: LoggedChange[] = [];
  return {
    append: (before, entry) => {
      changes.push({ before, entry });
      if (changes.length > LOG_LENGTH) changes.shift();
    },
    // Equal digests mean equal entries, also at different revisions: a node that found a deletion
    // by a list has it at the revision of the list.
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
