/**
 * Selects the node that decides for all nodes about something that they share, such as the permits of an
 * upstream. The selection needs no agreement: nodes rank the nodes that report and answer by the same
 * hash, and those that select different ones for a moment are tolerated by what they decide.
 */
import { monotonicMs, rankByRendezvous } from '@hibiscusbank/core';
import type { KnownPeer } from './peer-reports.js';

/**
 * Time for which a node that did not answer is not asked again. It doubles with each further time up to
 * `maxPauseMs`, until the node is heard.
 */
export const UNANSWERED_PAUSE_MS = 1_000;

export interface GranterSelectionOptions {
  readonly self: KnownPeer;
  /** Returns the other nodes. */
  readonly peers: () => readonly KnownPeer[];
  /** Whether a node has stopped reporting. */
  readonly isSilent: (node: string) => boolean;
  readonly maxPauseMs: number;
  /** Returns those of some nodes, this one included, that are to be selected from. By default all of them. */
  readonly prefer?: (nodes: readonly KnownPeer[]) => readonly KnownPeer[];
}

export interface GranterSelection {
  /** Returns the node that decides about a key, one of the data centre if it is given and has nodes. */
  find(key: string, dataCentre: string | undefined): KnownPeer;
  /** Records that a node did not answer. */
  pause(node: string): void;
  /** Records that a node was heard. */
  confirm(node: string): void;
}

/** Creates the selection of one node. */
export function createGranterSelection(options: GranterSelectionOptions): GranterSelection {
  const { self, maxPauseMs, prefer = (nodes) => nodes } = options;
  const pauses = new Map<string, { readonly until: number; readonly ms: number }>();

  const isPaused = (node: string): boolean => {
    if (options.isSilent(node)) return true;
    return monotonicMs() < (pauses.get(node)?.until ?? -Infinity);
  };

  return {
    find: (key, dataCentre) => {
      const all = prefer([self, ...options.peers().filter(({ node }) => !isPaused(node))]);
      const local =
        dataCentre === undefined ? [] : all.filter((peer) => peer.dataCentre === dataCentre);
      const candidates = new Map(
        (local.length > 0 ? local : all).map((peer) => [peer.node, peer] as const),
      );
      const [first] = rankByRendezvous(key, [...candidates.keys()]);
      return candidates.get(first ?? '') ?? self;
    },
    pause: (node) => {
      const ms = Math.min(maxPauseMs, (pauses.get(node)?.ms ?? UNANSWERED_PAUSE_MS / 2) * 2);
      pauses.set(node, { until: monotonicMs() + ms, ms });
    },
    confirm: (node) => {
      pauses.delete(node);
    },
  };
}
