/** Requests of all kinds while processes die, transfers stall and the platform is out. */
import { createRandom, repeatUntilAborted, sleep } from '@hibiscusbank/core';
import type { UpstreamStandin } from '@hibiscusbank/standins';
import { watchHolds } from '../harness/holds.js';
import { runSchedule } from '../harness/schedule.js';
import { keyOf } from '../harness/site.js';
import { BENCH_ORGANISATION } from '../harness/tables.js';
import { startTraffic } from '../harness/traffic.js';
import type { TrafficOptions, TrafficRecord } from '../harness/traffic.js';
import { collectViolations } from '../harness/violations.js';
import type { Bench, BenchOptions } from '../types.js';
import {
  checkRecords,
  countEndings,
  countReasons,
  formatTimeline,
  readUpstreamLog,
} from './faults-checks.js';
import type { FaultFigures } from './faults-checks.js';
import { createFaultSchedule } from './faults-schedule.js';
import type { Kill } from './faults-schedule.js';
import { FAULTS_ROUTES, startFaultsSite } from './faults-site.js';
import type { FaultsSite } from './faults-site.js';

const SETTLE_MS = 7_000;
/** After the last request engines have this time to hold nothing. */
const HOLDS_WAIT_MS = 15_000;
/** Start, settling, drain and the wait for holds. */
const OVERHEAD_S = 30;
const MIN_LOAD_S = 12;
const DRAIN_S = 10;
const RATE_PER_S = 40;
const KEYED_REPEATS = 3;
const CALLS_POLL_MS = 500;
const MAX_SHOWN = 5;

/** Follows which path each request id had, since upstreams keep only their last calls. */
function followCalls(upstreams: readonly UpstreamStandin[]) {
  const pathsById = new Map<string, string>();
  const stopping = new AbortController();
  const read = async (): Promise<void> => {
    for (const { headers, path } of upstreams.flatMap((upstream) => upstream.readCalls())) {
      pathsById.set(String(headers['x-request-id']), path);
    }
  };
  const polling = repeatUntilAborted(stopping.signal, () => CALLS_POLL_MS, read);
  const stop = async (): Promise<void> => {
    stopping.abort();
    await polling;
    await read();
  };
  return { pathsById, stop };
}

interface Run {
  readonly records: readonly TrafficRecord[];
  readonly figures: FaultFigures;
  readonly holdsLeft: readonly string[];
  readonly holdsClearedMs: number;
  readonly longestHoldMs: number;
  readonly violations: readonly string[];
  readonly maxLagMs: number;
}

function createLoad({ site }: FaultsSite, seed: number, loadS: number): TrafficOptions {
  return {
    targets: site.nodes.map(({ url, adminUrl }) => ({ url, admin: adminUrl })),
    organisations: [{ name: BENCH_ORGANISATION, key: keyOf(BENCH_ORGANISATION), weight: 1 }],
    routes: FAULTS_ROUTES,
    ratePerS: RATE_PER_S,
    seconds: loadS,
    seed,
    drainSeconds: DRAIN_S,
    keyedRepeats: KEYED_REPEATS,
  };
}

async function runFaultsOn(parts: FaultsSite, { seed, print }: BenchOptions, loadS: number) {
  const { site, prefills, decodes, desks } = parts;
  const engines = [...prefills, ...decodes].map(({ standin }) => standin);
  const upstreams = desks.map(({ standin }) => standin);
  await site.waitUntilReady();
  await sleep(SETTLE_MS);
  const violations = collectViolations(site.nodes);
  const calls = followCalls(upstreams);
  const kills: Kill[] = [];
  const { collect: beforeKill } = violations;
  const random = createRandom(seed);
  const schedule = createFaultSchedule({ parts, random, loadS, kills, beforeKill });
  const traffic = startTraffic(createLoad(parts, seed, loadS));
  const holds = watchHolds(engines, () => traffic.records);
  const [lastFaultAtMs] = await Promise.all([runSchedule(schedule, print), traffic.done]);
  await sleep(HOLDS_WAIT_MS);
  const holdsLeft = holds.list();
  await Promise.all([holds.stop(), calls.stop(), violations.stop()]);
  const log = readUpstreamLog(engines, upstreams);
  const { records } = traffic;
  return {
    records,
    figures: checkRecords({ records, log, kills, pathsById: calls.pathsById }),
    holdsLeft,
    holdsClearedMs: Math.max(0, Math.round(holds.lastStaleAtMs() - lastFaultAtMs)),
    longestHoldMs: Math.round(holds.longestAfterEndMs()),
    violations: [...violations.seen],
    maxLagMs: traffic.maxLagMs(),
  };
}

function findBroken(run: Run): string[] {
  const bounds: Readonly<Record<string, readonly string[]>> = {
    unanswered: run.figures.unanswered,
    answered_twice: run.figures.answeredTwice,
    non_idempotent_run_twice: run.figures.ranTwice,
    untrue_not_run: run.figures.untrueNotRun,
    holds_left: run.holdsLeft,
  };
  const broken = Object.entries(bounds).flatMap(([name, cases]) =>
    cases.length === 0 ? [] : [`${name}: ${cases.length}, first: ${cases[0]}`],
  );
  return [...broken, ...run.violations];
}

export const runFaults: Bench = async (options) => {
  const { seconds, print } = options;
  const loadS = Math.max(MIN_LOAD_S, seconds - OVERHEAD_S);
  const parts = await startFaultsSite();
  try {
    const run: Run = await runFaultsOn(parts, options, loadS);
    const { figures } = run;
    const endings = countEndings(run.records);
    for (const [route, counts] of Object.entries(endings)) {
      print(`${route}: ${JSON.stringify(counts)}`);
    }
    for (const line of formatTimeline(run.records)) print(line);
    const { unanswered, untrueNotRun, resumesRefused } = figures;
    for (const line of [...unanswered, ...untrueNotRun, ...resumesRefused].slice(0, MAX_SHOWN)) {
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
        holds_left: run.holdsLeft.length,
        holds_cleared_ms: run.holdsClearedMs,
        longest_hold_after_end_ms: run.longestHoldMs,
        max_arrival_lag_ms: run.maxLagMs,
        cut_with_node: figures.cutWithNode,
        resumed: figures.resumed,
        resumes_refused: figures.resumesRefused.length,
        endings,
        refusals: countReasons(run.records),
      },
      broken: findBroken(run),
    };
  } finally {
    await parts.stop();
  }
};
