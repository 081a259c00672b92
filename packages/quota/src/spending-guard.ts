/** Decides whether this VM's last contact to the platform or a peer is recent enough to spend. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Membership } from '@hibiscusbank/peers';
import { ISOLATION_TIMEOUT_MS } from './limits.js';

export interface SpendingGuard {
  /** Compares the clock with the last contact. Called before anything is spent and periodically. */
  maySpend(): boolean;
  /** Returns how often isolation or a process pause has interrupted the right to spend so far. */
  interruptions(): number;
  /** Registers a listener that runs once per interruption, before `maySpend` returns. */
  onInterruption(listener: () => void): void;
}

/** Creates the guard of one node. */
export function createSpendingGuard(membership: Membership): SpendingGuard {
  const listeners: (() => void)[] = [];
  let checkedAt = monotonicMs();
  let lastContactAt = checkedAt;
  let isolated = false;
  let interruptions = 0;

  const isOnlyListedVm = (): boolean => {
    const listed = membership.listedVms();
    return listed?.length === 1 && listed[0] === membership.self.vm;
  };

  const interrupt = (): void => {
    interruptions += 1;
    for (const listener of listeners) listener();
  };

  return {
    maySpend: () => {
      const now = monotonicMs();
      const contact = isOnlyListedVm() ? now : Math.max(lastContactAt, membership.lastContactMs());
      // After a process pause a message can arrive before this check and hide the pause, so the
      // time between two contacts counts as well.
      const gap = Math.max(now - contact, contact - lastContactAt, now - checkedAt);
      const isInterrupted = gap > ISOLATION_TIMEOUT_MS;
      if (isInterrupted && !isolated) interrupt();
      isolated = now - contact > ISOLATION_TIMEOUT_MS;
      checkedAt = now;
      lastContactAt = isolated ? lastContactAt : contact;
      return !isolated;
    },
    interruptions: () => interruptions,
    onInterruption: (listener) => {
      listeners.push(listener);
    },
  };
}
