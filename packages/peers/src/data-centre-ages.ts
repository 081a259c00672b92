/**
 * Time of the last contact with each other data centre. Gateway VMs pass their contacts on to the
 * local data centre as ages, because the monotonic times of different VMs cannot be compared.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { DataCentreId } from '@hibiscusbank/core';

/** A data centre counts as unreachable after this time without contact. */
export const DATA_CENTRE_TIMEOUT_MS = 15_000;

/**
 * Ages are sent in tenths of a second, rounded up, plus one. The receiver subtracts the age from
 * the time of arrival, so without this margin the delay of each message would make a contact look
 * more recent than it was.
 */
const AGE_UNIT_MS = 100;

/** Older contacts are not sent, which keeps messages small during long partitions. */
const MAX_SENT_AGE_MS = 60_000;

/** Age of the last contact by data centre, in units of `AGE_UNIT_MS`. */
export type DataCentreAges = Readonly<Record<string, number>>;

export interface DataCentreContacts {
  /** Records a message received from the data centre now. */
  recordContact(dataCentre: DataCentreId): void;
  /** Returns the monotonic time of the last contact, or `-Infinity` if there was none. */
  lastContactMs(dataCentre: DataCentreId): number;
  /** Returns the ages to send to a peer. */
  exportAges(): DataCentreAges;
  /** Applies those ages from a peer of the local data centre that mean a more recent contact. */
  mergeAges(ages: DataCentreAges): void;
}

/** Creates the record of the contacts of one node. */
export function createDataCentreContacts(): DataCentreContacts {
  const lastContactAt = new Map<DataCentreId, number>();
  const raiseLastContact = (dataCentre: DataCentreId, at: number): void => {
    if (at > (lastContactAt.get(dataCentre) ?? -Infinity)) lastContactAt.set(dataCentre, at);
  };
  return {
    recordContact: (dataCentre) => raiseLastContact(dataCentre, monotonicMs()),
    lastContactMs: (dataCentre) => lastContactAt.get(dataCentre) ?? -Infinity,
    exportAges: () => {
      const now = monotonicMs();
      const recent = [...lastContactAt].filter(([, at]) => now - at <= MAX_SENT_AGE_MS);
      return Object.fromEntries(
        recent.map(([dc, at]) => [dc, Math.ceil((now - at) / AGE_UNIT_MS) + 1]),
      );
    },
    mergeAges: (ages) => {
      for (const [dataCentre, age] of Object.entries(ages)) {
        raiseLastContact(dataCentre as DataCentreId, monotonicMs() - age * AGE_UNIT_MS);
      }
    },
  };
}
