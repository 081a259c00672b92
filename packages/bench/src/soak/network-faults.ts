/** Which parts of the emulated site reach each other. */
import { createError } from '@hibiscusbank/core';
import type { DataCentreId } from '@hibiscusbank/core';

export interface NetworkFaults {
  /** Cuts two data centres off from each other. */
  partition(one: string, other: string): void;
  cutFromPlatform(dataCentre: string): void;
  setOutage(out: boolean): void;
  /** The answers to the next `count` writes are lost after they took effect. */
  loseAnswers(count: number): void;
  takeLostAnswer(): boolean;
  heal(): void;
  isCut(one: DataCentreId, other: DataCentreId): boolean;
  reachesPlatform(dataCentre: DataCentreId): boolean;
}

/** Creates a network without faults. */
export function createNetworkFaults(): NetworkFaults {
  const cuts = new Set<string>();
  const withoutPlatform = new Set<string>();
  let out = false;
  let lostAnswers = 0;
  return {
    partition: (one, other) => {
      cuts.add(`${one} ${other}`);
      cuts.add(`${other} ${one}`);
    },
    cutFromPlatform: (dataCentre) => {
      withoutPlatform.add(dataCentre);
    },
    setOutage: (next) => {
      out = next;
    },
    loseAnswers: (count) => {
      lostAnswers += count;
    },
    takeLostAnswer: () => {
      if (lostAnswers === 0) return false;
      lostAnswers -= 1;
      return true;
    },
    heal: () => {
      cuts.clear();
      withoutPlatform.clear();
      out = false;
      lostAnswers = 0;
    },
    isCut: (one, other) => cuts.has(`${one} ${other}`),
    reachesPlatform: (dataCentre) => !out && !withoutPlatform.has(dataCentre),
  };
}

export const unavailable = () =>
  createError('platform_unavailable', 'the platform does not answer; retry', { effect: 'unknown' });
