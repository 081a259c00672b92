/** Stores leases as entries in the platform's store. */
import { createError } from '@hibiscusbank/core';
import type { ErrorKind, RouterError } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EntryStore, StoredEntry, StoreFailure } from './ports.js';

const ERROR_KIND_BY_FAILURE: Readonly<Record<StoreFailure, ErrorKind>> = {
  unavailable: 'platform_unavailable',
  history_lost: 'history_lost',
  conflict: 'conflict',
  absent: 'not_found',
};

function toError(failure: StoreFailure): RouterError {
  return createError(
    ERROR_KIND_BY_FAILURE[failure],
    `lease call to the store failed: ${failure}; it will be retried`,
  );
}

/**
 * Converts an entry to an object. The value of the entry includes the write id, by which a writer
 * recognises its own write whose response was lost.
 */
function toObject({ name, revision, value }: StoredEntry): StoredObject {
  const { writeId, held } = value as { readonly writeId?: string; readonly held?: unknown };
  return { key: name, value: held, version: revision, writeId: writeId ?? '' };
}

/** Creates the object API calls that a lease needs. */
export function createLeaseObjects(store: EntryStore): Pick<ObjectApi, 'get' | 'put'> {
  const get = async (key: string): Promise<Result<StoredObject | undefined, RouterError>> => {
    const entry = await store.read(key);
    if (entry.isOk()) return ok(toObject(entry.value));
    return entry.error === 'absent' ? ok(undefined) : err(toError(entry.error));
  };
  return {
    get: (key) => new ResultAsync(get(key)),
    put: (key, held, { writeId, ifVersion }) =>
      new ResultAsync(
        store
          .write(key, { writeId, held }, ifVersion)
          .then((written) => written.map(toObject).mapErr(toError)),
      ),
  };
}
