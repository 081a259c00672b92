/**
 * Selects the nodes of a data centre that watch the store; the other nodes get changes from them.
 * The selection needs no agreement: each node ranks its live peers by the same hash, so an outdated
 * view only costs extra calls.
 *
 * Designed for large data centres, where each change would otherwise end the watches of all nodes.
 */
import { rankByRendezvous } from '@hibiscusbank/core';

/**
 * Number of nodes per data centre that watch the store. While one is frozen and the store rejects
 * another, the third still forwards changes.
 */
const WATCHERS = 3;

export interface WatcherPeer {
  readonly node: string;
  /** Whether the peer last reported that it can reach the store. */
  readonly isConnected: boolean;
}

export interface WatcherOptions {
  readonly self: string;
  readonly dataCentre: string;
  /** Returns the live peers in the local data centre. */
  readonly peers: () => readonly WatcherPeer[];
}

export interface WatcherSelection {
  isSelected(): boolean;
  /** Resolves when this node is selected, or when `stop` is called after `signal` aborted. */
  whenSelected(signal: AbortSignal): Promise<void>;
  /** Evaluates the selection again. */
  check(): void;
  /** Wakes all waiting callers, so that they notice an aborted signal. */
  stop(): void;
}

/** Whether a node is one of the watchers. Only peers that can reach the store are able to watch. */
export function isWatcher(
  self: string,
  dataCentre: string,
  peers: readonly WatcherPeer[],
): boolean {
  const connectedPeers = peers.filter(({ isConnected }) => isConnected).map(({ node }) => node);
  if (connectedPeers.length < WATCHERS) return true;
  return rankByRendezvous(dataCentre, [self, ...connectedPeers]).indexOf(self) < WATCHERS;
}

/** Creates the watcher selection of one node. */
export function createWatcherSelection({
  self,
  dataCentre,
  peers,
}: WatcherOptions): WatcherSelection {
  let waiting: (() => void)[] = [];
  const isSelected = (): boolean => isWatcher(self, dataCentre, peers());
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
    isSelected,
    whenSelected: async (signal) => {
      while (!signal.aborted && !isSelected()) await waitForCheck();
    },
    check: () => {
      if (waiting.length > 0 && isSelected()) wake();
    },
    stop: wake,
  };
}
