/** What a node knows of the other nodes: who is registered, who reports, and who is reachable. */
import type { Telemetry } from '@hibiscusbank/core';
import { computeReachableShare, createDataCentreContact } from './data-centre-contact.js';
import type { DataCentreContact } from './data-centre-contact.js';
import type { DrainView } from './drain-admission.js';
import type { DrainTime } from './drain-time.js';
import { createLivePeers, mergePeers } from './live-peers.js';
import type { LivePeers } from './live-peers.js';
import { createNodeRegistry } from './node-registry.js';
import type { NodeRegistry } from './node-registry.js';
import { remoteTimeoutMs } from './peer-reports.js';
import type { KnownPeer, PeerReport } from './peer-reports.js';
import type { EntryStore } from './ports.js';

export interface NodePeersOptions {
  readonly self: KnownPeer & { readonly dataCentre: string };
  /** Nodes to report to before the registry has been read. */
  readonly seeds: readonly KnownPeer[];
  readonly store: EntryStore;
  readonly telemetry: Telemetry;
}

export interface NodePeers {
  readonly live: LivePeers;
  readonly registry: NodeRegistry;
  readonly contact: DataCentreContact;
  /** Returns all known nodes to which messages are sent. */
  recipients(): readonly KnownPeer[];
  /** Returns the last reports of the live nodes of this data centre. */
  localReports(): readonly PeerReport[];
  /** Returns the number of registered nodes, with this one. */
  fleetSize(): number;
  /** Returns the share of the fleet that this node reaches, from 0 to 1. */
  reachableShare(): number;
  /** Whether more than half of the registered nodes report to this one. */
  reachesMajority(): boolean;
}

/** Returns the function that tells what the decisions of a drain depend on. */
export function createDrainView(
  drainTime: Pick<DrainTime, 'elapsedMs' | 'leftMs'>,
  { live, localReports }: Pick<NodePeers, 'live' | 'localReports'>,
): () => DrainView {
  return () => ({
    elapsedMs: drainTime.elapsedMs(),
    leftMs: drainTime.leftMs(),
    neighbours: localReports(),
    peers: live.reports(),
  });
}

/** Creates the knowledge of one node. No calls are made before the registry runs. */
export function createNodePeers({ self, seeds, store, telemetry }: NodePeersOptions): NodePeers {
  const live = createLivePeers();
  const registry = createNodeRegistry({
    self,
    store,
    telemetry,
    isReachable: live.has,
    peerTimeoutMs: (fleet) => remoteTimeoutMs(fleet, fleet),
  });
  const recipients = (): readonly KnownPeer[] =>
    mergePeers(self, [...seeds, ...registry.peers(), ...live.reports()]);
  const contact = createDataCentreContact({
    local: self.dataCentre,
    peers: recipients,
    telemetry,
  });
  return {
    live,
    registry,
    contact,
    recipients,
    localReports: () => live.reports().filter(({ dataCentre }) => dataCentre === self.dataCentre),
    fleetSize: () => registry.names().length,
    reachableShare: () =>
      computeReachableShare({ peers: registry.peers(), livePeers: live, contact }),
    reachesMajority: () => (live.reports().length + 1) * 2 > registry.names().length,
  };
}
