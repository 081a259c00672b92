/** Registers this node in the platform's store and discovers the others there. */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { isPort } from './message-values.js';
import type { EntryStore, StoredEntry } from './ports.js';
import type { KnownPeer } from './peer-reports.js';

/** Interval between two reads of the registry. */
const READ_INTERVAL_MS = 2_000;
/** The same until the node is registered. Later reads are not urgent, and an outage lasts for seconds. */
const RETRY_INTERVAL_MS = 250;
/** Minimum time without contact to another node after which this node removes that node's entry. */
const MIN_REMOVE_AFTER_MS = 25_000;
/** The same in time-outs of a peer. In a large fleet a first report of a peer takes that long. */
const REMOVE_AFTER_TIMEOUTS = 1.5;

export interface NodeRegistry {
  /** Returns the registered nodes without this one. */
  peers(): readonly KnownPeer[];
  /** Returns the names of all registered nodes, including this one. */
  names(): readonly string[];
  /** Whether the registry has been read, so that `names` are those of the fleet. */
  isRead(): boolean;
  /** Registers the function that is called when this node has removed the entry of one that has gone. */
  onRemoved(listener: (node: string) => void): void;
  run(signal: AbortSignal): Promise<void>;
}

export interface NodeRegistryOptions {
  readonly self: KnownPeer;
  readonly store: EntryStore;
  readonly telemetry: Telemetry;
  readonly isReachable: (node: string) => boolean;
  /** Returns the time-out of the peer that reports least often, in a fleet of `fleet` nodes. */
  readonly peerTimeoutMs: (fleet: number) => number;
}

function decodePeer({ name, value }: StoredEntry): KnownPeer | undefined {
  const { host, port, dataCentre } = (value ?? {}) as Partial<KnownPeer>;
  if (typeof host !== 'string' || !isPort(port)) return undefined;
  if (dataCentre !== undefined && typeof dataCentre !== 'string') return undefined;
  return { node: name, host, port, dataCentre };
}

/** Creates the registry client. No calls are made before `run`. */
export function createNodeRegistry(options: NodeRegistryOptions): NodeRegistry {
  const { self, store, telemetry, isReachable } = options;
  let peers: readonly KnownPeer[] = [];
  let isRead = false;
  let onRemoved: (node: string) => void = () => {};
  const unreachableSince = new Map<string, number>();

  const register = async (): Promise<boolean> => {
    const value = { host: self.host, port: self.port, dataCentre: self.dataCentre };
    const current = await store.read(self.node);
    if (current.isErr() && current.error !== 'absent') return false;
    const known = current.isOk() ? decodePeer(current.value) : undefined;
    if (known?.host === self.host && known.port === self.port) return true;
    const expected = current.isOk() ? current.value : undefined;
    return (await store.write(self.node, value, expected)).isOk();
  };

  const removeAfterMs = (fleet: number): number =>
    Math.max(MIN_REMOVE_AFTER_MS, options.peerTimeoutMs(fleet) * REMOVE_AFTER_TIMEOUTS);

  const removeUnreachable = async (entries: readonly StoredEntry[]): Promise<void> => {
    for (const entry of entries) {
      if (entry.name === self.node || isReachable(entry.name)) {
        unreachableSince.delete(entry.name);
        continue;
      }
      const since = unreachableSince.get(entry.name) ?? monotonicMs();
      unreachableSince.set(entry.name, since);
      if (monotonicMs() - since < removeAfterMs(entries.length)) continue;
      const removed = await store.remove(entry.name, entry);
      telemetry.log('nodeForgotten', { peer: entry.name, removed: removed.isOk() });
      if (removed.isOk()) onRemoved(entry.name);
    }
  };

  const refresh = async (): Promise<boolean> => {
    const listed = await store.list({ allowStale: true });
    if (listed.isErr()) return false;
    isRead = true;
    const { entries } = listed.value;
    const registered = entries.map(decodePeer).filter((peer) => peer !== undefined);
    const names = new Set(registered.map(({ node }) => node));
    // A restored store lacks nodes that registered last; they are in the fleet while they report.
    const unlisted = peers.filter(({ node }) => !names.has(node) && isReachable(node));
    peers = [...registered, ...unlisted].filter(({ node }) => node !== self.node);
    await removeUnreachable(entries);
    return entries.some(({ name }) => name === self.node);
  };

  return {
    peers: () => peers,
    isRead: () => isRead,
    onRemoved: (listener) => {
      onRemoved = listener;
    },
    names: () => [self.node, ...peers.map(({ node }) => node)],
    run: async (signal) => {
      let wasListed = false;
      while (!signal.aborted) {
        const isListed = await refresh();
        wasListed ||= isListed;
        if (!isListed) await register();
        await sleep(wasListed ? READ_INTERVAL_MS : RETRY_INTERVAL_MS, signal);
      }
    },
  };
}
