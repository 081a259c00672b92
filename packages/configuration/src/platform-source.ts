/** Reads configuration from the platform's object API: complete lists and a checked watch. */
import { createError, unwrap, withTimeout } from '@hibiscusbank/core';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { CONFIGURATION_PREFIX } from './types.js';
import type { ConfigurationEntry, Snapshot } from './types.js';

/** A stalled watch is noticed after this time, well within the 18 s that a change may take. */
const WATCH_WAIT_MS = 5_000;

/** The adapter gives up after 2 s; this guards against a port that never answers. */
const ANSWER_TIMEOUT_MS = 3_000;

/** No object has this prefix: listing it tells the revision of the store and nothing else. */
const EMPTY_PREFIX = `${CONFIGURATION_PREFIX}.revision/`;

export interface WatchBatch {
  /** Revision of the platform's store up to which the changes are complete. */
  readonly revision: number;
  readonly changes: readonly ConfigurationEntry[];
}

export interface PlatformSource {
  list(): Promise<Snapshot>;
  /** Revision of the platform's store. */
  readRevision(): Promise<number>;
  /**
   * Waits for changes after a revision. Rejects when the watch does not end in time, or ends without
   * changes at a revision below `expected`, which others have seen.
   */
  watch(after: number, expected: number, signal: AbortSignal): Promise<WatchBatch>;
}

/** Creates the source on an object API. */
export function createPlatformSource(objectApi: ObjectApi): PlatformSource {
  const list = async (prefix: string): Promise<Snapshot> => {
    const answer = Promise.resolve(objectApi.list(prefix));
    const found = unwrap(await withTimeout(answer, ANSWER_TIMEOUT_MS, 'the list'));
    const entries = found.objects.map(({ key, version, value }) => ({
      key,
      revision: version,
      value,
      deleted: false,
    }));
    return { floor: found.revision, entries };
  };

  return {
    list: () => list(CONFIGURATION_PREFIX),
    readRevision: async () => (await list(EMPTY_PREFIX)).floor,
    watch: async (after, expected, signal) => {
      const giveUp = new AbortController();
      const either = AbortSignal.any([signal, giveUp.signal]);
      try {
        const answer = objectApi.watch(CONFIGURATION_PREFIX, after, WATCH_WAIT_MS, either);
        const limitMs = WATCH_WAIT_MS + ANSWER_TIMEOUT_MS;
        const batch = unwrap(await withTimeout(Promise.resolve(answer), limitMs, 'the watch'));
        if (batch.changes.length === 0 && batch.revision < expected) {
          throw createError('timeout', `the watch stalled at ${batch.revision}; list again`);
        }
        const changes = batch.changes.map(({ key, version, value, deleted }) => ({
          key,
          revision: version,
          value,
          deleted,
        }));
        return { revision: batch.revision, changes };
      } finally {
        giveUp.abort();
      }
    },
  };
}
