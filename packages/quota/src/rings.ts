/** The newest ring of each data centre that this node has seen. */
import { dataCentreId } from '@hibiscusbank/core';
import type { DataCentreId } from '@hibiscusbank/core';
import type { ConfigurationEntry, ConfigurationReplica } from '@hibiscusbank/configuration';
import { parseRing } from './ring.js';
import type { Ring } from './ring.js';

export const RING_PREFIX = 'config/rings/';

export interface Rings {
  /** Registers a listener for every newer ring. */
  onRing(listener: (ring: Ring) => void): void;
  get(dataCentre: DataCentreId): Ring | undefined;
  /** Applies a value read from the platform. */
  apply(dataCentre: DataCentreId, value: unknown, version: number): void;
}

/** Creates the set of rings and subscribes it to changes of the configuration. */
export function createRings(configuration: ConfigurationReplica): Rings {
  const listeners: ((ring: Ring) => void)[] = [];
  const rings = new Map<DataCentreId, Ring>();

  const apply = (dataCentre: DataCentreId, value: unknown, version: number): void => {
    if ((rings.get(dataCentre)?.version ?? 0) >= version) return;
    const ring = parseRing(dataCentre, value, version);
    if (ring === undefined) return;
    rings.set(dataCentre, ring);
    for (const listener of listeners) listener(ring);
  };

  const applyEntry = (entry: ConfigurationEntry): void => {
    if (!entry.key.startsWith(RING_PREFIX) || entry.deleted) return;
    apply(dataCentreId(entry.key.slice(RING_PREFIX.length)), entry.value, entry.revision);
  };

  configuration.onChange(applyEntry);
  return {
    onRing: (listener) => {
      listeners.push(listener);
    },
    get: (dataCentre) => {
      const known = configuration.ring(dataCentre);
      if (known !== undefined) apply(dataCentre, known, known.version);
      return rings.get(dataCentre);
    },
    apply,
  };
}
