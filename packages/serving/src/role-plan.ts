/**
 * Decides which engines change between prefill and decode. The functions make no network calls, so
 * that tests can simulate load.
 *
 * Designed for bursts in which decode memory is short while prefill engines are idle. An order is
 * cheap, but an engine that changes role serves nothing for seconds. An engine therefore changes
 * only when the remaining engines of its role can handle the measured load with capacity for a
 * burst.
 */
import type { DataCentreId, UpstreamId } from '@hibiscusbank/core';
import type { EngineRole } from './types.js';

/**
 * Maximum number of prompts in progress or waiting per prefill engine after other prefill engines
 * change to decode. The remaining engines are then about half busy, and at twice the usual traffic a
 * prompt waits for about two others.
 */
const MAX_PREFILL_LOAD = 0.55;
/**
 * Fraction of the engines that prefill while there is no load to measure. A prompt occupies a
 * prefill engine for a tenth of a second, but its run occupies decode memory for seconds; without
 * load a role change costs nothing.
 */
const IDLE_PREFILL_SHARE = 0.25;
/**
 * Fraction of the decode memory in use from which the measured load alone decides; below it,
 * `IDLE_PREFILL_SHARE` applies too.
 */
const MIN_MEMORY_USE = 0.3;
/** Prompts in progress per prefill engine above which another prefill engine is needed. */
const SHORTAGE_PREFILL_LOAD = 1.5;
/**
 * Time for which the shortage must last. Engines that crashed or became unreachable are usually
 * back earlier.
 */
const MIN_SHORTAGE_MS = 10_000;
/** Fraction of the decode memory that may be in use after a decode engine changes to prefill. */
const MAX_MEMORY_USE_AFTER_CHANGE = 0.6;
/**
 * Fraction of the prefill engines that change in one step; their effect shows before the next step.
 */
const STEP_SHARE = 0.15;

export interface RoleEngine {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
  readonly role: EngineRole;
  /** Tokens of runs and reservations on the engine, over all nodes. */
  readonly tokens: number;
}

export interface RolePlanInput {
  /** Usable engines that are not changing role. */
  readonly engines: readonly RoleEngine[];
  /** Number of usable engines, including those that are changing role. */
  readonly totalEngines: number;
  /** Mean number of prompts in progress at all prefill engines. */
  readonly prompts: number;
  /** Mean number of tokens in use on all decode engines. */
  readonly tokens: number;
  readonly memoryTokens: number;
  /** Time for which there have been too many prompts for the prefill engines. */
  readonly shortageMs: number;
}

export interface RoleChange {
  readonly engine: RoleEngine;
  readonly role: EngineRole;
}

/**
 * Sorts engines by when they change role: the next one is always the least loaded engine of the data
 * centre with the most remaining engines.
 */
function sortForRoleChange(engines: readonly RoleEngine[]): RoleEngine[] {
  const byDataCentre = new Map<DataCentreId, RoleEngine[]>();
  for (const engine of engines) {
    byDataCentre.set(engine.dataCentre, [...(byDataCentre.get(engine.dataCentre) ?? []), engine]);
  }
  const groups = [...byDataCentre.values()].map((group) =>
    [...group].sort((a, b) => a.tokens - b.tokens || (a.id < b.id ? -1 : 1)),
  );
  const ordered: RoleEngine[] = [];
  for (;;) {
    const largest = groups.reduce((a, b) => (b.length > a.length ? b : a), [] as RoleEngine[]);
    const next = largest.shift();
    if (next === undefined) return ordered;
    ordered.push(next);
  }
}

/** Whether there currently are too many prompts for the prefill engines. */
export function hasPrefillShortage(prompts: number, prefillEngines: number): boolean {
  return prompts / Math.max(1, prefillEngines) > SHORTAGE_PREFILL_LOAD;
}

/** Returns the number of prefill engines that the load needs. */
function countNeededPrefill(input: RolePlanInput, decode: number): number {
  const { totalEngines, prompts, tokens, memoryTokens } = input;
  const measured = Math.max(1, Math.ceil(prompts / MAX_PREFILL_LOAD));
  if (tokens >= decode * memoryTokens * MIN_MEMORY_USE) return measured;
  return Math.max(measured, Math.ceil(totalEngines * IDLE_PREFILL_SHARE));
}

/** Returns the role changes to order now; empty while the current roles fit the load. */
export function planRoles(input: RolePlanInput): readonly RoleChange[] {
  const { prompts, tokens, memoryTokens } = input;
  const prefill = input.engines.filter(({ role }) => role === 'prefill');
  const decode = input.engines.filter(({ role }) => role === 'decode');
  if (decode.length === 0) return [];
  const maxChanges = Math.max(1, Math.floor(prefill.length * STEP_SHARE));
  const surplus = Math.min(prefill.length - countNeededPrefill(input, decode.length), maxChanges);
  if (surplus > 0) {
    return sortForRoleChange(prefill)
      .slice(0, surplus)
      .map((engine) => ({ engine, role: 'decode' }));
  }
  const hasShortage =
    input.shortageMs >= MIN_SHORTAGE_MS && hasPrefillShortage(prompts, prefill.length);
  const memoryUseAfter = tokens / (Math.max(1, decode.length - 1) * memoryTokens);
  if (!hasShortage || decode.length < 2 || memoryUseAfter > MAX_MEMORY_USE_AFTER_CHANGE) return [];
  const [engine] = [...decode].sort((a, b) => a.tokens - b.tokens);
  return engine === undefined ? [] : [{ engine, role: 'prefill' }];
}
