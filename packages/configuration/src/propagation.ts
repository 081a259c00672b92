/** Propagates configuration between nodes: pushes changes and pulls missing entries. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Random, Telemetry, VmId } from '@hibiscusbank/core';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { EntryStore } from './entry-store.js';
import type { EntrySource, ReplicaMetrics } from './metrics.js';
import type { ConfigurationEntry, Position, Snapshot } from './types.js';

const PUSH_FANOUT = 3;
const PUSH_TIMEOUT_MS = 1_000;
const PULL_TIMEOUT_MS = 3_000;

/** Larger sets of changes are not pushed; pulls send them only to the nodes that lack them. */
const MAX_PUSHED_ENTRIES = 50;

/** Limits the traffic of replicas that still differ after a snapshot; one can take a megabyte. */
const SNAPSHOT_INTERVAL_MS = 2_000;

interface PushMessage {
  /** Position of the sender before the changes. */
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
  /** Fetches the entries that this node lacks from a peer. Resolves to whether the peer answered. */
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
  /** Whether the replica is ready; pushes are ignored before that. */
  readonly isReady: () => boolean;
  readonly onApplied: (
    applied: readonly ConfigurationEntry[],
    before: Position,
    source: EntrySource,
  ) => void;
}

/** Creates the propagation of one node and handles `config.push`, `config.pull`, `config.revision`. */
export function createPropagation(options: PropagationOptions): Propagation {
  const { store, network, membership, metrics, telemetry } = options;
  let pendingPull: Promise<boolean> | undefined;
  let nextPeer: VmId | undefined;
  let nextSnapshotAt = -Infinity;

  const applyReply = (reply: PullReply): void => {
    const before = store.position();
    if (reply.snapshot !== undefined) {
      const applied = store.applySnapshot(reply.snapshot);
      nextSnapshotAt = monotonicMs() + SNAPSHOT_INTERVAL_MS;
      telemetry.log('configurationSnapshotApplied', { revision: reply.revision });
      options.onApplied(applied, before, 'snapshot');
      return;
    }
    const entries = reply.entries ?? [];
    const applied = store.applyChanges(entries);
    // An empty list means the same entries, possibly at a higher revision: the peer has seen the
    // deletion of a key that this node never had.
    if (entries.length === 0) store.adoptRevision(reply.revision);
    options.onApplied(applied, before, 'pull');
  };

  const requestEntries = async (peer: VmId): Promise<boolean> => {
    const sentPosition = store.position();
    const acceptSnapshot = monotonicMs() >= nextSnapshotAt;
    const result = await network.call<PullReply>(
      peer,
      'config.pull',
      { ...sentPosition, acceptSnapshot },
      { timeoutMs: PULL_TIMEOUT_MS },
    );
    if (result.isErr()) {
      telemetry.log('configurationPullFailed', { peer, error: result.error.message });
      return false;
    }
    const hasChanged = store.position().digest !== sentPosition.digest;
    const isEmpty = result.value.entries?.length === 0;
    // An empty reply confirms equal entries only for the position sent, not for a later one.
    if (!(hasChanged && isEmpty)) applyReply(result.value);
    return true;
  };

  const pull = async (peer: VmId): Promise<boolean> => {
    if (pendingPull !== undefined) {
      nextPeer = peer;
      return pendingPull;
    }
    pendingPull = requestEntries(peer);
    const answered = await pendingPull;
    pendingPull = undefined;
    const next = nextPeer;
    nextPeer = undefined;
    if (next !== undefined) void pull(next);
    return answered;
  };

  const answerPull = (position: Position, acceptSnapshot: boolean): PullReply => {
    const { revision } = store.position();
    const entries = store.listAfter(position);
    if (entries !== undefined) return { revision, entries };
    // An empty list at the requester's own revision changes nothing there.
    if (!acceptSnapshot) return { revision: position.revision, entries: [] };
    metrics.snapshots.inc();
    return { revision, snapshot: store.snapshot() };
  };

  const receivePush = (message: PushMessage, from: VmId): void => {
    const localPosition = store.position();
    if (localPosition.revision >= message.revision) return;
    if (localPosition.digest !== message.before.digest) {
      void pull(from);
      return;
    }
    options.onApplied(store.applyChanges(message.entries), localPosition, 'push');
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

  const pickRandomPeers = (): VmId[] => {
    const others = membership
      .listLive(network.self.dataCentre)
      .filter((vm) => vm !== network.self.vm);
    const picked: VmId[] = [];
    while (picked.length < PUSH_FANOUT && others.length > 0) {
      picked.push(...others.splice(options.random.nextInt(others.length), 1));
    }
    return picked;
  };

  return {
    pull,
    push: (entries, before) => {
      if (entries.length === 0 || entries.length > MAX_PUSHED_ENTRIES) return;
      const message: PushMessage = { before, entries, revision: store.position().revision };
      for (const peer of pickRandomPeers()) {
        void network.call(peer, 'config.push', message, { timeoutMs: PUSH_TIMEOUT_MS });
      }
    },
    comparePosition: (peer, { revision, digest }) => {
      const localPosition = store.position();
      const isAhead = revision > localPosition.revision;
      const isDifferent = revision === localPosition.revision && digest !== localPosition.digest;
      if (isAhead || isDifferent) void pull(peer);
    },
  };
}
