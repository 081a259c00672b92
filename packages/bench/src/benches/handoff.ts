/** Goodput and wasted prefill of the router against two baselines at three loads. */
import { hash32, sleep } from '@hibiscusbank/core';
import { LOAD_DEFAULTS, runLoad } from '@hibiscusbank/standins';
import type { LoadOptions, LoadReport } from '@hibiscusbank/standins';
import { BASELINES } from '../harness/baseline-policies.js';
import { computeDecodeCapacity, fullStepMs } from '../harness/engine-groups.js';
import type { EngineGroup } from '../harness/engine-groups.js';
import { keyOf } from '../harness/site.js';
import { readLoadAverage, round } from '../harness/statistics.js';
import { BENCH_ORGANISATION } from '../harness/tables.js';
import type { Bench } from '../types.js';
import { groupSpec, loadRoutes, startHandoffSite, TOKEN_GAP_TARGET_MS } from './handoff-site.js';
import type { HandoffSite, Policy } from './handoff-site.js';

const POLICIES: readonly Policy[] = ['router', ...BASELINES];
/** Loads with their share of the time; the goals are about the higher two. */
const LOADS = [
  { percent: 60, share: 0.18 },
  { percent: 90, share: 0.46 },
  { percent: 130, share: 0.36 },
];
const PERCENT = 100;
const MS_PER_S = 1_000;
const WARM_UP_S = 1.5;
const MAX_WARM_UP_S = 20;
/** Start and warm-up of a site, meanwhile the last answers of the one before end. */
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
  readonly share: number;
  readonly seed: number;
}

interface PhaseResult {
  readonly figures: HandoffFigures;
  readonly broken: readonly string[];
}

function createLoad(phase: Phase, site: HandoffSite, seconds: number): LoadOptions {
  const organisations = [{ name: 'bench', key: keyOf(BENCH_ORGANISATION), weight: 1 }];
  const { seed, ratePerS } = phase;
  const { targets } = site;
  const common = { ...LOAD_DEFAULTS, organisations, routes: loadRoutes, resumes: false };
  return { ...common, targets, seconds, seed, ratePerS, drainSeconds: DRAIN_S };
}

interface PrefillCounts {
  readonly imported: number;
  readonly wasted: number;
}

/** Every export ends as imported or as wasted. */
function countPrefills(engines: EngineGroup): PrefillCounts {
  const states = engines.prefill.map((engine) => engine.readState());
  return {
    imported: states.reduce((sum, state) => sum + state.imports, 0),
    wasted: states.reduce((sum, state) => sum + state.wastedPrefills, 0),
  };
}

function wastedShare(before: PrefillCounts, after: PrefillCounts): number {
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

interface WarmSite {
  readonly site: HandoffSite;
  readonly startedAtMs: number;
  /** Ends the arrivals of the warm-up; resolves when its answers have ended. */
  endWarmUp(): Promise<unknown>;
}

/** Starts a site and its load, which lasts until the measurement begins. */
async function startWarmUp(phase: Phase): Promise<WarmSite> {
  const site = await startHandoffSite(phase.policy);
  const end = new AbortController();
  const options = createLoad(phase, site, MAX_WARM_UP_S);
  const seed = phase.seed + WARM_UP_SEED_OFFSET;
  const warmUp = runLoad({ ...options, seed }, end.signal);
  return {
    site,
    startedAtMs: performance.now(),
    endWarmUp: () => {
      end.abort();
      return warmUp;
    },
  };
}

/** Measures without a gap after the warm-up. `onSent` runs after the last arrival. */
async function runPhase(
  phase: Phase,
  warm: WarmSite,
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
  const wasted = wastedShare(before, countPrefills(site.engines));
  const name = `${phase.policy} at ${phase.percent}%`;
  const wrong = report.faults.map((fault) => `A7, ${name}: ${fault}`);
  const broken = (await site.readViolations()).map((violation) => `${name}: ${violation}`);
  return { figures: summarise(phase, report, wasted), broken: [...wrong, ...broken] };
}

function planPhases(seed: number, capacityPerS: number): readonly Phase[] {
  return LOADS.flatMap(({ percent, share }) =>
    POLICIES.map((policy) => ({
      policy,
      percent,
      ratePerS: (capacityPerS * percent) / PERCENT,
      share,
      // All policies get the same requests at a load. Numbers drawn from similar small seeds are alike.
      seed: hash32(`handoff/${seed}/${percent}`),
    })),
  );
}

/** Time of the first of the phases that are left, so that a slow start shortens only later ones. */
function planSeconds(left: readonly Phase[], deadlineMs: number): number {
  const overheadS = left.length * OVERHEAD_S;
  const leftS = (deadlineMs - performance.now()) / MS_PER_S - overheadS;
  const shares = left.reduce((sum, phase) => sum + phase.share, 0);
  return Math.max(MIN_MEASURED_S, (leftS * (left[0]?.share ?? 0)) / shares);
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

/** Runs the phases one after another; each starts while the last answers of the one before end. */
async function runPhases(
  phases: readonly Phase[],
  deadlineMs: number,
  onResult: (result: PhaseResult) => void,
  starting?: Promise<WarmSite>,
): Promise<void> {
  const [phase, ...later] = phases;
  if (phase === undefined) return;
  const seconds = planSeconds(phases, deadlineMs);
  const warm = await (starting ?? startWarmUp(phase));
  const [next] = later;
  let nextSite: Promise<WarmSite> | undefined;
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
  const stepMs = fullStepMs(groupSpec.options);
  if (stepMs >= TOKEN_GAP_TARGET_MS) throw new Error(`a full batch takes ${stepMs} ms a token`);
  print(`decode capacity ${round(capacityPerS)}/s, ${round(stepMs)} ms a token in a full batch`);
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
