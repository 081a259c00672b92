/** Tracks how recently the platform, or all other data centres, could have reported a key withdrawal. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Membership } from '@hibiscusbank/peers';

/** Added to `unconfirmedKeysMs`: watches and probes take seconds even without a fault. */
const CONFIRMATION_DELAY_MS = 15_000;

const MS_PER_S = 1_000;

export interface Confirmation {
  /** Records an answer from the platform to this node. */
  recordPlatformContact(): void;
  /** Milliseconds since any reachable node had an answer from the platform. */
  platformAgeMs(): number;
  /** Returns the age to send to a peer, in seconds; `undefined` before the first answer. */
  exportPlatformAgeS(): number | undefined;
  mergePlatformAgeS(ageS: number): void;
  areKeysConfirmed(): boolean;
}

/**
 * Creates the tracker of one node. Withdrawals spread between nodes even without the platform, so keys
 * also count as confirmed while all other data centres are reachable.
 */
export function createConfirmation(
  membership: Membership,
  unconfirmedKeysMs: number,
): Confirmation {
  let lastPlatformContactMs = -Infinity;

  const lastContactWithAllMs = (): number => {
    const others = membership.otherDataCentres().map(membership.lastDataCentreContactMs);
    return Math.min(membership.lastContactMs(), ...others);
  };

  return {
    recordPlatformContact: () => {
      lastPlatformContactMs = monotonicMs();
    },
    platformAgeMs: () => monotonicMs() - lastPlatformContactMs,
    // One second is added, so that the delay of the message cannot make the answer seem more recent.
    exportPlatformAgeS: () =>
      lastPlatformContactMs === -Infinity
        ? undefined
        : Math.ceil((monotonicMs() - lastPlatformContactMs) / MS_PER_S) + 1,
    mergePlatformAgeS: (ageS) => {
      lastPlatformContactMs = Math.max(lastPlatformContactMs, monotonicMs() - ageS * MS_PER_S);
    },
    areKeysConfirmed: () => {
      const lastConfirmedMs = Math.max(lastPlatformContactMs, lastContactWithAllMs());
      return monotonicMs() - lastConfirmedMs <= unconfirmedKeysMs + CONFIRMATION_DELAY_MS;
    },
  };
}
