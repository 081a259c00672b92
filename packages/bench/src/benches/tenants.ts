/**
 * Organisations above and below their rate limit share a site while a node is killed, then a data
 * centre is isolated.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { dataCentreId, organisationId, sleep } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import { MODEL_ROUTE_DEFAULTS, startEngine } from '@hibiscusbank/standins';
import type { EngineStandin, ModelRoute, Range } from '@hibiscusbank/standins';
import { startLibrarySite } from '../harness/library-site.js';
import type { LibrarySite } from '../harness/library-site.js';
import { tenantKeyOf, writeTables } from '../harness/site.js';
import {
  createPoolEntry,
  createRouteEntry,
  createUpstreamEntry,
  UNLIMITED_RATE,
} from '../harness/tables.js';
import { startTraffic } from '../harness/traffic.js';
import type { TrafficRecord } from '../harness/traffic.js';
import type { Bench, BenchOptions } from '../types.js';
import { describePhase, describeTenant, onTargetFraction, round } from './tenants-figures.js';
import { createLedger, findWorstWindow } from './tenants-ledger.js';
import type { Ledger } from './tenants-ledger.js';

const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c'];
const NODES = 6;
const LIMITS = { ratePerS: 1_200, burst: 4_800 };
const PROMPT_TOKENS: Range = [50, 200];
const ANSWER_TOKENS: Range = [20, 80];
const MAX_WAIT_MS = 2_000;
const HEAVY_LOAD_FACTOR = 5;
const SETTLE_MS = 8_000;
const MS_PER_S = 1_000;
const NS_PER_MS = 1_000_000;
const DRAIN_S = 3;
const OVERHEAD_S = 11;
const ALONE_TIME_FRACTION = 0.2;
const FAULT_PHASE_TIME_FRACTION = 0.4;
/** Fractions of a phase at which its fault begins and ends. */
const FAULT_START_FRACTION = 0.2;
const FAULT_END_FRACTION = 0.6;

interface Tenant {
  readonly id: OrganisationId;
  /** Tokens sent divided by the tokens allowed. */
  readonly loadFactor: number;
}

const LIGHT_TENANTS: readonly Tenant[] = [
  { id: organisationId('light-1'), loadFactor: 0.6 },
  { id: organisationId('light-2'), loadFactor: 0.7 },
  { id: organisationId('light-3'), loadFactor: 0.8 },
];
const HEAVY_TENANTS: readonly Tenant[] = [
  { id: organisationId('heavy-1'), loadFactor: HEAVY_LOAD_FACTOR },
  { id: organisationId('heavy-2'), loadFactor: HEAVY_LOAD_FACTOR },
];
/** Tenant whose load ends the slow start of the engines. Its load stays below its limits. */
const WARM_UP_TENANT: Tenant = { id: organisationId('warm-up'), loadFactor: 8 };
const WARM_UP_S = 5;
const TENANTS = [...LIGHT_TENANTS, ...HEAVY_TENANTS];

/** Returns the mean of a log-uniform distribution. */
const logMeanOf = ([min, max]: Range): number => (max - min) / Math.log(max / min);

const REQUESTS_PER_S = LIMITS.ratePerS / (logMeanOf(PROMPT_TOKENS) + logMeanOf(ANSWER_TOKENS));

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
  const ids = [...TENANTS, WARM_UP_TENANT].map(({ id }) => id);
  await writeTables(site.objectApi, {
    routes: [createRouteEntry('chat', 'scribe', ids, { patienceMs: MAX_WAIT_MS })],
    pools: [createPoolEntry('scribe', 'model', upstreams)],
    organisations: [
      ...TENANTS.map(({ id }) => ({ id, ...LIMITS })),
      { id: WARM_UP_TENANT.id, ratePerS: UNLIMITED_RATE, burst: UNLIMITED_RATE },
    ],
  });
}

async function sendLoad(
  site: LibrarySite,
  tenants: readonly Tenant[],
  seconds: number,
  seed: number,
): Promise<readonly TrafficRecord[]> {
  const totalLoadFactor = tenants.reduce((sum, tenant) => sum + tenant.loadFactor, 0);
  const traffic = startTraffic({
    targets: site.nodes.map(({ url, adminUrl }) => ({ url, admin: adminUrl })),
    organisations: tenants.map(({ id, loadFactor: weight }) => ({
      name: id,
      key: tenantKeyOf(id),
      weight,
    })),
    routes: [ROUTE],
    ratePerS: totalLoadFactor * REQUESTS_PER_S,
    seconds,
    seed,
    drainSeconds: DRAIN_S,
  });
  await traffic.done;
  return traffic.records;
}

async function runWithFault<T>(
  load: Promise<T>,
  seconds: number,
  startFault: () => Promise<void>,
  endFault: () => Promise<void>,
): Promise<T> {
  await sleep(seconds * FAULT_START_FRACTION * MS_PER_S);
  await startFault();
  await sleep(seconds * (FAULT_END_FRACTION - FAULT_START_FRACTION) * MS_PER_S);
  await endFault();
  return load;
}

function findWorstOrganisation(ledger: Ledger) {
  const windows = TENANTS.map(({ id }) => ({
    organisation: id,
    ...findWorstWindow(ledger.readAdmissions(id), LIMITS),
  }));
  return windows.reduce((worst, window) => (window.ratio > worst.ratio ? window : worst));
}

async function measure(site: LibrarySite, { seed, seconds }: BenchOptions) {
  const loadS = Math.max(15, seconds - SETTLE_MS / MS_PER_S - OVERHEAD_S);
  const phaseS = loadS * FAULT_PHASE_TIME_FRACTION;
  await sleep(SETTLE_MS - WARM_UP_S * MS_PER_S);
  await sendLoad(site, [WARM_UP_TENANT], WARM_UP_S, seed);
  const tenantAlone = LIGHT_TENANTS.slice(1, 2);
  const alone = await sendLoad(site, tenantAlone, loadS * ALONE_TIME_FRACTION, seed);
  const aloneFraction = onTargetFraction(describeTenant(alone));
  const [node] = site.nodes;
  if (node === undefined) throw new Error('the site has no nodes');
  const nodeKilledRecords = await runWithFault(
    sendLoad(site, TENANTS, phaseS, seed + 1),
    phaseS,
    () => site.kill(node),
    () => site.restart(node),
  );
  const isolate = async (dataCentre: string | undefined): Promise<void> => {
    site.linkFaults.isolatedDataCentre = dataCentre;
  };
  const isolatedRecords = await runWithFault(
    sendLoad(site, TENANTS, phaseS, seed + 2),
    phaseS,
    () => isolate(DATA_CENTRES[1]),
    () => isolate(undefined),
  );
  const names = (tenants: readonly Tenant[]): string[] => tenants.map(({ id }) => id);
  const describeRecords = (records: readonly TrafficRecord[]) =>
    describePhase(records, names(LIGHT_TENANTS), names(HEAVY_TENANTS), aloneFraction);
  return {
    alone: round(aloneFraction),
    node_killed: describeRecords(nodeKilledRecords),
    data_centre_cut_off: describeRecords(isolatedRecords),
  };
}

export const runTenants: Bench = async (options) => {
  const ledger = createLedger();
  const engines = await startEngines();
  const site = await startLibrarySite(DATA_CENTRES, NODES, ledger.observer);
  try {
    await writeTenantTables(site, engines);
    await site.waitUntilReady();
    // Nodes, engines and callers share this process, so goodput is meaningless if its event loop
    // is delayed.
    const loopDelay = monitorEventLoopDelay();
    loopDelay.enable();
    const figures = await measure(site, options);
    loopDelay.disable();
    const phases = [figures.node_killed, figures.data_centre_cut_off];
    for (const phase of phases) options.print(JSON.stringify(phase));
    const worst = findWorstOrganisation(ledger);
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
