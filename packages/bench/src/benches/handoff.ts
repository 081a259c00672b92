/** Goodput and wasted prefill of the router against two baselines at three loads. */
import { sleep } from '@hibiscusbank/core';
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
const LOAD_PERCENTS = [60, 90, 130];
const PERCENT = 100;
const MS_PER_S = 1_000;
const WARM_UP_S = 1.2;
/** Start of a site and end of the last answers. */
const OVERHEAD_S = 3;
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
  readonly seconds: number;
  readonly seed: number;
}

interface PhaseResult {
  readonly figures: HandoffFigures;
  readonly broken: readonly string[];
}

function createLoad(phase: Phase, site: HandoffSite): LoadOptions {
  const organisations = [{ name: 'bench', key: keyOf(BENCH_ORGANISATION), weight: 1 }];
  const { seconds, seed, ratePerS } = phase;
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

/** Runs warm-up and measurement without a gap between them. */
async function runPhase(phase: Phase, site: HandoffSite): Promise<PhaseResult> {
  const warmUp = runLoad({
    ...createLoad(phase, site),
    seconds: WARM_UP_S,
    seed: phase.seed + WARM_UP_SEED_OFFSET,
  });
  await sleep(WARM_UP_S * MS_PER_S);
  const before = countPrefills(site.engines);
  const [report] = await Promise.all([runLoad(createLoad(phase, site)), warmUp]);
  const wasted = wastedShare(before, countPrefills(site.engines));
  const { policy, percent } = phase;
  const name = `${policy} at ${percent}%`;
  const wrong = report.faults.map((fault) => `A7, ${name}: ${fault}`);
  const broken = (await site.readViolations()).map((violation) => `${name}: ${violation}`);
  return { figures: summarise(phase, report, wasted), broken: [...wrong, ...broken] };
}

function planPhases(seed: number, seconds: number, capacityPerS: number): readonly Phase[] {
  const count = POLICIES.length * LOAD_PERCENTS.length;
  const measuredS = Math.max(MIN_MEASURED_S, seconds / count - WARM_UP_S - OVERHEAD_S);
  return LOAD_PERCENTS.flatMap((percent) =>
    POLICIES.map((policy) => ({
      policy,
      percent,
      ratePerS: (capacityPerS * percent) / PERCENT,
      seconds: measuredS,
      // All policies get the same requests at a load.
      seed: seed * PERCENT + percent,
    })),
  );
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

export const runHandoff: Bench = async ({ seed, seconds, print }) => {
  const capacityPerS = computeDecodeCapacity(groupSpec, loadRoutes);
  const stepMs = fullStepMs(groupSpec.options);
  if (stepMs >= TOKEN_GAP_TARGET_MS) throw new Error(`a full batch takes ${stepMs} ms a token`);
  print(`decode capacity ${round(capacityPerS)}/s, ${round(stepMs)} ms a token in a full batch`);
  const results: PhaseResult[] = [];
  for (const phase of planPhases(seed, seconds, capacityPerS)) {
    const site = await startHandoffSite(phase.policy);
    try {
      const result = await runPhase(phase, site);
      print(formatFigures(result.figures));
      results.push(result);
    } finally {
      await site.stop();
    }
  }
  const figures = results.map((result) => result.figures);
  return {
    fields: {
      ...createSummary(figures),
      decode_capacity_per_s: round(capacityPerS),
      phases: figures,
    },
    broken: results.flatMap((result) => result.broken),
  };
};
