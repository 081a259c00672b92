/** Routes, organisations and upstreams known to a node, and the selection of a request's route. */
import { dataCentreId, monotonicMs, upstreamId } from '@hibiscusbank/core';
import type { DataCentreId, PoolId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { EntryDecoders, StoredEntry } from './ports.js';
import { comparePositions } from './store-era.js';
import type { StorePosition } from './store-era.js';
import type {
  ServingOrganisation,
  ServingPool,
  ServingRoute,
  ServingTables,
  ServingUpstream,
} from './types.js';

type Entries = ReadonlyMap<string, StoredEntry>;

/** A registered upstream and the end of its slow start. */
export interface KnownUpstream extends ServingUpstream {
  /** Monotonic time until which the upstream is cold. */
  readonly coldUntil: number;
}

export interface Directory {
  /** Returns `undefined` before the first configuration. */
  tables(): ServingTables | undefined;
  /** Returns the host's route with the longest prefix that matches the path. */
  findRoute(host: string, path: string): ServingRoute | undefined;
  findOrganisation(key: string): ServingOrganisation | undefined;
  findPool(pool: PoolId): ServingPool | undefined;
  /** Returns the upstreams of a pool that may get new requests now. */
  usable(pool: PoolId): readonly KnownUpstream[];
  /** Whether an upstream may still get requests. Checked immediately before a run is sent. */
  isUsable(upstream: ServingUpstream): boolean;
  /** Whether configuration and upstreams are known. */
  isComplete(): boolean;
  setTables(entries: Entries): void;
  setUpstreams(entries: Entries): void;
  setOutOfService(entries: Entries): void;
  /** Returns all registered upstreams. */
  upstreams(): readonly KnownUpstream[];
}

interface TableIndex {
  readonly tables: ServingTables;
  readonly routesByHost: ReadonlyMap<string, ReadonlyMap<string, ServingRoute>>;
  readonly organisations: ReadonlyMap<string, ServingOrganisation>;
  readonly pools: ReadonlyMap<PoolId, ServingPool>;
}

function indexTables(tables: ServingTables): TableIndex {
  const routesByHost = new Map<string, Map<string, ServingRoute>>();
  for (const route of tables.routes) {
    const host = route.host.toLowerCase();
    const routes = routesByHost.get(host) ?? new Map<string, ServingRoute>();
    routes.set(route.pathPrefix, route);
    routesByHost.set(host, routes);
  }
  const organisations = new Map<string, ServingOrganisation>();
  for (const organisation of tables.organisations) {
    for (const key of organisation.keys) organisations.set(key, organisation);
  }
  return {
    tables,
    routesByHost,
    organisations,
    pools: new Map(tables.pools.map((pool) => [pool.id, pool])),
  };
}

/** Yields the prefixes of a path that end with a slash, longest first. */
function* listPrefixes(path: string): Generator<string> {
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    yield path.slice(0, end + 1);
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
}

/** Creates an empty directory. */
export function createDirectory(decoders: EntryDecoders, telemetry: Telemetry): Directory {
  let index: TableIndex | undefined;
  let known = new Map<UpstreamId, KnownUpstream>();
  const positions = new Map<UpstreamId, StorePosition>();
  let byPool = new Map<PoolId, KnownUpstream[]>();
  let outOfService: ReadonlySet<DataCentreId> = new Set();
  let hasUpstreams = false;

  const isUsable = (upstream: ServingUpstream): boolean => {
    const current = known.get(upstream.id);
    return (
      current !== undefined &&
      current.isReady &&
      current.startedAt === upstream.startedAt &&
      current.address === upstream.address &&
      !outOfService.has(current.dataCentre)
    );
  };

  const logChange = (upstream: KnownUpstream, before: KnownUpstream | undefined): void => {
    if (
      before?.isReady === upstream.isReady &&
      before.startedAt === upstream.startedAt &&
      before.role === upstream.role
    ) {
      return;
    }
    telemetry.log('upstreamChanged', {
      upstream: upstream.id,
      pool: upstream.pool,
      ready: upstream.isReady,
      role: upstream.role,
      startedAt: upstream.startedAt,
    });
  };

  return {
    tables: () => index?.tables,
    findRoute: (host, path) => {
      const routes = index?.routesByHost.get(host.toLowerCase());
      if (routes === undefined) return undefined;
      const [pathOnly = '/'] = path.split('?');
      for (const prefix of listPrefixes(pathOnly)) {
        const route = routes.get(prefix);
        if (route !== undefined) return route;
      }
      return undefined;
    },
    findOrganisation: (key) => index?.organisations.get(key),
    findPool: (pool) => index?.pools.get(pool),
    usable: (pool) => (byPool.get(pool) ?? []).filter(isUsable),
    isUsable,
    isComplete: () => index !== undefined && hasUpstreams,
    upstreams: () => [...known.values()],
    setTables: (entries) => {
      const entry = entries.get(decoders.tablesName);
      if (entry === undefined) return;
      const tables = decoders.tables(entry.value);
      if (tables === undefined) {
        telemetry.log('configurationRejected', { era: entry.era, revision: entry.revision });
        return;
      }
      // Versions only increase, so an older one comes from a peer that lags behind.
      if (index !== undefined && tables.version <= index.tables.version) return;
      index = indexTables(tables);
      telemetry.metrics.configurationRevision.set(tables.version);
      telemetry.log('configurationApplied', {
        version: tables.version,
        era: entry.era,
        revision: entry.revision,
        routes: tables.routes.length,
      });
    },
    setUpstreams: (entries) => {
      const next = new Map<UpstreamId, KnownUpstream>();
      const nextByPool = new Map<PoolId, KnownUpstream[]>();
      const now = monotonicMs();
      for (const [name, entry] of entries) {
        const before = known.get(upstreamId(name));
        const position = before && positions.get(before.id);
        const isSame =
          before !== undefined && position !== undefined && comparePositions(position, entry) === 0;
        const decoded = isSame ? before : decoders.upstream(name, entry.value);
        if (decoded === undefined) continue;
        const upstream = isSame ? before : { ...decoded, coldUntil: now + decoded.coldMs };
        if (!isSame) logChange(upstream, before);
        positions.set(upstream.id, { era: entry.era, revision: entry.revision });
        next.set(upstream.id, upstream);
        const list = nextByPool.get(upstream.pool) ?? [];
        list.push(upstream);
        nextByPool.set(upstream.pool, list);
      }
      for (const id of known.keys()) {
        if (next.has(id)) continue;
        positions.delete(id);
        telemetry.log('upstreamGone', { upstream: id });
      }
      known = next;
      byPool = nextByPool;
      hasUpstreams = true;
    },
    setOutOfService: (entries) => {
      const next = new Set([...entries.keys()].map(dataCentreId));
      for (const dataCentre of next) {
        if (!outOfService.has(dataCentre)) telemetry.log('dataCentreOut', { place: dataCentre });
      }
      for (const dataCentre of outOfService) {
        if (!next.has(dataCentre)) telemetry.log('dataCentreBack', { place: dataCentre });
      }
      outOfService = next;
    },
  };
}
