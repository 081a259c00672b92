/**
 * Decides which engines change between reading prompts and generating. Decided without a network, so
 * that tests can play loads.
 *
 * Load: bursts in which decode memory is short while prefill engines wait for prompts. Orders are cheap,
 * but an engine that changes is of no use for seconds, so an engine changes only when the measured work
 * of its role fits the rest with room for a burst.
 */
import type { DataCentreId, UpstreamId } from '@hibiscusbank/core';
import type { EngineRole } from './types.js';

/**
 * Prompts under way or waiting for each prefill engine up to which one may be spared. The rest is then
 * busy to about a half, and at twice the usual traffic prompts wait for about two others.
 */
const MAX_PREFILL_LOAD = 0.55;
/**
 * Part of the engines that read prompts while there is no load to measure. A prompt occupies an engine
 * for a tenth of a second and the memory of its run for seconds; and without load a change costs nothing.
 */
const IDLE_PREFILL_SHARE = 0.25;
/** Part of the decode memory in use from which on the measured load decides. */
const MIN_MEMORY_USE = 0.3;
/** Prompts under way for each prefill engine above which one more is needed. */
const SHORT_PREFILL_LOAD = 1.5;
/** They must be that many for this long: engines that crashed or fell silent are mostly back before. */
const SHORT_TIME_MS = 10_000;
/** Part of the decode memory in use up to which a decode engine can be spared. */
const MAX_SPARED_MEMORY_USE = 0.6;
/** Part of the prefill engines that change at a time; their effect shows before the next ones. */
const STEP_SHARE = 0.15;

export interface RoleEngine {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
  readonly role: EngineRole;
  /** Tokens of runs and reservations on it, over all nodes. */
  readonly tokens: number;
}

export interface RoleView {
  /** Engines that may get work and are not changing. */
  readonly engines: readonly RoleEngine[];
  /** Engines that may get work, with those that are changing. */
  readonly total: number;
  /** Mean number of prompts under way at all prefill engines. */
  readonly prompts: number;
  /** Mean tokens in use on all decode engines. */
  readonly tokens: number;
  readonly memoryTokens: number;
  /** Time for which prompts have been too many for the prefill engines. */
  readonly shortMs: number;
}

export interface RoleChange {
  readonly engine: RoleEngine;
  readonly role: EngineRole;
}

/** Engines ordered so that the data centre with most of them gives one first, the least used one. */
function listDonors(engines: readonly RoleEngine[]): RoleEngine[] {
  const byPlace = new Map<DataCentreId, RoleEngine[]>();
  for (const engine of engines) {
    byPlace.set(engine.dataCentre, [...(byPlace.get(engine.dataCentre) ?? []), engine]);
  }
  const groups = [...byPlace.values()].map((group) =>
    [...group].sort((a, b) => a.tokens - b.tokens || (a.id < b.id ? -1 : 1)),
  );
  const donors: RoleEngine[] = [];
  for (;;) {
    const largest = groups.reduce((a, b) => (b.length > a.length ? b : a), [] as RoleEngine[]);
    const donor = largest.shift();
    if (donor === undefined) return donors;
    donors.push(donor);
  }
}

/** Whether prompts are too many for the prefill engines at the moment. */
export function isPrefillShort(prompts: number, prefillEngines: number): boolean {
  return prompts / Math.max(1, prefillEngines) > SHORT_PREFILL_LOAD;
}

/** Prefill engines that the load needs. */
function countNeeded(view: RoleView, decode: number): number {
  const { total, prompts, tokens, memoryTokens } = view;
  const measured = Math.max(1, Math.ceil(prompts / MAX_PREFILL_LOAD));
  if (tokens >= decode * memoryTokens * MIN_MEMORY_USE) return measured;
  return Math.max(measured, Math.ceil(total * IDLE_PREFILL_SHARE));
}

/** Engines that should change now; none while the split fits the load. */
export function planRoles(view: RoleView): readonly RoleChange[] {
  const { prompts, tokens, memoryTokens } = view;
  const prefill = view.engines.filter(({ role }) => role === 'prefill');
  const decode = view.engines.filter(({ role }) => role === 'decode');
  if (decode.length === 0) return [];
  const step = Math.max(1, Math.floor(prefill.length * STEP_SHARE));
  const spare = Math.min(prefill.length - countNeeded(view, decode.length), step);
  if (spare > 0) {
    return listDonors(prefill)
      .slice(0, spare)
      .map((engine) => ({ engine, role: 'decode' }));
  }
  const isShort = view.shortMs >= SHORT_TIME_MS && isPrefillShort(prompts, prefill.length);
  const useAfter = tokens / (Math.max(1, decode.length - 1) * memoryTokens);
  if (!isShort || decode.length < 2 || useAfter > MAX_SPARED_MEMORY_USE) return [];
  const [engine] = [...decode].sort((a, b) => a.tokens - b.tokens);
  return engine === undefined ? [] : [{ engine, role: 'prefill' }];
}
