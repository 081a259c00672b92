/** Simulates network partitions, platform outages and lost responses. */
import { createError } from '@hibiscusbank/core';
import type { DataCentreId } from '@hibiscusbank/core';

export interface NetworkFaults {
  /** Blocks all traffic between two data centres. */
  partition(one: string, other: string): void;
  disconnectFromPlatform(dataCentre: string): void;
  /** Makes the platform unreachable for all data centres, or reachable again. */
  setOutage(hasOutage: boolean): void;
  /** Drops the responses to the next `count` writes to the platform; the writes still take effect. */
  loseResponses(count: number): void;
  /** Tells whether the response to the current write is lost, and decrements the number of responses to drop. */
  consumeLostResponse(): boolean;
  /** Ends all faults. */
  heal(): void;
  isPartitioned(one: DataCentreId, other: DataCentreId): boolean;
  reachesPlatform(dataCentre: DataCentreId): boolean;
}

export function createNetworkFaults(): NetworkFaults {
  const partitions = new Set<string>();
  const disconnectedDataCentres = new Set<string>();
  let hasOutage = false;
  let responsesToLose = 0;
  return {
    partition: (one, other) => {
      partitions.add(`${one} ${other}`);
      partitions.add(`${other} ${one}`);
    },
    disconnectFromPlatform: (dataCentre) => {
      disconnectedDataCentres.add(dataCentre);
    },
    setOutage: (next) => {
      hasOutage = next;
    },
    loseResponses: (count) => {
      responsesToLose += count;
    },
    consumeLostResponse: () => {
      if (responsesToLose === 0) return false;
      responsesToLose -= 1;
      return true;
    },
    heal: () => {
      partitions.clear();
      disconnectedDataCentres.clear();
      hasOutage = false;
      responsesToLose = 0;
    },
    isPartitioned: (one, other) => partitions.has(`${one} ${other}`),
    reachesPlatform: (dataCentre) => !hasOutage && !disconnectedDataCentres.has(dataCentre),
  };
}

export const createUnavailableError = () =>
  createError('platform_unavailable', 'the platform does not answer; retry', { effect: 'unknown' });
