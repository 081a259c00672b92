/** Decides whether this VM has enough contact with the rest to spend. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Membership } from '@hibiscusbank/peers';
import { ISOLATION_STOP_MS } from './limits.js';

export interface SpendingGuard {
  /** Consults the clocks; called before anything is spent and once a second. */
  mayContinue(): boolean;
  /** Number of lapses so far: isolations and pauses after which nothing held may be spent. */
  lapses(): number;
  /** Registers what runs once per lapse, before `mayContinue` returns. */
  onLapse(listener: () => void): void;
}

/** Creates the guard. */
export function createSpendingGuard(membership: Membership): SpendingGuard {
  const listeners: (() => void)[] = [];
  let observedAt = monotonicMs();
  let contactAt = observedAt;
  let isolated = false;
  let lapses = 0;

  const isAlone = (): boolean => {
    const listed = membership.listedVms();
    return listed?.length === 1 && listed[0] === membership.self.vm;
  };

  const lapse = (): void => {
    lapses += 1;
    for (const listener of listeners) listener();
  };

  return {
    mayContinue: () => {
      const now = monotonicMs();
      const contact = isAlone() ? now : Math.max(contactAt, membership.lastContactMs());
      // After a pause a message can arrive before this check, so the gap between contacts counts.
      const gap = Math.max(now - contact, contact - contactAt, now - observedAt);
      const lapsed = gap > ISOLATION_STOP_MS;
      if (lapsed && !isolated) lapse();
      isolated = now - contact > ISOLATION_STOP_MS;
      observedAt = now;
      contactAt = isolated ? contactAt : contact;
      return !isolated;
    },
    lapses: () => lapses,
    onLapse: (listener) => {
      listeners.push(listener);
    },
  };
}
