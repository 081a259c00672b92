/** Stores leases as entries in the platform's store. */
import { createError } from '@hibiscusbank/core';
import type { ErrorKind, RouterError } from '@hibiscusbank/core';
import { createLease } from '@hibiscusbank/object-api';
import type {
  Lease,
  LeaseHistory,
  LeaseOptions,
  ObjectApi,
  StoredObject,
} from '@hibiscusbank/object-api';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EntryStore, StoredEntry, StoreFailure } from './ports.js';
import type { StoreEra, StorePosition } from './store-era.js';

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
 * Versions and fencing tokens increase with the era, so that a later holder has a higher one also
 * after a restored store has given out revisions again. Both numbers fit below 2 to the power of 53.
 */
const VERSIONS_PER_ERA = 2 ** 32;

const toVersion = ({ era, revision }: StorePosition): number => era * VERSIONS_PER_ERA + revision;

const toPosition = (version: number): StorePosition => ({
  era: Math.floor(version / VERSIONS_PER_ERA),
  revision: version % VERSIONS_PER_ERA,
});

/** What the era of the store says about leases. */
export function createLeaseHistory(era: StoreEra): LeaseHistory {
  return {
    isCurrent: (version) => toPosition(version).era === era.current(),
    lostWritesAgoMs: era.sinceChangeMs,
  };
}

/**
 * Converts an entry to an object. The value of the entry includes the write id, by which a writer
 * recognises its own write whose response was lost.
 */
function toObject(entry: StoredEntry): StoredObject {
  const { writeId, held } = (entry.value ?? {}) as {
    readonly writeId?: unknown;
    readonly held?: unknown;
  };
  return {
    key: entry.name,
    // An object that is no lease counts as one of an unknown holder.
    value: typeof held === 'object' && held !== null ? held : {},
    version: toVersion(entry),
    writeId: typeof writeId === 'string' ? writeId : '',
  };
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
          .write(
            key,
            { writeId, held },
            ifVersion === undefined ? undefined : toPosition(ifVersion),
          )
          .then((written) => written.map(toObject).mapErr(toError)),
      ),
  };
}

export interface LeaseFactoryOptions extends Pick<LeaseOptions, 'holder' | 'telemetry'> {
  readonly store: EntryStore;
  readonly era: StoreEra;
}

/** Returns a function that creates the lease of a key for one holder. */
export function createLeaseFactory(options: LeaseFactoryOptions): (key: string) => Lease {
  const { store, era, holder, telemetry } = options;
  const objectApi = createLeaseObjects(store);
  const history = createLeaseHistory(era);
  return (key) => createLease({ objectApi, history, key, holder, telemetry });
}
