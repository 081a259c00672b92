/**
 * When other data centres last gave a sign of life. Nodes exchange ages, so that what a gateway VM
 * heard reaches its whole data centre without clocks being compared.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { DataCentreId } from '@hibiscusbank/core';

/** A data centre counts as unreachable after this time without a sign of life. */
export const DATA_CENTRE_TIMEOUT_MS = 15_000;

/**
 * Ages travel in tenths of a second, rounded up past the next one. The receiver subtracts the age on
 * arrival, so without this margin the delay of each message would make a sign of life younger.
 */
const AGE_UNIT_MS = 100;

/** Older signs of life are not passed on, which keeps messages small in long partitions. */
const MAX_SENT_AGE_MS = 60_000;

export type DataCentreAges = Readonly<Record<string, number>>;

export interface DataCentreClock {
  /** Records a message from the data centre. */
  hear(dataCentre: DataCentreId): void;
  lastHeardMs(dataCentre: DataCentreId): number;
  /** Ages to send to a peer. */
  write(): DataCentreAges;
  /** Takes the ages that a peer of the same data centre sent. */
  read(ages: DataCentreAges): void;
}

/** Creates the record of one node. */
export function createDataCentreClock(): DataCentreClock {
  const heardAt = new Map<DataCentreId, number>();
  const raise = (dataCentre: DataCentreId, at: number): void => {
    if (at > (heardAt.get(dataCentre) ?? -Infinity)) heardAt.set(dataCentre, at);
  };
  return {
    hear: (dataCentre) => raise(dataCentre, monotonicMs()),
    lastHeardMs: (dataCentre) => heardAt.get(dataCentre) ?? -Infinity,
    write: () => {
      const now = monotonicMs();
      const recent = [...heardAt].filter(([, at]) => now - at <= MAX_SENT_AGE_MS);
      return Object.fromEntries(
        recent.map(([dc, at]) => [dc, Math.ceil((now - at) / AGE_UNIT_MS) + 1]),
      );
    },
    read: (ages) => {
      for (const [dataCentre, age] of Object.entries(ages)) {
        raise(dataCentre as DataCentreId, monotonicMs() - age * AGE_UNIT_MS);
      }
    },
  };
}
