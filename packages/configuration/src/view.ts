/** Typed view of the configuration entries, indexed for the request path. */
import type { DataCentreId, KeyDigest, OrganisationId, PoolId } from '@hibiscusbank/core';
import type { PoolEntry, RouteEntry } from '@hibiscusbank/settings';
import type { ConfigurationEntry, Organisation, QuotaRing, TenantKey } from './types.js';

export interface ConfigurationView {
  routes: readonly RouteEntry[];
  readonly pools: Map<PoolId, PoolEntry>;
  readonly organisations: Map<OrganisationId, Organisation>;
  readonly keys: Map<KeyDigest, TenantKey>;
  /** Data centres, VMs and upstreams that are out of service, as `kind/name`. */
  readonly drains: Set<string>;
  readonly rings: Map<DataCentreId, QuotaRing>;
}

export function createView(): ConfigurationView {
  return {
    routes: [],
    pools: new Map(),
    organisations: new Map(),
    keys: new Map(),
    drains: new Set(),
    rings: new Map(),
  };
}

function setOrDelete<K, V>(map: Map<K, V>, key: K, value: V, deleted: boolean): void {
  if (deleted) map.delete(key);
  else map.set(key, value);
}

/** A drain needs no value, routes are a list, and all other kinds have an object as value. */
function isWellFormed(kind: string | undefined, { value, deleted }: ConfigurationEntry): boolean {
  if (deleted || kind === 'drains') return true;
  if (kind === 'routes') return Array.isArray(value);
  return typeof value === 'object' && value !== null;
}

/**
 * Applies one entry to the view. Returns false for a malformed entry, which leaves the previous one in
 * place. Entries of unknown kinds are ignored.
 */
export function applyToView(view: ConfigurationView, entry: ConfigurationEntry): boolean {
  const [, kind, ...rest] = entry.key.split('/');
  const name = rest.join('/');
  const { value, deleted } = entry;
  if (!isWellFormed(kind, entry)) return false;
  if (kind === 'routes') view.routes = deleted ? [] : (value as RouteEntry[]);
  if (kind === 'pools') setOrDelete(view.pools, name as PoolId, value as PoolEntry, deleted);
  if (kind === 'organisations') {
    setOrDelete(view.organisations, name as OrganisationId, value as Organisation, deleted);
  }
  if (kind === 'keys') setOrDelete(view.keys, name as KeyDigest, value as TenantKey, deleted);
  if (kind === 'drains') {
    if (deleted) view.drains.delete(name);
    else view.drains.add(name);
  }
  if (kind === 'rings') {
    const ring = { ...(value as QuotaRing), version: entry.revision };
    setOrDelete(view.rings, name as DataCentreId, ring, deleted);
  }
  return true;
}
