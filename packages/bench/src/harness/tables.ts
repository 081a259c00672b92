/** Creates table entries with the defaults of the benches. */
import { dataCentreId, organisationId, poolId, routeId, upstreamId } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import type { PoolEntry, RouteEntry, UpstreamEntry } from '@hibiscusbank/settings';

export const BLOCK_TOKENS = 1_000;

/** Creates an upstream of a pool. */
export function createUpstreamEntry(
  name: string,
  pool: string,
  overrides: Partial<UpstreamEntry>,
): UpstreamEntry {
  return {
    id: upstreamId(name),
    pool: poolId(pool),
    role: 'plain',
    dataCentre: dataCentreId('dc'),
    address: '',
    capacity: 20,
    memoryBlocks: 200,
    coldLimit: 4,
    coldStepMs: 200,
    linkBytesPerMs: 1_000_000,
    checksOrders: true,
    ...overrides,
  };
}

/** Creates a pool of upstreams. */
export function createPoolEntry(
  name: string,
  kind: PoolEntry['kind'],
  upstreams: readonly UpstreamEntry[],
  overrides: Partial<PoolEntry> = {},
): PoolEntry {
  return {
    id: poolId(name),
    kind,
    model: kind === 'model' ? name : undefined,
    version: undefined,
    adapters: [],
    blockTokens: BLOCK_TOKENS,
    kvBytesPerToken: 100_000,
    prefillTokensPerMs: 10,
    decodeMsPerToken: 25,
    balanceRoles: false,
    upstreams,
    ...overrides,
  };
}

/** Creates a route to a pool that the given organisations may use. */
export function createRouteEntry(
  name: string,
  pool: string,
  organisations: readonly OrganisationId[],
  overrides: Partial<RouteEntry> = {},
): RouteEntry {
  return {
    id: routeId(name),
    path: '/v1/chat/completions',
    methods: [],
    model: undefined,
    access: { kind: 'organisations', organisations },
    pool: poolId(pool),
    idempotent: true,
    urgency: 'urgent',
    firstTokenTargetMs: 990,
    tokenGapTargetMs: 37,
    patienceMs: 5_000,
    timeLimitMs: 60_000,
    maxTokensDefault: 256,
    requestCost: 1,
    ...overrides,
  };
}

/** Organisation of the benches that need only one. */
export const BENCH_ORGANISATION = organisationId('bench');

/** A rate and burst that no bench reaches. */
export const UNLIMITED_RATE = 1_000_000_000;
