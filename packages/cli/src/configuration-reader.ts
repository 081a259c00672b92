/** Reads configuration objects from the platform. */
import { createError, unwrap } from '@hibiscusbank/core';
import { CONFIGURATION_PREFIX, configurationKeys } from '@hibiscusbank/configuration';
import type { Organisation, TenantKey } from '@hibiscusbank/configuration';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import type { PoolEntry, RouteEntry } from '@hibiscusbank/settings';

/** A value with the version of its object; version 0 means that the object does not exist. */
export interface Versioned<T> {
  readonly key: string;
  readonly version: number;
  readonly value: T;
}

/** All configuration at one revision of the store. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly routes: Versioned<readonly RouteEntry[]>;
  readonly pools: readonly Versioned<PoolEntry>[];
  readonly organisations: readonly Versioned<Organisation>[];
  readonly keys: readonly Versioned<TenantKey>[];
  /** Names out of service, as `kind/name`. */
  readonly drains: readonly string[];
  /** Quota rings: data centre and member VMs. */
  readonly rings: readonly { readonly dataCentre: string; readonly members: readonly string[] }[];
}

export const POOLS_PREFIX = `${CONFIGURATION_PREFIX}pools/`;
const ORGANISATIONS_PREFIX = `${CONFIGURATION_PREFIX}organisations/`;
const KEYS_PREFIX = `${CONFIGURATION_PREFIX}keys/`;
const DRAINS_PREFIX = `${CONFIGURATION_PREFIX}drains/`;
const RINGS_PREFIX = `${CONFIGURATION_PREFIX}rings/`;

/** Returns the objects whose keys start with the prefix, sorted by key. */
function selectByPrefix<T>(objects: readonly StoredObject[], prefix: string): Versioned<T>[] {
  return objects
    .filter(({ key }) => key.startsWith(prefix))
    .sort((a, b) => (a.key < b.key ? -1 : 1))
    .map(({ key, version, value }) => ({ key, version, value: value as T }));
}

/** Reads the whole configuration. Rejects with `platform_unavailable`. */
export async function readConfiguration(objectApi: ObjectApi): Promise<StoredConfiguration> {
  const { revision, objects } = unwrap(await objectApi.list(CONFIGURATION_PREFIX));
  const [routes] = selectByPrefix<readonly RouteEntry[]>(objects, configurationKeys.routes);
  const rings = selectByPrefix<{ members?: readonly string[] }>(objects, RINGS_PREFIX);
  return {
    revision,
    routes: routes ?? { key: configurationKeys.routes, version: 0, value: [] },
    pools: selectByPrefix(objects, POOLS_PREFIX),
    organisations: selectByPrefix(objects, ORGANISATIONS_PREFIX),
    keys: selectByPrefix(objects, KEYS_PREFIX),
    drains: selectByPrefix(objects, DRAINS_PREFIX).map(({ key }) =>
      key.slice(DRAINS_PREFIX.length),
    ),
    rings: rings.map(({ key, value }) => ({
      dataCentre: key.slice(RINGS_PREFIX.length),
      members: value.members ?? [],
    })),
  };
}

/** Rejects with `conflict` if an object under the prefix changed after the given revision. */
export async function checkUnchanged(
  objectApi: ObjectApi,
  prefix: string,
  after: number,
): Promise<void> {
  const changes = await objectApi.watch(prefix, after, 0);
  if (changes.isErr() && changes.error.kind === 'history_lost') {
    throw createError(
      'conflict',
      `revision ${after} is too old to compare; run "get" and edit the table that it prints`,
    );
  }
  const latest = unwrap(changes).changes.at(-1);
  if (latest === undefined) return;
  throw createError(
    'conflict',
    `${latest.key} changed at revision ${latest.version}, after revision ${after}; ` +
      'run "get", repeat your edit on its output and apply that',
    { info: { key: latest.key, base: after, current: latest.version } },
  );
}
