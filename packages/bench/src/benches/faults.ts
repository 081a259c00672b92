/**
 * Load on all kinds of routes while processes are killed, transfers stall and the platform is
 * unavailable.
 */
import { createRandom, repeatUntilAborted, sleep } from '@hibiscusbank/core';
import type { UpstreamStandin } from '@hibiscusbank/standins';
import { watchHolds } from '../harness/holds.js';
import { runSchedule } from '../harness/schedule.js';
import { tenantKeyOf } from '../harness/site.js';
import { BENCH_ORGANISATION } from '../harness/tables.js';
import { startTraffic } from '../harness/traffic.js';
import type { TrafficOptions, TrafficRecord } from '../harness/traffic.js';
import { collectViolations } from '../harness/violations.js';
import type { Bench, BenchOptions } from '../types.js';
import {
  checkRecords,
  countOutcomes,
  countRefusalReasons,
  formatTimeline,
  readUpstreamLog,
} from './faults-checks.js';
import type { FaultFigures } from './faults-checks.js';
import { createFaultSchedule } from './faults-schedule.js';
import type { Kill } from './faults-schedule.js';
import { FAULTS_ROUTES, startFaultsSite } from './faults-site.js';
import type { FaultsSite } from './faults-site.js';

const SETTLE_MS = 7_000;
/** Time that engines have after the last request to release their holds. */
const HOLD_RELEASE_WAIT_MS = 15_000;
/** Start of the site, settling, drain and the wait for the release of holds. */
const OVERHEAD_S = 30;
const MIN_LOAD_S = 12;
const DRAIN_S = 10;
const RATE_PER_S = 40;
const MAX_KEYED_RETRIES = 3;
const PATH_POLL_MS = 500;
const MAX_PRINTED_CASES = 5;

/** Polls the path of each request id, since upstreams keep only their most recent calls. */
function recordRequestPaths(upstreams: readonly UpstreamStandin[]) {
  const pathsById = new Map<string, string>();
  const stopping = new AbortController();
  const recordCalls = async (): Promise<void> => {
    for (const { headers, path } of upstreams.flatMap((upstream) => upstream.readCalls())) {
      pathsById.set(String(headers['x-request-id']), path);
    }
  };
  const polling = repeatUntilAborted(stopping.signal, () => PATH_POLL_MS, recordCalls);
  const stop = async (): Promise<void> => {
    stopping.abort();
    await polling;
    await recordCalls();
  };
  return { pathsById, stop };
}

interface FaultsRun {
  readonly records: readonly TrafficRecord[];
  readonly figures: FaultFigures;
  readonly remainingHolds: readonly string[];
  readonly holdsClearedMs: number;
  readonly longestHoldMs: number;
  readonly violations: readonly string[];
  readonly maxLagMs: number;
}

function createLoad({ site }: FaultsSite, seed: number, loadS: number): TrafficOptions {
  return {
    targets: site.nodes.map(({ url, adminUrl }) => ({ url, admin: adminUrl })),
    organisations: [{ name: BENCH_ORGANISATION, key: tenantKeyOf(BENCH_ORGANISATION), weight: 1 }],
    routes: FAULTS_ROUTES,
    ratePerS: RATE_PER_S,
    seconds: loadS,
    seed,
    drainSeconds: DRAIN_S,
    maxKeyedRetries: MAX_KEYED_RETRIES,
  };
}

async function runFaultsOn(faultsSite: FaultsSite, { seed, print }: BenchOptions, loadS: number) {
  const { site, prefillEngines, decodeEngines, plainUpstreams } = faultsSite;
  const engines = [...prefillEngines, ...decodeEngines].map(({ standin }) => standin);
  const upstreams = plainUpstreams.map(({ standin }) => standin);
  await site.waitUntilReady();
  await sleep(SETTLE_MS);
  const violations = collectViolations(site.nodes);
  const requestPaths = recordRequestPaths(upstreams);
  const kills: Kill[] = [];
  const { collect: beforeKill } = violations;
  const random = createRandom(seed);
  const schedule = createFaultSchedule({ faultsSite, random, loadS, kills, beforeKill });
  const traffic = startTraffic(createLoad(faultsSite, seed, loadS));
  const holds = watchHolds(engines, () => traffic.records);
  const [lastFaultAtMs] = await Promise.all([runSchedule(schedule, print), traffic.done]);
  await sleep(HOLD_RELEASE_WAIT_MS);
  const remainingHolds = holds.list();
  await Promise.all([holds.stop(), requestPaths.stop(), violations.stop()]);
  const log = readUpstreamLog(engines, upstreams);
  const { records } = traffic;
  return {
    records,
    figures: checkRecords({ records, log, kills, pathsById: requestPaths.pathsById }),
    remainingHolds,
    holdsClearedMs: Math.max(0, Math.round(holds.lastStaleAtMs() - lastFaultAtMs)),
    longestHoldMs: Math.round(holds.longestAfterEndMs()),
    violations: [...violations.seen],
    maxLagMs: traffic.maxLagMs(),
  };
}

function findBrokenInvariants(run: FaultsRun): string[] {
  const casesByInvariant: Readonly<Record<string, readonly string[]>> = {
    unanswered: run.figures.unanswered,
    answered_twice: run.figures.answeredTwice,
    non_idempotent_run_twice: run.figures.ranTwice,
    untrue_not_run: run.figures.untrueNotRun,
    holds_left: run.remainingHolds,
  };
  const broken = Object.entries(casesByInvariant).flatMap(([name, cases]) =>
    cases.length === 0 ? [] : [`${name}: ${cases.length}, first: ${cases[0]}`],
  );
  return [...broken, ...run.violations];
}

export const runFaults: Bench = async (options) => {
  const { seconds, print } = options;
  const loadS = Math.max(MIN_LOAD_S, seconds - OVERHEAD_S);
  const faultsSite = await startFaultsSite();
  try {
    const run: FaultsRun = await runFaultsOn(faultsSite, options, loadS);
    const { figures } = run;
    const outcomes = countOutcomes(run.records);
    for (const [route, counts] of Object.entries(outcomes)) {
      print(`${route}: ${JSON.stringify(counts)}`);
    }
    for (const line of formatTimeline(run.records)) print(line);
    const { unanswered, untrueNotRun, resumesRefused } = figures;
    for (const line of [...unanswered, ...untrueNotRun, ...resumesRefused].slice(
      0,
      MAX_PRINTED_CASES,
    )) {
      print(line);
    }
    return {
      fields: {
        load_s: loadS,
        sent: run.records.length,
        admitted: figures.admitted,
        unanswered: figures.unanswered.length,
        answered_twice: figures.answeredTwice.length,
        non_idempotent_run_twice: figures.ranTwice.length,
        untrue_not_run: figures.untrueNotRun.length,
        holds_left: run.remainingHolds.length,
        holds_cleared_ms: run.holdsClearedMs,
        longest_hold_after_end_ms: run.longestHoldMs,
        max_arrival_lag_ms: run.maxLagMs,
        cut_with_node: figures.cutWithNode,
        resumed: figures.resumed,
        resumes_refused: figures.resumesRefused.length,
        endings: outcomes,
        refusals: countRefusalReasons(run.records),
      },
      broken: findBrokenInvariants(run),
    };
  } finally {
    await faultsSite.stop();
  }
};
