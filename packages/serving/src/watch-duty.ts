/**
 * Decides which nodes of a data centre watch the store; the others learn from them. Nothing is agreed:
 * each node ranks the nodes it hears by the same hash, so that a wrong view costs only calls.
 *
 * Load: large data centres, in which every node's watch would return for every change.
 */
import { rankByRendezvous } from '@hibiscusbank/core';

/**
 * Watching nodes of a data centre. One can be frozen and one turned away by the store while the third
 * still passes changes on.
 */
const WATCHERS = 3;

export interface DutyPeer {
  readonly node: string;
  /** Whether the store answers it, as far as it knows. */
  readonly isConnected: boolean;
}

export interface WatchDutyOptions {
  readonly self: string;
  readonly dataCentre: string;
  /** Nodes of the same data centre that were heard from lately, without this one. */
  readonly peers: () => readonly DutyPeer[];
}

export interface WatchDuty {
  isOnDuty(): boolean;
  /** Resolves when this node is to watch. */
  whenOnDuty(signal: AbortSignal): Promise<void>;
  /** Looks at the peers again. */
  check(): void;
  stop(): void;
}

/** Whether a node is among those that watch; a node that the store turns away is passed over. */
export function isWatcher(self: string, dataCentre: string, peers: readonly DutyPeer[]): boolean {
  const able = peers.filter(({ isConnected }) => isConnected).map(({ node }) => node);
  if (able.length < WATCHERS) return true;
  return rankByRendezvous(dataCentre, [self, ...able]).indexOf(self) < WATCHERS;
}

/** Creates the duty of one node. */
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
