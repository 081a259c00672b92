/** Site of the zone bench: three data centres, each with nodes, engines and a plain upstream. */
import { dataCentreId } from '@hibiscusbank/core';
import { MODEL_ROUTE_DEFAULTS, PLAIN_ROUTE_DEFAULTS, startUpstream } from '@hibiscusbank/standins';
import type {
  EngineOptions,
  ModelRoute,
  PlainRoute,
  UpstreamOptions,
  UpstreamStandin,
} from '@hibiscusbank/standins';
import {
  computeDecodeCapacity,
  createGroupEntries,
  startEngineGroup,
} from '../harness/engine-groups.js';
import type { EngineGroup, EngineGroupSpec } from '../harness/engine-groups.js';
import { createModelProbe, waitUntilServing } from '../harness/serving.js';
import { tenantKeyOf, startSite, writeTables } from '../harness/site.js';
import type { Site } from '../harness/site.js';
import {
  BENCH_ORGANISATION,
  createPoolEntry,
  createRouteEntry,
  createUpstreamEntry,
  UNLIMITED_RATE,
} from '../harness/tables.js';

export const DATA_CENTRES = ['zone-a', 'zone-b', 'zone-c'] as const;

const NODES = 6;
const MODEL_POOL = 'scribe';
const PLAIN_POOL = 'desk';
const PLAIN_PATH = '/plans';
const FIRST_TOKEN_TARGET_MS = 990;
const TOKEN_GAP_TARGET_MS = 37;
const MAX_WAIT_MS = 2_000;
const TIME_LIMIT_MS = 10_000;
const MS_PER_S = 1_000;

/** A full batch of 12 takes 27.2 ms per token. */
const engineOptions: Partial<EngineOptions> = {
  slots: 12,
  tokenMs: 20,
  tokenMsPerStream: 0.6,
  prefillTokensPerMs: 40,
  linkBytesPerMs: 5_000_000,
};

const groupSpec: EngineGroupSpec = { prefill: 1, decode: 2, options: engineOptions };

const upstreamOptions: Partial<UpstreamOptions> = { serviceMs: 200, capacity: 10 };

const modelRoute: ModelRoute = {
  ...MODEL_ROUTE_DEFAULTS,
  model: MODEL_POOL,
  promptTokens: [30, 3_000],
  answerTokens: [20, 60],
  firstTokenTargetMs: FIRST_TOKEN_TARGET_MS,
  tokenGapTargetMs: TOKEN_GAP_TARGET_MS,
};

const plainRoute: PlainRoute = {
  ...PLAIN_ROUTE_DEFAULTS,
  name: 'plans',
  path: PLAIN_PATH,
  firstTokenTargetMs: FIRST_TOKEN_TARGET_MS,
};

export interface ZoneCapacity {
  /** Model requests per second of one data centre. */
  readonly modelPerS: number;
  /** Plain requests per second of one data centre. */
  readonly plainPerS: number;
}

/**
 * Computes the capacity of one data centre from decode slots, as in the handoff bench, and plain
 * service times.
 */
export function computeZoneCapacity(): ZoneCapacity {
  const { capacity = 1, serviceMs = 1 } = upstreamOptions;
  return {
    modelPerS: computeDecodeCapacity(groupSpec, [modelRoute]),
    plainPerS: (capacity * MS_PER_S) / serviceMs,
  };
}

/** Creates the routes of the load, weighted by the capacities for both kinds of work. */
export function createZoneRoutes(capacity: ZoneCapacity): readonly (ModelRoute | PlainRoute)[] {
  return [
    { ...modelRoute, weight: capacity.modelPerS },
    { ...plainRoute, weight: capacity.plainPerS },
  ];
}

interface ZoneBackEnds {
  readonly engines: EngineGroup;
  readonly upstream: UpstreamStandin;
}

export interface ZoneSite {
  readonly site: Site;
  /** URLs of the engines and upstreams of a data centre. */
  backEndUrls(dataCentre: string): readonly string[];
  /** Number of requests cancelled at the engines of a data centre so far. */
  countCancelled(dataCentre: string): number;
  stop(): Promise<void>;
}

async function startBackEnds(): Promise<ZoneBackEnds> {
  const [engines, upstream] = await Promise.all([
    startEngineGroup(groupSpec),
    startUpstream(0, upstreamOptions),
  ]);
  return { engines, upstream };
}

function createTables(backEnds: ReadonlyMap<string, ZoneBackEnds>) {
  const zones = [...backEnds];
  const engines = zones.flatMap(([dataCentre, zone]) =>
    createGroupEntries(zone.engines, MODEL_POOL, dataCentre, engineOptions),
  );
  const upstreams = zones.map(([dataCentre, { upstream }]) =>
    createUpstreamEntry(`${dataCentre}-desk`, PLAIN_POOL, {
      dataCentre: dataCentreId(dataCentre),
      address: upstream.url,
      capacity: upstreamOptions.capacity ?? 1,
      memoryBlocks: 0,
    }),
  );
  const limits = { patienceMs: MAX_WAIT_MS, timeLimitMs: TIME_LIMIT_MS };
  return {
    routes: [
      createRouteEntry('chat', MODEL_POOL, [BENCH_ORGANISATION], limits),
      createRouteEntry('plans', PLAIN_POOL, [BENCH_ORGANISATION], { ...limits, path: PLAIN_PATH }),
    ],
    pools: [
      createPoolEntry(MODEL_POOL, 'model', engines, {
        prefillTokensPerMs: 40,
        decodeMsPerToken: 27,
      }),
      createPoolEntry(PLAIN_POOL, 'plain', upstreams),
    ],
    organisations: [{ id: BENCH_ORGANISATION, ratePerS: UNLIMITED_RATE, burst: UNLIMITED_RATE }],
  };
}

/** Starts the site and waits until all nodes serve both kinds of work. */
export async function startZoneSite(): Promise<ZoneSite> {
  const backEnds = new Map<string, ZoneBackEnds>();
  for (const dataCentre of DATA_CENTRES) backEnds.set(dataCentre, await startBackEnds());
  const site = await startSite({ dataCentres: DATA_CENTRES, nodes: NODES });
  await writeTables(site.objectApi, createTables(backEnds));
  await site.waitUntilReady();
  const key = tenantKeyOf(BENCH_ORGANISATION);
  await waitUntilServing(site.nodes, createModelProbe(key, MODEL_POOL));
  await waitUntilServing(site.nodes, { key, path: PLAIN_PATH, body: undefined });
  return {
    site,
    backEndUrls: (dataCentre) => {
      const zone = backEnds.get(dataCentre);
      if (zone === undefined) return [];
      const { prefill, decode } = zone.engines;
      return [...prefill, ...decode, zone.upstream].map(({ url }) => url);
    },
    countCancelled: (dataCentre) => {
      const zone = backEnds.get(dataCentre);
      const engines = zone === undefined ? [] : [...zone.engines.prefill, ...zone.engines.decode];
      return engines.reduce((sum, engine) => sum + engine.readState().cancelled, 0);
    },
    stop: async () => {
      await site.stop();
      const stops = [...backEnds.values()].map(({ engines, upstream }) =>
        Promise.all([engines.stop(), upstream.stop()]),
      );
      await Promise.all(stops);
    },
  };
}
