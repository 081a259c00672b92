/** Reads configuration from the platform's object API by complete lists and by watches. */
import { createError, unwrap, withTimeout } from '@hibiscusbank/core';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { CONFIGURATION_PREFIX } from './types.js';
import type { ConfigurationEntry, Snapshot } from './types.js';

/** Bounds the time to detect a stalled watch, since a change has to reach all nodes within 18 s. */
const WATCH_DURATION_MS = 5_000;

/** Guards against an `ObjectApi` that never answers. The HTTP adapter itself times out after 2 s. */
const RESPONSE_TIMEOUT_MS = 3_000;

/** Prefix that no object has; listing it returns only the revision of the store. */
const EMPTY_PREFIX = `${CONFIGURATION_PREFIX}.revision/`;

export interface WatchBatch {
  /** Revision of the platform's store up to which the changes are complete. */
  readonly revision: number;
  readonly changes: readonly ConfigurationEntry[];
}

export interface PlatformSource {
  list(): Promise<Snapshot>;
  /** Returns the current revision of the platform's store. */
  readRevision(): Promise<number>;
  /**
   * Waits for changes after a revision. Rejects if the watch does not end in time, or if it returns no
   * changes and a revision below `expected`, which the store is known to have reached.
   */
  watch(after: number, expected: number, signal: AbortSignal): Promise<WatchBatch>;
}

/** Creates the source on an object API. */
export function createPlatformSource(objectApi: ObjectApi): PlatformSource {
  const list = async (prefix: string): Promise<Snapshot> => {
    const answer = Promise.resolve(objectApi.list(prefix));
    const listed = unwrap(await withTimeout(answer, RESPONSE_TIMEOUT_MS, 'the list'));
    const entries = listed.objects.map(({ key, version, value }) => ({
      key,
      revision: version,
      value,
      deleted: false,
    }));
    return { floor: listed.revision, entries };
  };

  return {
    list: () => list(CONFIGURATION_PREFIX),
    readRevision: async () => (await list(EMPTY_PREFIX)).floor,
    watch: async (after, expected, signal) => {
      const timeoutController = new AbortController();
      const combinedSignal = AbortSignal.any([signal, timeoutController.signal]);
      try {
        const answer = objectApi.watch(
          CONFIGURATION_PREFIX,
          after,
          WATCH_DURATION_MS,
          combinedSignal,
        );
        const limitMs = WATCH_DURATION_MS + RESPONSE_TIMEOUT_MS;
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
        timeoutController.abort();
      }
    },
  };
}
