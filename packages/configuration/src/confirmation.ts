/** How long ago the platform, or every other data centre, could have told this node of a withdrawal. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Membership } from '@hibiscusbank/peers';

/** A watch and the probes that carry its age take a few seconds also when nothing is wrong. */
const CONFIRMATION_DELAY_MS = 15_000;

const AGE_UNIT_MS = 1_000;

export interface Confirmation {
  /** Records an answer of the platform. */
  hearPlatform(): void;
  /** Milliseconds since any reachable node had an answer of the platform. */
  platformAgeMs(): number;
  /** Age to send to a peer, in seconds; `undefined` before the first answer. */
  writeAge(): number | undefined;
  readAge(ageS: number): void;
  areKeysConfirmed(): boolean;
}

/**
 * Creates the record of one node. Without the platform, withdrawals still spread between nodes; keys
 * therefore count as confirmed while all other data centres can be heard.
 */
export function createConfirmation(
  membership: Membership,
  unconfirmedKeysMs: number,
): Confirmation {
  let platformAt = -Infinity;

  const lastReachedMs = (): number => {
    const others = membership.otherDataCentres().map(membership.lastHeardMs);
    return Math.min(membership.lastContactMs(), ...others);
  };

  return {
    hearPlatform: () => {
      platformAt = monotonicMs();
    },
    platformAgeMs: () => monotonicMs() - platformAt,
    // One unit more than the age: the delay of the message must not make the answer younger.
    writeAge: () =>
      platformAt === -Infinity
        ? undefined
        : Math.ceil((monotonicMs() - platformAt) / AGE_UNIT_MS) + 1,
    readAge: (ageS) => {
      platformAt = Math.max(platformAt, monotonicMs() - ageS * AGE_UNIT_MS);
    },
    areKeysConfirmed: () => {
      const confirmedAt = Math.max(platformAt, lastReachedMs());
      return monotonicMs() - confirmedAt <= unconfirmedKeysMs + CONFIRMATION_DELAY_MS;
    },
  };
}
