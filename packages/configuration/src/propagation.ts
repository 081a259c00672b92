/** Spreads configuration between nodes: pushes of changes, pulls of what is missing. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Random, Telemetry, VmId } from '@hibiscusbank/core';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { EntryStore } from './entry-store.js';
import type { EntrySource, ReplicaMetrics } from './metrics.js';
import type { ConfigurationEntry, Position, Snapshot } from './types.js';

const PUSH_PEERS = 3;
const PUSH_TIMEOUT_MS = 1_000;
const PULL_TIMEOUT_MS = 3_000;

/** More changes than this are left to pulls, which send them only to nodes that lack them. */
const MAX_PUSHED_ENTRIES = 50;

/** A snapshot may have a megabyte; replicas that differ for another reason must not repeat it. */
const SNAPSHOT_PAUSE_MS = 2_000;

interface PushMessage {
  /** The changes follow this position. */
  readonly before: Position;
  readonly entries: readonly ConfigurationEntry[];
  readonly revision: number;
}

interface PullReply {
  readonly revision: number;
  readonly entries?: readonly ConfigurationEntry[];
  readonly snapshot?: Snapshot;
}

export interface Propagation {
  /** Sends applied changes to a few random peers of the data centre. */
  push(entries: readonly ConfigurationEntry[], before: Position): void;
  /** Takes over what a peer has and this node lacks; returns whether the peer answered. */
  pull(peer: VmId): Promise<boolean>;
  /** Pulls from a peer whose position shows that it has more or different entries. */
  comparePosition(peer: VmId, position: Position): void;
}

export interface PropagationOptions {
  readonly store: EntryStore;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly metrics: ReplicaMetrics;
  /** A node that is not ready has no position to compare. */
  readonly isReady: () => boolean;
  readonly onApplied: (
    applied: readonly ConfigurationEntry[],
    before: Position,
    source: EntrySource,
  ) => void;
}

/** Creates the propagation of one node and answers `config.push`, `config.pull`, `config.revision`. */
export function createPropagation(options: PropagationOptions): Propagation {
  const { store, network, membership, metrics, telemetry } = options;
  let pulling: Promise<boolean> | undefined;
  let pullNext: VmId | undefined;
  let nextSnapshot = -Infinity;

  const applyReply = (reply: PullReply): void => {
    const before = store.position();
    if (reply.snapshot !== undefined) {
      const applied = store.applySnapshot(reply.snapshot);
      nextSnapshot = monotonicMs() + SNAPSHOT_PAUSE_MS;
      telemetry.log('configurationSnapshotApplied', { revision: reply.revision });
      options.onApplied(applied, before, 'snapshot');
      return;
    }
    const entries = reply.entries ?? [];
    const applied = store.applyChanges(entries);
    // The peer has the same entries at a higher revision, after a deletion of a key unknown here.
    if (entries.length === 0) store.adoptRevision(reply.revision);
    options.onApplied(applied, before, 'pull');
  };

  const request = async (peer: VmId): Promise<boolean> => {
    const sent = store.position();
    const acceptSnapshot = monotonicMs() >= nextSnapshot;
    const result = await network.call<PullReply>(
      peer,
      'config.pull',
      { ...sent, acceptSnapshot },
      { timeoutMs: PULL_TIMEOUT_MS },
    );
    if (result.isErr()) {
      telemetry.log('configurationPullFailed', { peer, error: result.error.message });
      return false;
    }
    const moved = store.position().digest !== sent.digest;
    const isEmpty = result.value.entries?.length === 0;
    // Equal entries were confirmed for the position sent, not for the present one.
    if (!(moved && isEmpty)) applyReply(result.value);
    return true;
  };

  const pull = async (peer: VmId): Promise<boolean> => {
    if (pulling !== undefined) {
      pullNext = peer;
      return pulling;
    }
    pulling = request(peer);
    const answered = await pulling;
    pulling = undefined;
    const next = pullNext;
    pullNext = undefined;
    if (next !== undefined) void pull(next);
    return answered;
  };

  const answerPull = (position: Position, acceptSnapshot: boolean): PullReply => {
    const { revision } = store.position();
    const entries = store.listAfter(position);
    if (entries !== undefined) return { revision, entries };
    if (!acceptSnapshot) return { revision: position.revision, entries: [] };
    metrics.snapshots.inc();
    return { revision, snapshot: store.snapshot() };
  };

  const receivePush = (message: PushMessage, from: VmId): void => {
    const own = store.position();
    if (own.revision >= message.revision) return;
    if (own.digest !== message.before.digest) {
      void pull(from);
      return;
    }
    options.onApplied(store.applyChanges(message.entries), own, 'push');
  };

  network.handle('config.push', async (params, from) => {
    if (options.isReady()) receivePush(params as PushMessage, from.vm);
    return { revision: store.position().revision };
  });
  network.handle('config.pull', async (params) => {
    const { revision, digest, acceptSnapshot } = params as Position & { acceptSnapshot: boolean };
    return answerPull({ revision, digest }, acceptSnapshot);
  });
  network.handle('config.revision', async () => ({
    revision: store.position().revision,
    ready: options.isReady(),
  }));

  const pickPeers = (): VmId[] => {
    const others = membership
      .listLive(network.self.dataCentre)
      .filter((vm) => vm !== network.self.vm);
    const chosen: VmId[] = [];
    while (chosen.length < PUSH_PEERS && others.length > 0) {
      chosen.push(...others.splice(options.random.below(others.length), 1));
    }
    return chosen;
  };

  return {
    pull,
    push: (entries, before) => {
      if (entries.length === 0 || entries.length > MAX_PUSHED_ENTRIES) return;
      const message: PushMessage = { before, entries, revision: store.position().revision };
      for (const peer of pickPeers()) {
        void network.call(peer, 'config.push', message, { timeoutMs: PUSH_TIMEOUT_MS });
      }
    },
    comparePosition: (peer, { revision, digest }) => {
      const own = store.position();
      const isAhead = revision > own.revision;
      const isDifferent = revision === own.revision && digest !== own.digest;
      if (isAhead || isDifferent) void pull(peer);
    },
  };
}
