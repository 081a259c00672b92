/** Heavy and light organisations share a site that loses a node, then a data centre's links. */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { dataCentreId, organisationId, sleep } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import { MODEL_ROUTE_DEFAULTS, startEngine } from '@hibiscusbank/standins';
import type { EngineStandin, ModelRoute, Range } from '@hibiscusbank/standins';
import { startLibrarySite } from '../harness/library-site.js';
import type { LibrarySite } from '../harness/library-site.js';
import { keyOf, writeTables } from '../harness/site.js';
import {
  createPoolEntry,
  createRouteEntry,
  createUpstreamEntry,
  UNLIMITED_RATE,
} from '../harness/tables.js';
import { startTraffic } from '../harness/traffic.js';
import type { TrafficRecord } from '../harness/traffic.js';
import type { Bench, BenchOptions } from '../types.js';
import { describePhase, describeTenant, goodShare, round } from './tenants-figures.js';
import { createLedger, findWorstWindow } from './tenants-ledger.js';
import type { Ledger } from './tenants-ledger.js';

const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c'];
const NODES = 6;
const LIMITS = { ratePerS: 1_200, burst: 4_800 };
const PROMPT_TOKENS: Range = [50, 200];
const ANSWER_TOKENS: Range = [20, 80];
const PATIENCE_MS = 2_000;
const HEAVY_FACTOR = 5;
const SETTLE_MS = 8_000;
const MS_PER_S = 1_000;
const NS_PER_MS = 1_000_000;
const DRAIN_S = 3;
const OVERHEAD_S = 11;
const ALONE_SHARE = 0.2;
const FAULT_SHARE = 0.4;
/** Parts of a phase at which its fault begins and ends. */
const FAULT_FROM = 0.2;
const FAULT_TO = 0.6;

interface Tenant {
  readonly id: OrganisationId;
  /** Tokens sent over the tokens allowed. */
  readonly load: number;
}

const LIGHT: readonly Tenant[] = [
  { id: organisationId('light-1'), load: 0.6 },
  { id: organisationId('light-2'), load: 0.7 },
  { id: organisationId('light-3'), load: 0.8 },
];
const HEAVY: readonly Tenant[] = [
  { id: organisationId('heavy-1'), load: HEAVY_FACTOR },
  { id: organisationId('heavy-2'), load: HEAVY_FACTOR },
];
/** Takes the engines out of slow start; it has no limit that matters. */
const WARM_UP: Tenant = { id: organisationId('warm-up'), load: 8 };
const WARM_UP_S = 5;
const TENANTS = [...LIGHT, ...HEAVY];

/** Mean of a range that is drawn evenly on a logarithmic scale. */
const meanOf = ([min, max]: Range): number => (max - min) / Math.log(max / min);

const REQUESTS_PER_S = LIMITS.ratePerS / (meanOf(PROMPT_TOKENS) + meanOf(ANSWER_TOKENS));

const ROUTE: ModelRoute = {
  ...MODEL_ROUTE_DEFAULTS,
  model: 'scribe',
  promptTokens: PROMPT_TOKENS,
  answerTokens: ANSWER_TOKENS,
};

interface TenantEngine extends EngineStandin {
  readonly dataCentre: string;
  readonly role: 'prefill' | 'decode';
}

async function startEngines(): Promise<readonly TenantEngine[]> {
  const engines: TenantEngine[] = [];
  for (const dataCentre of DATA_CENTRES) {
    for (const role of ['prefill', 'decode', 'decode'] as const) {
      const standin = await startEngine(0, { role, models: ['scribe'] });
      engines.push({ ...standin, dataCentre, role });
    }
  }
  return engines;
}

async function writeTenantTables(
  site: LibrarySite,
  engines: readonly TenantEngine[],
): Promise<void> {
  const upstreams = engines.map(({ url, dataCentre, role }, i) =>
    createUpstreamEntry(`e${i}`, 'scribe', {
      role,
      dataCentre: dataCentreId(dataCentre),
      address: url,
    }),
  );
  const ids = [...TENANTS, WARM_UP].map(({ id }) => id);
  await writeTables(site.objectApi, {
    routes: [createRouteEntry('chat', 'scribe', ids, { patienceMs: PATIENCE_MS })],
    pools: [createPoolEntry('scribe', 'model', upstreams)],
    organisations: [
      ...TENANTS.map(({ id }) => ({ id, ...LIMITS })),
      { id: WARM_UP.id, ratePerS: UNLIMITED_RATE, burst: UNLIMITED_RATE },
    ],
  });
}

async function sendLoad(
  site: LibrarySite,
  tenants: readonly Tenant[],
  seconds: number,
  seed: number,
): Promise<readonly TrafficRecord[]> {
  const load = tenants.reduce((sum, tenant) => sum + tenant.load, 0);
  const traffic = startTraffic({
    targets: site.nodes.map(({ url, adminUrl }) => ({ url, admin: adminUrl })),
    organisations: tenants.map(({ id, load: weight }) => ({ name: id, key: keyOf(id), weight })),
    routes: [ROUTE],
    ratePerS: load * REQUESTS_PER_S,
    seconds,
    seed,
    drainSeconds: DRAIN_S,
  });
  await traffic.done;
  return traffic.records;
}

async function duringLoad<T>(
  load: Promise<T>,
  seconds: number,
  begin: () => Promise<void>,
  end: () => Promise<void>,
): Promise<T> {
  await sleep(seconds * FAULT_FROM * MS_PER_S);
  await begin();
  await sleep(seconds * (FAULT_TO - FAULT_FROM) * MS_PER_S);
  await end();
  return load;
}

function findOverBound(ledger: Ledger) {
  const windows = TENANTS.map(({ id }) => ({
    organisation: id,
    ...findWorstWindow(ledger.readAdmissions(id), LIMITS),
  }));
  return windows.reduce((worst, window) => (window.ratio > worst.ratio ? window : worst));
}

async function measure(site: LibrarySite, { seed, seconds }: BenchOptions) {
  const loadS = Math.max(15, seconds - SETTLE_MS / MS_PER_S - OVERHEAD_S);
  const phaseS = loadS * FAULT_SHARE;
  await sleep(SETTLE_MS - WARM_UP_S * MS_PER_S);
  await sendLoad(site, [WARM_UP], WARM_UP_S, seed);
  const representative = LIGHT.slice(1, 2);
  const alone = await sendLoad(site, representative, loadS * ALONE_SHARE, seed);
  const aloneShare = goodShare(describeTenant(alone));
  const [node] = site.nodes;
  if (node === undefined) throw new Error('no node');
  const killed = await duringLoad(
    sendLoad(site, TENANTS, phaseS, seed + 1),
    phaseS,
    () => site.kill(node),
    () => site.restart(node),
  );
  const isolate = async (dataCentre: string | undefined): Promise<void> => {
    site.links.isolated = dataCentre;
  };
  const isolated = await duringLoad(
    sendLoad(site, TENANTS, phaseS, seed + 2),
    phaseS,
    () => isolate(DATA_CENTRES[1]),
    () => isolate(undefined),
  );
  const names = (tenants: readonly Tenant[]): string[] => tenants.map(({ id }) => id);
  const describe = (records: readonly TrafficRecord[]) =>
    describePhase(records, names(LIGHT), names(HEAVY), aloneShare);
  return {
    alone: round(aloneShare),
    node_killed: describe(killed),
    data_centre_cut_off: describe(isolated),
  };
}

export const runTenants: Bench = async (options) => {
  const ledger = createLedger();
  const engines = await startEngines();
  const site = await startLibrarySite(DATA_CENTRES, NODES, ledger.observer);
  try {
    await writeTenantTables(site, engines);
    await site.waitUntilReady();
    // Nodes, engines and callers share this process: with a late event loop goodput means nothing.
    const loopDelay = monitorEventLoopDelay();
    loopDelay.enable();
    const figures = await measure(site, options);
    loopDelay.disable();
    const phases = [figures.node_killed, figures.data_centre_cut_off];
    for (const phase of phases) options.print(JSON.stringify(phase));
    const worst = findOverBound(ledger);
    const uncharged = ledger.listUncharged();
    const violations = site.instances.flatMap(({ telemetry }) => telemetry.invariants.violations());
    const refused = phases.reduce((sum, phase) => sum + phase.refused, 0);
    const sent = phases.reduce((sum, phase) => sum + phase.sent, 0);
    return {
      fields: {
        max_over_bound: round(worst.ratio),
        worst_window: worst,
        wrongful_refusals: round(refused / Math.max(1, sent), 5),
        worst_org_goodput_vs_alone: Math.min(
          ...phases.map((phase) => phase.worst_org_goodput_vs_alone),
        ),
        ...figures,
        loop_delay_p99_ms: round(loopDelay.percentile(99) / NS_PER_MS, 1),
        ran_uncharged: uncharged.length,
      },
      broken: [
        ...(worst.ratio > 1 ? [`max_over_bound: ${worst.organisation} ${worst.ratio}`] : []),
        ...(uncharged.length > 0 ? [`ran without a charge: ${uncharged.join(' ')}`] : []),
        ...violations.map(({ invariant, detail }) => `${invariant}: ${detail}`),
      ],
    };
  } finally {
    await site.stop();
    await Promise.all(engines.map((engine) => engine.stop()));
  }
};
