/** The configuration replica of a node. */
import { monotonicMs, sleep, unwrap } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { ObjectApi } from '@hibiscusbank/platform';
import { CONFIGURATION_PREFIX } from './types.js';
import type { ConfigurationEntry, ConfigurationReplica } from './types.js';
import { applyToView, createView } from './view.js';

const WATCH_WAIT_MS = 10_000;
const RETRY_PAUSE_MS = 500;

export interface ReplicaOptions {
  readonly objectApi: ObjectApi;
  readonly telemetry: Telemetry;
  readonly unconfirmedKeysMs: number;
}

/** Creates the replica of one node. */
export function createConfigurationReplica(options: ReplicaOptions): ConfigurationReplica {
  const { objectApi, telemetry } = options;
  const view = createView();
  const entries = new Map<string, ConfigurationEntry>();
  const listeners = new Set<(entry: ConfigurationEntry) => void>();
  const stopping = new AbortController();
  let revision = 0;
  let ready = false;
  let confirmedAt = monotonicMs();

  const apply = (entry: ConfigurationEntry): void => {
    const previous = entries.get(entry.key);
    if (previous !== undefined && previous.revision >= entry.revision) return;
    entries.set(entry.key, entry);
    applyToView(view, entry);
    telemetry.log('configurationApplied', { key: entry.key, revision: entry.revision });
    for (const listener of listeners) listener(entry);
  };

  const confirm = (upTo: number): void => {
    revision = Math.max(revision, upTo);
    telemetry.metrics.configurationRevision.set(revision);
    confirmedAt = monotonicMs();
    ready = true;
  };

  const loadAll = async (): Promise<void> => {
    const list = unwrap(await objectApi.list(CONFIGURATION_PREFIX));
    for (const object of list.objects) {
      apply({ key: object.key, revision: object.version, value: object.value, deleted: false });
    }
    confirm(list.revision);
  };

  const watchOnce = async (): Promise<void> => {
    const result = await objectApi.watch(
      CONFIGURATION_PREFIX,
      revision,
      WATCH_WAIT_MS,
      stopping.signal,
    );
    const batch = unwrap(result);
    for (const change of batch.changes) {
      apply({
        key: change.key,
        revision: change.version,
        value: change.value,
        deleted: change.deleted,
      });
    }
    confirm(batch.revision);
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      try {
        if (ready) await watchOnce();
        else await loadAll();
      } catch (thrown) {
        telemetry.log('configurationWatchFailed', { error: String(thrown) });
        await sleep(RETRY_PAUSE_MS, stopping.signal);
      }
    }
  };

  const isOut = (kind: string, name: string): boolean => view.drains.has(`${kind}/${name}`);

  return {
    revision: () => revision,
    isReady: () => ready,
    routes: () => view.routes,
    pools: () => view.pools,
    organisation: (id) => view.organisations.get(id),
    organisations: () => [...view.organisations.values()],
    findKey: (digest) => {
      const key = view.keys.get(digest);
      return key?.withdrawn ? undefined : key;
    },
    areKeysConfirmed: () => monotonicMs() - confirmedAt <= options.unconfirmedKeysMs,
    isDataCentreOut: (dataCentre) => isOut('dc', dataCentre),
    isVmOut: (vm) => isOut('vm', vm),
    isUpstreamOut: (upstream, dataCentre) => isOut('upstream', upstream) || isOut('dc', dataCentre),
    ring: (dataCentre) => view.rings.get(dataCentre),
    dataCentres: () =>
      [
        ...new Set(
          [...view.pools.values()].flatMap((pool) => pool.upstreams.map((u) => u.dataCentre)),
        ),
      ].sort(),
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    withdrawKey: async (digest) => {
      const key = view.keys.get(digest);
      if (key !== undefined) view.keys.set(digest, { ...key, withdrawn: true });
    },
    start: async () => {
      void run();
    },
    stop: async () => stopping.abort(),
  };
}
