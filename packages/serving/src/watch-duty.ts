/**
 * Selects the nodes of a data centre that watch the store; the other nodes get changes from them.
 * The selection needs no agreement: each node ranks its live peers by the same hash, so an outdated
 * view only costs extra calls.
 *
 * Designed for large data centres, in which the watch of every node would return for every change.
 */
import { rankByRendezvous } from '@hibiscusbank/core';

/**
 * Number of watching nodes per data centre. While one is frozen and one is rejected by the store,
 * the third still forwards changes.
 */
const WATCHERS = 3;

export interface DutyPeer {
  readonly node: string;
  /** Whether the peer last reported that it can reach the store. */
  readonly isConnected: boolean;
}

export interface WatchDutyOptions {
  readonly self: string;
  readonly dataCentre: string;
  /** Returns the live peers in the local data centre. */
  readonly peers: () => readonly DutyPeer[];
}

export interface WatchDuty {
  isOnDuty(): boolean;
  /**
   * Resolves when this node is selected as a watcher, or when the selection is evaluated again
   * after the signal aborted.
   */
  whenOnDuty(signal: AbortSignal): Promise<void>;
  /** Evaluates the selection again. */
  check(): void;
  stop(): void;
}

/** Whether a node is one of the watchers. Peers that cannot reach the store are skipped. */
export function isWatcher(self: string, dataCentre: string, peers: readonly DutyPeer[]): boolean {
  const able = peers.filter(({ isConnected }) => isConnected).map(({ node }) => node);
  if (able.length < WATCHERS) return true;
  return rankByRendezvous(dataCentre, [self, ...able]).indexOf(self) < WATCHERS;
}

/** Creates the watcher selection of one node. */
export function createWatchDuty({ self, dataCentre, peers }: WatchDutyOptions): WatchDuty {
  let waiting: (() => void)[] = [];
  const isOnDuty = (): boolean => isWatcher(self, dataCentre, peers());
  const waitForCheck = (): Promise<void> =>
    new Promise((resolve) => {
      waiting.push(resolve);
    });
  const wake = (): void => {
    const resumed = waiting;
    waiting = [];
    for (const resume of resumed) resume();
  };
  return {
    isOnDuty,
    whenOnDuty: async (signal) => {
      while (!signal.aborted && !isOnDuty()) await waitForCheck();
    },
    check: () => {
      if (waiting.length > 0 && isOnDuty()) wake();
    },
    stop: wake,
  };
}
