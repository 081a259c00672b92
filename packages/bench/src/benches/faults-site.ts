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

export interface PlacedStandin<T> {
  readonly name: string;
  readonly dataCentre: string;
  readonly standin: T;
}

export interface FaultsSite {
  readonly site: Site;
  readonly prefillEngines: readonly PlacedStandin<EngineStandin>[];
  readonly decodeEngines: readonly PlacedStandin<EngineStandin>[];
  readonly plainUpstreams: readonly PlacedStandin<UpstreamStandin>[];
  stop(): Promise<void>;
}

async function startInEachDataCentre<T>(
  prefix: string,
  start: () => Promise<T>,
): Promise<readonly PlacedStandin<T>[]> {
  const placed: PlacedStandin<T>[] = [];
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
  placed: readonly PlacedStandin<{ readonly url: string }>[],
) {
  return placed.map(({ name, dataCentre, standin }) =>
    createUpstreamEntry(name, pool, {
      role,
      dataCentre: dataCentreId(dataCentre),
      address: standin.url,
      ...(role === 'plain' ? { memoryBlocks: 0, coldLimit: 2 } : {}),
    }),
  );
}

/** Routes of idempotent work and of non-idempotent work with and without idempotency keys. */
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
  const createEngineStarter = (role: EngineOptions['role']) => () =>
    startEngine(0, { role, models: ['scribe'] });
  const prefillEngines = await startInEachDataCentre('p', createEngineStarter('prefill'));
  const decodeEngines = await startInEachDataCentre('d', createEngineStarter('decode'));
  const plainUpstreams = await startInEachDataCentre('desk', () =>
    startUpstream(0, { serviceMs: BOOKING_MS }),
  );
  const site = await startSite({ dataCentres: FAULTS_DATA_CENTRES, nodes: NODES });
  const modelPool = createPoolEntry('scribe', 'model', [
    ...createEntries('scribe', 'prefill', prefillEngines),
    ...createEntries('scribe', 'decode', decodeEngines),
  ]);
  const plainPool = createPoolEntry(
    'desk',
    'plain',
    createEntries('desk', 'plain', plainUpstreams),
  );
  const organisations = [BENCH_ORGANISATION];
  await writeTables(site.objectApi, {
    routes: [
      createRouteEntry('chat', 'scribe', organisations),
      createRouteEntry('lookup', 'desk', organisations, { path: '/plans' }),
      createRouteEntry('booking', 'desk', organisations, { path: '/bookings', idempotent: false }),
      createRouteEntry('order', 'desk', organisations, { path: '/orders', idempotent: false }),
    ],
    pools: [modelPool, plainPool],
    organisations: [{ id: BENCH_ORGANISATION, ratePerS: UNLIMITED_RATE, burst: UNLIMITED_RATE }],
  });
  return {
    site,
    prefillEngines,
    decodeEngines,
    plainUpstreams,
    stop: async () => {
      await site.stop();
      const standins = [...prefillEngines, ...decodeEngines, ...plainUpstreams].map(
        ({ standin }) => standin,
      );
      await Promise.all(standins.map((standin) => standin.stop()));
    },
  };
}
