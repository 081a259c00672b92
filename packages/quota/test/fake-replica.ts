/** Fake of the configuration replica, reduced to what the quota reads. */
import type { DataCentreId } from '@hibiscusbank/core';
import type {
  ConfigurationEntry,
  ConfigurationReplica,
  Organisation,
} from '@hibiscusbank/configuration';

/** Creates a configuration replica whose entries the test applies one by one. */
export function createFakeReplica(entries: Map<string, ConfigurationEntry>) {
  const listeners = new Set<(entry: ConfigurationEntry) => void>();
  const read = (key: string) => entries.get(key)?.value;
  const replica = {
    revision: () => Math.max(0, ...[...entries.values()].map((entry) => entry.revision)),
    isReady: () => entries.size > 0,
    organisation: (id: string) => read(`config/organisations/${id}`) as Organisation | undefined,
    organisations: () =>
      [...entries.values()]
        .filter((entry) => entry.key.startsWith('config/organisations/'))
        .map((entry) => entry.value as Organisation),
    ring: () => undefined,
    dataCentres: () => (read('config/pools/names') ?? []) as readonly DataCentreId[],
    onChange: (listener: (entry: ConfigurationEntry) => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  } as unknown as ConfigurationReplica;
  const applyEntry = (entry: ConfigurationEntry): void => {
    if ((entries.get(entry.key)?.revision ?? 0) >= entry.revision) return;
    entries.set(entry.key, entry);
    listeners.forEach((listener) => listener(entry));
  };
  return { replica, applyEntry };
}
