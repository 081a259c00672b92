/** Stand-ins and tables of the faults bench. */
import { dataCentreId } from '@hibiscusbank/core';
import {
  MODEL_ROUTE_DEFAULTS,
  PLAIN_ROUTE_DEFAULTS,
  startEngine,
  startUpstream,
} from '@hibiscusbank/standins';
import type {
  EngineOptions,
  EngineStandin,
  LoadRoute,
  UpstreamStandin,
} from '@hibiscusbank/standins';
import { startSite, writeTables } from '../harness/site.js';
import type { Site } from '../harness/site.js';
import {
  BENCH_ORGANISATION,
  createPoolEntry,
  createRouteEntry,
  createUpstreamEntry,
  UNLIMITED_RATE,
} from '../harness/tables.js';

export const FAULTS_DATA_CENTRES = ['dc-a', 'dc-b'] as const;
const NODES = 6;
const PER_DATA_CENTRE = 2;
const BOOKING_MS = 15;

export interface Placed<T> {
  readonly name: string;
  readonly dataCentre: string;
  readonly standin: T;
}

export interface FaultsSite {
  readonly site: Site;
  readonly prefills: readonly Placed<EngineStandin>[];
  readonly decodes: readonly Placed<EngineStandin>[];
  readonly desks: readonly Placed<UpstreamStandin>[];
  stop(): Promise<void>;
}

async function startInAll<T>(
  prefix: string,
  start: () => Promise<T>,
): Promise<readonly Placed<T>[]> {
  const placed: Placed<T>[] = [];
  for (const dataCentre of FAULTS_DATA_CENTRES) {
    for (let i = 1; i <= PER_DATA_CENTRE; i += 1) {
      placed.push({ name: `${prefix}-${dataCentre}-${i}`, dataCentre, standin: await start() });
    }
  }
  return placed;
}

function createEntries(
  pool: string,
  role: 'prefill' | 'decode' | 'plain',
  all: readonly Placed<{ readonly url: string }>[],
) {
  return all.map(({ name, dataCentre, standin }) =>
    createUpstreamEntry(name, pool, {
      role,
      dataCentre: dataCentreId(dataCentre),
      address: standin.url,
      ...(role === 'plain' ? { memoryBlocks: 0, coldLimit: 2 } : {}),
    }),
  );
}

/** Idempotent and non-idempotent work, the latter with and without idempotency keys. */
export const FAULTS_ROUTES: readonly LoadRoute[] = [
  {
    ...MODEL_ROUTE_DEFAULTS,
    name: 'chat',
    weight: 3,
    model: 'scribe',
    promptTokens: [50, 2_000],
    answerTokens: [20, 400],
    cancelShare: 0.1,
  },
  { ...PLAIN_ROUTE_DEFAULTS, name: 'lookup', weight: 4, path: '/plans' },
  {
    ...PLAIN_ROUTE_DEFAULTS,
    name: 'booking',
    weight: 4,
    path: '/bookings',
    method: 'POST',
    bodyBytes: 200,
  },
  {
    ...PLAIN_ROUTE_DEFAULTS,
    name: 'order',
    weight: 4,
    path: '/orders',
    method: 'POST',
    bodyBytes: 200,
    idempotencyKeys: true,
  },
];

/** Starts six nodes in two data centres in front of engines and plain upstreams. */
export async function startFaultsSite(): Promise<FaultsSite> {
  const engine = (role: EngineOptions['role']) => () =>
    startEngine(0, { role, models: ['scribe'] });
  const prefills = await startInAll('p', engine('prefill'));
  const decodes = await startInAll('d', engine('decode'));
  const desks = await startInAll('desk', () => startUpstream(0, { serviceMs: BOOKING_MS }));
  const site = await startSite({ dataCentres: FAULTS_DATA_CENTRES, nodes: NODES });
  const scribe = createPoolEntry('scribe', 'model', [
    ...createEntries('scribe', 'prefill', prefills),
    ...createEntries('scribe', 'decode', decodes),
  ]);
  const plain = createPoolEntry('desk', 'plain', createEntries('desk', 'plain', desks));
  const access = [BENCH_ORGANISATION];
  await writeTables(site.objectApi, {
    routes: [
      createRouteEntry('chat', 'scribe', access),
      createRouteEntry('lookup', 'desk', access, { path: '/plans' }),
      createRouteEntry('booking', 'desk', access, { path: '/bookings', idempotent: false }),
      createRouteEntry('order', 'desk', access, { path: '/orders', idempotent: false }),
    ],
    pools: [scribe, plain],
    organisations: [{ id: BENCH_ORGANISATION, ratePerS: UNLIMITED_RATE, burst: UNLIMITED_RATE }],
  });
  return {
    site,
    prefills,
    decodes,
    desks,
    stop: async () => {
      await site.stop();
      const standins = [...prefills, ...decodes, ...desks].map(({ standin }) => standin);
      await Promise.all(standins.map((standin) => standin.stop()));
    },
  };
}
