/**
 * Selects the node that debits an organisation for all nodes. Nodes that have run for a quota window know what
 * was spent in it, so restarted ones are selected only where no other is known: then all have restarted.
 */
import { pickByRendezvous } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import { createGranterSelection } from './granter-selection.js';
import type { GranterSelection } from './granter-selection.js';
import type { KnownPeer } from './peer-reports.js';

/** A dead node is asked again this often at most until it is known to be silent. */
const MAX_PAUSE_MS = 8_000;

export interface QuotaGrantersOptions {
  readonly self: KnownPeer;
  /** Returns the other nodes. */
  readonly peers: () => readonly KnownPeer[];
  /** Whether a node has stopped reporting. */
  readonly isSilent: (node: string) => boolean;
  /** Returns the start of a node's process in Unix milliseconds, if the node has reported. */
  readonly startOf: (node: string) => number | undefined;
  /** Start of this process in Unix milliseconds. */
  readonly epoch: number;
  /** Returns the time in Unix milliseconds. */
  readonly now: () => number;
  readonly windowMs: number;
}

export interface QuotaGranters extends Pick<GranterSelection, 'pause' | 'confirm'> {
  find(organisation: OrganisationId): KnownPeer;
  /** Whether this node must not decide, since it has restarted and others have not. */
  isSuperseded(): boolean;
  /** Records the start of a node's process, as it states it itself. */
  recordStart(node: string, startedAt: number): void;
  /** Returns the nodes that decide when this node, or its data centre, no longer does. */
  findSuccessors(organisation: OrganisationId): readonly KnownPeer[];
}

/** Creates the selection of one node. */
export function createQuotaGranters(options: QuotaGrantersOptions): QuotaGranters {
  const { self, peers, isSilent, startOf, epoch, now, windowMs } = options;
  const statedStarts = new Map<string, number>();

  /** Whether a node has run for less than a window; `undefined` if its start is not known. */
  const isYoung = (node: string): boolean | undefined => {
    const reported = node === self.node ? epoch : startOf(node);
    const start = Math.max(reported ?? -Infinity, statedStarts.get(node) ?? -Infinity);
    return start === -Infinity ? undefined : now() - start < windowMs;
  };

  const hasLongRunning = (nodes: readonly KnownPeer[]): boolean =>
    nodes.some(({ node }) => isYoung(node) === false);

  const preferLongRunning = (nodes: readonly KnownPeer[]): readonly KnownPeer[] =>
    hasLongRunning(nodes) ? nodes.filter(({ node }) => isYoung(node) !== true) : nodes;

  const selection = createGranterSelection({
    self,
    peers,
    isSilent,
    maxPauseMs: MAX_PAUSE_MS,
    prefer: preferLongRunning,
  });

  const pickFirst = (organisation: OrganisationId, nodes: readonly KnownPeer[]) =>
    pickByRendezvous(
      organisation,
      nodes.map(({ node }) => node),
    );

  return {
    pause: selection.pause,
    confirm: selection.confirm,
    find: (organisation) => selection.find(organisation, undefined),
    isSuperseded: () => isYoung(self.node) === true && hasLongRunning(peers()),
    recordStart: (node, startedAt) => statedStarts.set(node, startedAt),
    findSuccessors: (organisation) => {
      const others = peers().filter(({ node }) => !isSilent(node));
      const elsewhere = others.filter(({ dataCentre }) => dataCentre !== self.dataCentre);
      // The first of all nodes decides again once it has run for a window.
      const successors = new Set(
        [others, preferLongRunning(others), preferLongRunning(elsewhere)].map((nodes) =>
          pickFirst(organisation, nodes),
        ),
      );
      return others.filter(({ node }) => successors.has(node));
    },
  };
}
