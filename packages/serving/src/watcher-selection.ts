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
const WATCHERS_PER_DATA_CENTRE = 3;

export interface WatcherCandidate {
  readonly node: string;
  /** Whether the peer last reported that it can reach the store. */
  readonly isConnected: boolean;
}

export interface WatcherSelectionOptions {
  readonly self: string;
  readonly dataCentre: string;
  /** Returns the live peers in the local data centre. */
  readonly peers: () => readonly WatcherCandidate[];
}

export interface WatcherSelection {
  isSelected(): boolean;
  /**
   * Resolves when this node is selected as a watcher, or when `stop` is called after `signal`
   * aborted.
   */
  whenSelected(signal: AbortSignal): Promise<void>;
  /** Evaluates the selection again. */
  reevaluate(): void;
  /** Wakes all waiting callers, so that they notice an aborted signal. */
  stop(): void;
}

/** Whether a node is one of the watchers. Peers that cannot reach the store are skipped. */
export function isWatcher(
  self: string,
  dataCentre: string,
  peers: readonly WatcherCandidate[],
): boolean {
  const connected = peers.filter(({ isConnected }) => isConnected).map(({ node }) => node);
  if (connected.length < WATCHERS_PER_DATA_CENTRE) return true;
  return (
    rankByRendezvous(dataCentre, [self, ...connected]).indexOf(self) < WATCHERS_PER_DATA_CENTRE
  );
}

/** Creates the watcher selection of one node. */
export function createWatcherSelection({
  self,
  dataCentre,
  peers,
}: WatcherSelectionOptions): WatcherSelection {
  let waiting: (() => void)[] = [];
  const isSelected = (): boolean => isWatcher(self, dataCentre, peers());
  const waitForReevaluation = (): Promise<void> =>
    new Promise((resolve) => {
      waiting.push(resolve);
    });
  const wakeWaiting = (): void => {
    const resumed = waiting;
    waiting = [];
    for (const resume of resumed) resume();
  };
  return {
    isSelected,
    whenSelected: async (signal) => {
      while (!signal.aborted && !isSelected()) await waitForReevaluation();
    },
    reevaluate: () => {
      if (waiting.length > 0 && isSelected()) wakeWaiting();
    },
    stop: wakeWaiting,
  };
}
