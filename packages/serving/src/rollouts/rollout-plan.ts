/**
 * Plans the steps of a roll-out: which fraction of each route's requests the new version gets, and
 * when the roll-out ends. Designed for versions that turn bad late, for pools with any number of
 * requests, and for deadlines from a few seconds on. The functions make no network calls.
 */
import type { NodeEvidence } from './evidence.js';
import type { RolloutBounds } from './types.js';
import type { Verdict } from './verdict.js';

/** Fractions of the operator's bound that the canary uses; the rest covers late reports. */
const USED_SHARE = 0.7;
const USED_SLACK = 0.5;
/** Fraction of the canary that goes on once the version is sound, to notice faults that come later. */
const SOUND_CANARY_SHARE = 0.2;
/** Fraction of the bound at which the canary stops until there are more requests. */
const STOP_SHARE = 0.8;
/** Maximum fraction of a route's requests in the canary. */
const MAX_CANARY_SHARE = 0.5;
/** Fraction of all requests in the ramp, between the canary and all. */
const RAMP_SHARE = 0.3;
export const RAMP_MS = 1_200;
/** Time that all requests have been going to the new version before the end. */
const MIN_FULL_MS = 800;
/** Fractions of the duration that are left for the ramp and the end of requests in progress. */
const ENGINE_END_SHARE = 0.45;
const PLAIN_END_SHARE = 0.25;
const MIN_END_MS = 3_000;
const MAX_END_MS = 15_000;
/** Time before the deadline at which the end is reported, so that the write arrives in time. */
const WRITE_MARGIN_MS = 600;
/** Fraction of the capacity in service that the new version needs. */
const MIN_CAPACITY_SHARE = 0.75;
const MIN_TIME_MS = 1_000;

export const phases = ['canary', 'ramp', 'full'] as const;
export type RolloutPhase = (typeof phases)[number];

/** Progress of one roll-out on its controller. */
export interface RolloutProgress {
  readonly phase: RolloutPhase;
  /** Time since the phase began. */
  readonly phaseMs: number;
}

export interface PlanInput {
  readonly progress: RolloutProgress;
  readonly durationMs: number;
  readonly hasEngines: boolean;
  readonly bounds: RolloutBounds;
  readonly evidence: NodeEvidence;
  readonly verdict: Verdict;
  /** Capacity of the new version as a fraction of that in service. */
  readonly capacityShare: number;
  /** Whether the evidence of all live nodes is recent. */
  readonly isComplete: boolean;
}

/** The next step. */
export interface RolloutStep {
  readonly state: 'running' | 'completed' | 'rolled_back';
  readonly phase: RolloutPhase;
  /** Fraction of the requests that the new version gets, by route. */
  readonly shares: Readonly<Record<string, number>>;
  /** The same for routes without requests so far. */
  readonly otherShare: number;
  readonly reason: string;
}

function countRequests({ requests }: NodeEvidence): number {
  return Object.values(requests).reduce((sum, count) => sum + count, 0);
}

/** Returns the time after the order at which the ramp may begin. */
export function computeRampStartMs(durationMs: number, hasEngines: boolean): number {
  const endShare = hasEngines ? ENGINE_END_SHARE : PLAIN_END_SHARE;
  const endMs = Math.min(MAX_END_MS, Math.max(MIN_END_MS, durationMs * endShare));
  return Math.max(0, durationMs - endMs);
}

/** Whether even all requests until the deadline would keep the bound. */
function isLoadSmall({ bounds, durationMs, evidence }: PlanInput): boolean {
  const perMs = countRequests(evidence) / Math.max(MIN_TIME_MS, evidence.ageMs);
  const exposed = evidence.sent + perMs * Math.max(0, durationMs - evidence.ageMs);
  const allowed = bounds.exposeShare * perMs * durationMs + bounds.exposeSlack;
  return exposed <= STOP_SHARE * allowed;
}

/** Divides the canary's requests equally among the routes. */
function planCanary(input: PlanInput): Pick<RolloutStep, 'shares' | 'otherShare'> {
  const { bounds, durationMs, evidence, hasEngines, verdict } = input;
  const { exposeShare, exposeSlack } = bounds;
  const all = countRequests(evidence);
  if (evidence.sent >= STOP_SHARE * (exposeShare * all + exposeSlack))
    return { shares: {}, otherShare: 0 };
  const ageMs = Math.max(MIN_TIME_MS, evidence.ageMs);
  const canaryMs = Math.max(MIN_END_MS, computeRampStartMs(durationMs, hasEngines));
  const usedPerMs =
    (USED_SHARE * exposeShare * all) / ageMs + (USED_SLACK * exposeSlack) / canaryMs;
  const perMs = usedPerMs * (verdict.kind === 'sound' ? SOUND_CANARY_SHARE : 1);
  const routes = Object.entries(evidence.requests);
  const shares = routes.map(([route, count]): [string, number] => {
    const share = (perMs / routes.length) * (ageMs / Math.max(1, count));
    return [route, Math.min(MAX_CANARY_SHARE, share)];
  });
  return { shares: Object.fromEntries(shares), otherShare: USED_SHARE * exposeShare };
}

/** Whether the new version may get more than the canary. */
function mayGrow(input: PlanInput): boolean {
  const { kind } = input.verdict;
  return kind === 'sound' || (kind === 'open' && isLoadSmall(input));
}

function mayRamp(input: PlanInput): boolean {
  const { durationMs, evidence, hasEngines } = input;
  if (input.capacityShare < MIN_CAPACITY_SHARE || !input.isComplete) return false;
  if (evidence.ageMs < computeRampStartMs(durationMs, hasEngines)) return false;
  return mayGrow(input);
}

/** Plans the next step of a roll-out. */
export function planRollout(input: PlanInput): RolloutStep {
  const { progress, evidence, verdict } = input;
  const none = { shares: {}, otherShare: 0 };
  const { phase, phaseMs } = progress;
  if (verdict.kind === 'bad')
    return { state: 'rolled_back', phase, ...none, reason: verdict.reason };
  const isDue = evidence.ageMs >= input.durationMs - WRITE_MARGIN_MS;
  if (phase === 'canary') {
    if (mayRamp(input))
      return {
        state: 'running',
        phase: 'ramp',
        shares: {},
        otherShare: RAMP_SHARE,
        reason: verdict.reason,
      };
    if (!isDue) return { state: 'running', phase, ...planCanary(input), reason: verdict.reason };
    const reason =
      input.capacityShare < MIN_CAPACITY_SHARE ? 'too few new upstreams' : verdict.reason;
    return { state: 'rolled_back', phase, ...none, reason };
  }
  // Faults that come with the load show in the ramp, or make the evidence inconclusive again.
  const isFull = mayGrow(input) && (phase === 'full' || phaseMs >= RAMP_MS);
  const otherShare = isFull ? 1 : RAMP_SHARE;
  const hasEnded =
    isFull &&
    phase === 'full' &&
    phaseMs >= MIN_FULL_MS &&
    evidence.running === 0 &&
    input.isComplete;
  if (isDue && !isFull) return { state: 'rolled_back', phase, ...none, reason: verdict.reason };
  return {
    state: hasEnded || isDue ? 'completed' : 'running',
    phase: isFull ? 'full' : 'ramp',
    shares: {},
    otherShare,
    reason: verdict.reason,
  };
}
