/**
 * Site of the handoff bench: newly started engines behind the router's nodes or behind baseline
 * relays.
 */
import { fileURLToPath } from 'node:url';
import { MODEL_ROUTE_DEFAULTS } from '@hibiscusbank/standins';
import type { EngineOptions, LoadTarget, ModelRoute } from '@hibiscusbank/standins';
import { createGroupEntries, startEngineGroup } from '../harness/engine-groups.js';
import type { EngineGroup, EngineGroupSpec } from '../harness/engine-groups.js';
import type { Baseline } from '../harness/baseline-policies.js';
import { findFreePorts } from '../harness/ports.js';
import { endProcesses, startProcess } from '../harness/processes.js';
import { createModelProbe, waitUntilListening, waitUntilServing } from '../harness/serving.js';
import { tenantKeyOf, startSite, writeTables } from '../harness/site.js';
import {
  BENCH_ORGANISATION,
  createPoolEntry,
  createRouteEntry,
  UNLIMITED_RATE,
} from '../harness/tables.js';
import { readViolations } from '../harness/violations.js';

export type Policy = 'router' | Baseline;

export const FIRST_TOKEN_TARGET_MS = 990;
export const TOKEN_GAP_TARGET_MS = 37;

const POOL = 'scribe';
const DATA_CENTRE = 'dc';
/** Number of nodes or relays. A relay knows only its own requests. */
const FRONT_ENDS = 3;
const MAX_WAIT_MS = 2_000;
const TIME_LIMIT_MS = 10_000;
const BASELINE_SCRIPT = fileURLToPath(new URL('../harness/baseline-main.js', import.meta.url));

/**
 * A full batch of 16 takes 28 ms per token; the target of 37 ms leaves a margin for a busy machine.
 */
const engineOptions: Partial<EngineOptions> = {
  slots: 16,
  tokenMs: 20,
  tokenMsPerStream: 0.5,
  prefillTokensPerMs: 33,
  prefixCacheBlocks: 64,
  kvTtlMs: 800,
  kvBytesPerToken: 100_000,
  linkBytesPerMs: 5_000_000,
};

export const groupSpec: EngineGroupSpec = { prefill: 2, decode: 4, options: engineOptions };

const commonRoute: ModelRoute = {
  ...MODEL_ROUTE_DEFAULTS,
  model: POOL,
  answerTokens: [20, 60],
  firstTokenTargetMs: FIRST_TOKEN_TARGET_MS,
  tokenGapTargetMs: TOKEN_GAP_TARGET_MS,
};

/**
 * Three in four prompts are unique; the others begin with one of 24 shared prefixes of two blocks.
 */
export const loadRoutes: readonly ModelRoute[] = [
  { ...commonRoute, name: 'unique', weight: 3, promptTokens: [30, 3_000] },
  {
    ...commonRoute,
    name: 'shared',
    weight: 1,
    promptTokens: [2_200, 4_000],
    sharedTokens: 2_100,
    sharedPrompts: 24,
  },
];

export interface HandoffSite {
  readonly engines: EngineGroup;
  readonly targets: readonly LoadTarget[];
  readViolations(): Promise<readonly string[]>;
  stop(): Promise<void>;
}

async function startRouter(engines: EngineGroup): Promise<HandoffSite> {
  const site = await startSite({ dataCentres: [DATA_CENTRE], nodes: FRONT_ENDS });
  const pool = createPoolEntry(
    POOL,
    'model',
    createGroupEntries(engines, POOL, DATA_CENTRE, engineOptions),
    { prefillTokensPerMs: 33, decodeMsPerToken: 28 },
  );
  await writeTables(site.objectApi, {
    routes: [
      createRouteEntry('chat', POOL, [BENCH_ORGANISATION], {
        firstTokenTargetMs: FIRST_TOKEN_TARGET_MS,
        tokenGapTargetMs: TOKEN_GAP_TARGET_MS,
        patienceMs: MAX_WAIT_MS,
        timeLimitMs: TIME_LIMIT_MS,
      }),
    ],
    pools: [pool],
    organisations: [{ id: BENCH_ORGANISATION, ratePerS: UNLIMITED_RATE, burst: UNLIMITED_RATE }],
  });
  await site.waitUntilReady();
  await waitUntilServing(site.nodes, createModelProbe(tenantKeyOf(BENCH_ORGANISATION), POOL));
  return {
    engines,
    targets: site.nodes.map(({ url, adminUrl }) => ({ url, admin: adminUrl })),
    readViolations: () => readViolations(site.nodes),
    stop: async () => {
      await Promise.all([site.stop(), engines.stop()]);
    },
  };
}

async function startRelays(engines: EngineGroup, baseline: Baseline): Promise<HandoffSite> {
  const prefill = engines.prefill.map(({ url }) => url).join(',');
  const decode = engines.decode.map(({ url }) => url).join(',');
  const ports = await findFreePorts(FRONT_ENDS);
  const relays = ports.map((port, index) =>
    startProcess(`${baseline}-${index}`, BASELINE_SCRIPT, [
      String(port),
      baseline,
      String(index),
      prefill,
      decode,
    ]),
  );
  await Promise.all(ports.map((port) => waitUntilListening(`http://127.0.0.1:${port}`)));
  return {
    engines,
    targets: ports.map((port) => ({ url: `http://127.0.0.1:${port}` })),
    readViolations: () => Promise.resolve([]),
    stop: async () => {
      await Promise.all([endProcesses(relays), engines.stop()]);
    },
  };
}

/** Starts engines and, in front of them, nodes or the relays of a baseline. */
export async function startHandoffSite(policy: Policy): Promise<HandoffSite> {
  const engines = await startEngineGroup(groupSpec);
  return policy === 'router' ? startRouter(engines) : startRelays(engines, policy);
}
