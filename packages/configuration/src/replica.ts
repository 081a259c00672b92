/** Configuration replica of a node; assembles entry store, watcher, propagation and withdrawals. */
import { createRandom, hash32 } from '@hibiscusbank/core';
import type { Random, Telemetry } from '@hibiscusbank/core';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { createConfirmation } from './confirmation.js';
import { createEntryStore } from './entry-store.js';
import { createReplicaMetrics } from './metrics.js';
import type { EntrySource } from './metrics.js';
import { createPlatformSource } from './platform-source.js';
import { createPropagation } from './propagation.js';
import { loadInitialState } from './startup.js';
import type { ConfigurationEntry, ConfigurationReplica, Position, TenantKey } from './types.js';
import { applyToView, createView } from './view.js';
import { createWatcher } from './watcher.js';
import { createWithdrawals } from './withdrawals.js';

export interface ReplicaOptions {
  readonly objectApi: ObjectApi;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly telemetry: Telemetry;
  readonly unconfirmedKeysMs: number;
  readonly random?: Random;
}

/** Revision, digest, age of the platform's last answer in seconds (or null), digest of withdrawals. */
type ProbeValue = readonly [number, number, number | null, number];

/** Creates the replica of one node. Must be called before the network and the membership start. */
export function createConfigurationReplica(options: ReplicaOptions): ConfigurationReplica {
  const { objectApi, network, membership, telemetry } = options;
  // eslint-disable-next-line no-bitwise
  const random = options.random ?? createRandom((hash32(network.self.vm) ^ Date.now()) | 0);
  const view = createView();
  const listeners = new Set<(entry: ConfigurationEntry) => void>();
  const stopController = new AbortController();
  const confirmation = createConfirmation(membership, options.unconfirmedKeysMs);
  const metrics = createReplicaMetrics(telemetry, confirmation.platformAgeMs);
  let ready = false;
  let observeKey: (key: TenantKey) => void = () => {};
  let push: (entries: readonly ConfigurationEntry[], before: Position) => void = () => {};

  const store = createEntryStore(telemetry, (entry) => {
    const { key, revision } = entry;
    if (applyToView(view, entry)) telemetry.log('configurationApplied', { key, revision });
    else telemetry.log('configurationRejected', { key, revision });
    for (const listener of listeners) listener(entry);
  });

  const onApplied = (
    applied: readonly ConfigurationEntry[],
    before: Position,
    source: EntrySource,
  ): void => {
    metrics.entries.inc({ source }, applied.length);
    for (const { key, value, deleted } of applied) {
      if (key.startsWith('config/keys/') && !deleted) observeKey(value as TenantKey);
    }
    if (ready) push(applied, before);
  };

  const watcher = createWatcher({
    source: createPlatformSource(objectApi),
    store,
    membership,
    confirmation,
    telemetry,
    metrics,
    onApplied,
  });
  const withdrawals = createWithdrawals({
    objectApi,
    network,
    membership,
    random,
    telemetry,
    metrics,
    findKey: (digest) => view.keys.get(digest),
    isWriter: watcher.isWatcher,
  });
  observeKey = withdrawals.observe;
  const propagation = createPropagation({
    store,
    network,
    membership,
    random,
    telemetry,
    metrics,
    isReady: () => ready,
    onApplied,
  });
  push = propagation.push;

  membership.addPayload({
    name: 'cfg',
    scope: 'all',
    read: (): ProbeValue | undefined => {
      if (!ready) return undefined;
      const { revision, digest } = store.position();
      return [revision, digest, confirmation.exportPlatformAgeS() ?? null, withdrawals.digest()];
    },
    receive: (value, from) => {
      const [revision, digest, ageS, withdrawalsDigest] = value as ProbeValue;
      if (ageS !== null) confirmation.mergePlatformAgeS(ageS);
      if (withdrawalsDigest !== withdrawals.digest()) {
        withdrawals.receiveDigest(withdrawalsDigest, from.vm);
      }
      if (ready) propagation.comparePosition(from.vm, { revision, digest });
    },
  });

  const run = async (): Promise<void> => {
    const { signal } = stopController;
    await loadInitialState({
      store,
      watcher,
      propagation,
      withdrawals,
      network,
      membership,
      signal,
    });
    if (signal.aborted) return;
    ready = true;
    telemetry.log('configurationReady', { revision: store.position().revision });
    void withdrawals.run(signal);
    await watcher.run(signal);
  };

  const isOutOfService = (kind: string, name: string): boolean =>
    view.drains.has(`${kind}/${name}`);

  return {
    revision: () => store.position().revision,
    isReady: () => ready,
    routes: () => view.routes,
    pools: () => view.pools,
    organisation: (id) => view.organisations.get(id),
    organisations: () => [...view.organisations.values()],
    findKey: (digest) => {
      const key = view.keys.get(digest);
      return key === undefined || key.withdrawn || withdrawals.has(digest) ? undefined : key;
    },
    areKeysConfirmed: confirmation.areKeysConfirmed,
    isDataCentreOutOfService: (dataCentre) => isOutOfService('dc', dataCentre),
    isVmOutOfService: (vm) => isOutOfService('vm', vm),
    isUpstreamOutOfService: (upstream, dataCentre) =>
      isOutOfService('upstream', upstream) || isOutOfService('dc', dataCentre),
    ring: (dataCentre) => view.rings.get(dataCentre),
    dataCentres: () => {
      const upstreams = [...view.pools.values()].flatMap((pool) => pool.upstreams);
      return [...new Set(upstreams.map((upstream) => upstream.dataCentre))].sort();
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    withdrawKey: withdrawals.withdraw,
    start: async () => {
      void run();
    },
    stop: async () => stopController.abort(),
  };
}
