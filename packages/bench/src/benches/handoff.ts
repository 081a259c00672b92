/** Goodput and wasted prefill of the router against two baselines at three loads. */
import { hash32, sleep } from '@hibiscusbank/core';
import { LOAD_DEFAULTS, runLoad } from '@hibiscusbank/standins';
import type { LoadOptions, LoadReport } from '@hibiscusbank/standins';
import { BASELINES } from '../harness/baseline-policies.js';
import { computeDecodeCapacity, fullBatchTokenMs } from '../harness/engine-groups.js';
import type { EngineGroup } from '../harness/engine-groups.js';
import { tenantKeyOf } from '../harness/site.js';
import { readLoadAverage, round } from '../harness/statistics.js';
import { BENCH_ORGANISATION } from '../harness/tables.js';
import type { Bench } from '../types.js';
import { groupSpec, loadRoutes, startHandoffSite, TOKEN_GAP_TARGET_MS } from './handoff-site.js';
import type { HandoffSite, Policy } from './handoff-site.js';

const POLICIES: readonly Policy[] = ['router', ...BASELINES];
/**
 * Loads in percent of the decode capacity, each with its fraction of the measuring time. The goals
 * apply to the higher two.
 */
const LOADS = [
  { percent: 60, timeFraction: 0.18 },
  { percent: 90, timeFraction: 0.46 },
  { percent: 130, timeFraction: 0.36 },
];
const PERCENT = 100;
const MS_PER_S = 1_000;
const WARM_UP_S = 1.5;
const MAX_WARM_UP_S = 20;
/**
 * Time per phase for the start and warm-up of its site; meanwhile the last requests on the previous
 * site end.
 */
const OVERHEAD_S = 3.6;
const MIN_MEASURED_S = 1;
const DRAIN_S = 3;
const WARM_UP_SEED_OFFSET = 10_000;

export interface HandoffFigures {
  readonly policy: Policy;
  readonly load_percent: number;
  readonly offered_per_s: number;
  readonly goodput_per_s: number;
  readonly answered_per_s: number;
  readonly wasted_prefill: number;
  readonly ttft_p95_ms: number;
  readonly itl_p95_ms: number;
  readonly refused: number;
  /** Responses other than 200 by status. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly failed: number;
  readonly load_average: number;
}

interface Phase {
  readonly policy: Policy;
  readonly percent: number;
  readonly ratePerS: number;
  readonly timeFraction: number;
  readonly seed: number;
}

interface PhaseResult {
  readonly figures: HandoffFigures;
  readonly broken: readonly string[];
}

function createLoad(phase: Phase, site: HandoffSite, seconds: number): LoadOptions {
  const organisations = [{ name: 'bench', key: tenantKeyOf(BENCH_ORGANISATION), weight: 1 }];
  const { seed, ratePerS } = phase;
  const { targets } = site;
  const common = { ...LOAD_DEFAULTS, organisations, routes: loadRoutes, resumes: false };
  return { ...common, targets, seconds, seed, ratePerS, drainSeconds: DRAIN_S };
}

interface PrefillCounts {
  readonly imported: number;
  readonly wasted: number;
}

/** Counts the prefills by their end: each exported KV cache is either imported or wasted. */
function countPrefills(engines: EngineGroup): PrefillCounts {
  const states = engines.prefill.map((engine) => engine.readState());
  return {
    imported: states.reduce((sum, state) => sum + state.imports, 0),
    wasted: states.reduce((sum, state) => sum + state.wastedPrefills, 0),
  };
}

function wastedFraction(before: PrefillCounts, after: PrefillCounts): number {
  const wasted = after.wasted - before.wasted;
  const all = wasted + after.imported - before.imported;
  return all === 0 ? 0 : wasted / all;
}

function summarise(phase: Phase, report: LoadReport, wasted: number): HandoffFigures {
  const { total } = report;
  const { outcomes } = total;
  return {
    policy: phase.policy,
    load_percent: phase.percent,
    offered_per_s: round(total.sent / report.seconds),
    goodput_per_s: round(total.goodPerS),
    answered_per_s: round(total.answeredPerS),
    wasted_prefill: round(wasted, 4),
    ttft_p95_ms: round(total.firstToken.p95Ms, 1),
    itl_p95_ms: round(total.tokenGap.p95Ms, 1),
    refused: outcomes.not_run,
    statuses: total.refusedByStatus,
    failed: outcomes.unknown + outcomes.cut + outcomes.unreachable + outcomes.unfinished,
    load_average: readLoadAverage(),
  };
}

interface WarmUpSite {
  readonly site: HandoffSite;
  readonly startedAtMs: number;
  /** Stops the arrivals of the warm-up and resolves when its requests have ended. */
  endWarmUp(): Promise<unknown>;
}

/** Starts a site and its warm-up load, which lasts until the measurement begins. */
async function startWarmUp(phase: Phase): Promise<WarmUpSite> {
  const site = await startHandoffSite(phase.policy);
  const arrivals = new AbortController();
  const options = createLoad(phase, site, MAX_WARM_UP_S);
  const seed = phase.seed + WARM_UP_SEED_OFFSET;
  const warmUp = runLoad({ ...options, seed }, arrivals.signal);
  return {
    site,
    startedAtMs: performance.now(),
    endWarmUp: () => {
      arrivals.abort();
      return warmUp;
    },
  };
}

/** Measures a phase directly after the warm-up. Calls `onSent` after the last arrival. */
async function runPhase(
  phase: Phase,
  warm: WarmUpSite,
  seconds: number,
  onSent: () => void,
): Promise<PhaseResult> {
  const { site } = warm;
  await sleep(Math.max(0, WARM_UP_S * MS_PER_S - (performance.now() - warm.startedAtMs)));
  const before = countPrefills(site.engines);
  const warmUp = warm.endWarmUp();
  const measured = runLoad(createLoad(phase, site, seconds));
  await sleep(seconds * MS_PER_S);
  onSent();
  const [report] = await Promise.all([measured, warmUp]);
  const wasted = wastedFraction(before, countPrefills(site.engines));
  const name = `${phase.policy} at ${phase.percent}%`;
  const answerFaults = report.faults.map((fault) => `A7, ${name}: ${fault}`);
  const violations = (await site.readViolations()).map((violation) => `${name}: ${violation}`);
  return { figures: summarise(phase, report, wasted), broken: [...answerFaults, ...violations] };
}

function planPhases(seed: number, capacityPerS: number): readonly Phase[] {
  return LOADS.flatMap(({ percent, timeFraction }) =>
    POLICIES.map((policy) => ({
      policy,
      percent,
      ratePerS: (capacityPerS * percent) / PERCENT,
      timeFraction,
      // Policies get the same requests at the same load. The seed is hashed because small adjacent
      // seeds give correlated random numbers.
      seed: hash32(`handoff/${seed}/${percent}`),
    })),
  );
}

/**
 * Returns the measuring time of the next phase, from the time that remains for all remaining
 * phases. A slow start of a site thus shortens only the phases after it.
 */
function planSeconds(remaining: readonly Phase[], deadlineMs: number): number {
  const overheadS = remaining.length * OVERHEAD_S;
  const remainingS = (deadlineMs - performance.now()) / MS_PER_S - overheadS;
  const fractionSum = remaining.reduce((sum, phase) => sum + phase.timeFraction, 0);
  return Math.max(MIN_MEASURED_S, (remainingS * (remaining[0]?.timeFraction ?? 0)) / fractionSum);
}

function formatFigures(figures: HandoffFigures): string {
  return [
    `${figures.policy} at ${figures.load_percent}%:`,
    `goodput ${figures.goodput_per_s}/s of ${figures.offered_per_s}/s,`,
    `wasted prefill ${round(figures.wasted_prefill * PERCENT)}%,`,
    `first token p95 ${figures.ttft_p95_ms} ms, gap p95 ${figures.itl_p95_ms} ms,`,
    `refused ${figures.refused} ${JSON.stringify(figures.statuses)}, failed ${figures.failed}, load average ${figures.load_average}`,
  ].join(' ');
}

function createSummary(all: readonly HandoffFigures[]) {
  const find = (policy: Policy, percent: number): HandoffFigures | undefined =>
    all.find((f) => f.policy === policy && f.load_percent === percent);
  const goodput = (policy: Policy, percent: number): number =>
    find(policy, percent)?.goodput_per_s ?? 0;
  const bestBaseline = Math.max(...BASELINES.map((baseline) => goodput(baseline, 90)));
  return {
    goodput_ratio_vs_best_baseline_90: round(goodput('router', 90) / Math.max(bestBaseline, 0.01)),
    wasted_prefill_90: find('router', 90)?.wasted_prefill,
    wasted_prefill_130: find('router', 130)?.wasted_prefill,
    goodput_130_over_90: round(goodput('router', 130) / Math.max(goodput('router', 90), 0.01)),
  };
}

/** Runs the phases in order. A site starts while the last requests of the previous phase end. */
async function runPhases(
  phases: readonly Phase[],
  deadlineMs: number,
  onResult: (result: PhaseResult) => void,
  starting?: Promise<WarmUpSite>,
): Promise<void> {
  const [phase, ...later] = phases;
  if (phase === undefined) return;
  const seconds = planSeconds(phases, deadlineMs);
  const warm = await (starting ?? startWarmUp(phase));
  const [next] = later;
  let nextSite: Promise<WarmUpSite> | undefined;
  const result = await runPhase(phase, warm, seconds, () => {
    nextSite = next === undefined ? undefined : startWarmUp(next);
  });
  await warm.site.stop();
  onResult(result);
  await runPhases(later, deadlineMs, onResult, nextSite);
}

export const runHandoff: Bench = async ({ seed, seconds, print }) => {
  const deadlineMs = performance.now() + seconds * MS_PER_S;
  const capacityPerS = computeDecodeCapacity(groupSpec, loadRoutes);
  const tokenMs = fullBatchTokenMs(groupSpec.options);
  if (tokenMs >= TOKEN_GAP_TARGET_MS)
    throw new Error(
      `a full batch takes ${tokenMs} ms per token, which misses the token gap target`,
    );
  print(`decode capacity ${round(capacityPerS)}/s, ${round(tokenMs)} ms per token in a full batch`);
  const results: PhaseResult[] = [];
  await runPhases(planPhases(seed, capacityPerS), deadlineMs, (result) => {
    print(formatFigures(result.figures));
    results.push(result);
  });
  const phases = results.map((result) => result.figures);
  return {
    fields: { ...createSummary(phases), decode_capacity_per_s: round(capacityPerS), phases },
    broken: results.flatMap((result) => result.broken),
  };
};
