import { dataCentreId, upstreamId } from '@hibiscusbank/core';
import { expect, test } from 'vitest';
import { planRoles } from '../src/role-plan.js';
import type { RoleEngine, RolePlanInput } from '../src/role-plan.js';
import type { EngineRole } from '../src/types.js';

const MEMORY = 60_000;

function createEngine(index: number, role: EngineRole, dataCentre = 'a', tokens = 0): RoleEngine {
  return { id: upstreamId(`e${index}`), dataCentre: dataCentreId(dataCentre), role, tokens };
}

function createInput(
  prefill: number,
  decode: number,
  change: Partial<RolePlanInput> = {},
): RolePlanInput {
  const engines = Array.from({ length: prefill + decode }, (_, index) =>
    createEngine(index, index < prefill ? 'prefill' : 'decode'),
  );
  const idle = { prompts: 0, tokens: 0, memoryTokens: MEMORY, shortageMs: 0 };
  return { engines, totalEngines: engines.length, ...idle, ...change };
}

const roles = (input: RolePlanInput): EngineRole[] => planRoles(input).map(({ role }) => role);

test('without load a quarter of the engines prefills', () => {
  expect(roles(createInput(3, 5))).toEqual(['decode']);
  expect(roles(createInput(2, 6))).toEqual([]);
  expect(roles(createInput(4, 9))).toEqual([]);
});

// Guards against a total without the engine that is changing role: a quarter of it was less, so
// another prefill engine was ordered to change too.
test('an engine that is changing role counts in the total of which a quarter prefills', () => {
  expect(roles(createInput(5, 8))).toEqual(['decode']);
  expect(roles(createInput(4, 8, { totalEngines: 13 }))).toEqual([]);
});

test('prefill engines that the measured load needs keep their role', () => {
  const tokens = 5 * MEMORY * 0.6;
  expect(roles(createInput(3, 5, { prompts: 0.9, tokens }))).toEqual(['decode']);
  expect(roles(createInput(2, 6, { prompts: 0.9, tokens }))).toEqual([]);
  expect(roles(createInput(3, 5, { prompts: 1.4, tokens }))).toEqual([]);
});

test('the last engine of a role keeps its role', () => {
  expect(roles(createInput(1, 7))).toEqual([]);
  expect(roles(createInput(1, 1, { prompts: 9, shortageMs: 60_000 }))).toEqual([]);
  expect(roles(createInput(2, 0))).toEqual([]);
});

test('a large fleet changes roles in steps', () => {
  const input = createInput(34, 64, { prompts: 8, tokens: 64 * MEMORY * 0.6 });
  expect(roles(input)).toHaveLength(5);
});

// Without a prefill engine of its own, a data centre would send all prompts to another one.
test('the data centre with the most prefill engines gives one up first', () => {
  const engines = [
    createEngine(0, 'prefill', 'a'),
    createEngine(1, 'prefill', 'b', 100),
    createEngine(2, 'prefill', 'b'),
    ...Array.from({ length: 5 }, (_, index) => createEngine(3 + index, 'decode', 'c')),
  ];
  expect(planRoles(createInput(0, 0, { engines })).map(({ engine }) => engine.id)).toEqual(['e2']);
});

// Engines that crash are usually back within seconds, and a role change takes as long.
test('an engine changes to prefill only after a prefill shortage of ten seconds', () => {
  const tokens = 3 * MEMORY * 0.4;
  const short = { prompts: 3.5, tokens };
  expect(roles(createInput(2, 6, { ...short, shortageMs: 9_000 }))).toEqual([]);
  expect(roles(createInput(2, 6, { ...short, shortageMs: 10_000 }))).toEqual(['prefill']);
});

test('no engine changes to prefill while decode memory is short', () => {
  const input = createInput(2, 6, { prompts: 9, tokens: 6 * MEMORY * 0.8, shortageMs: 60_000 });
  expect(roles(input)).toEqual([]);
});

/**
 * Simulates bursts of streams on a fixed split of engines. Returns the fraction whose first event
 * was on target.
 */
function simulateBursts(prefill: number, decode: number): number {
  const PROMPT_MS = 92;
  const RUN_MS = 3_500;
  const TOKENS = 5_800;
  const TARGET_MS = 900;
  const MAX_WAIT_MS = 3_600;
  const prefillFree = Array.from({ length: prefill }, () => 0);
  const runs: number[][] = Array.from({ length: decode }, () => []);
  const maxRuns = Math.floor(MEMORY / TOKENS);
  let waiting: number[] = [];
  let onTarget = 0;
  let all = 0;
  let due = 0;
  for (let now = 0; now < 34_000; now += 10) {
    const isBurst = [6_000, 17_000, 27_000].some((at) => now >= at && now < at + 4_500);
    due += (isBurst ? 17.5 : 9.1) / 100;
    for (; due >= 1; due -= 1) {
      waiting.push(now);
      all += 1;
    }
    waiting = waiting.filter((since) => now - since < MAX_WAIT_MS);
    runs.forEach((list, index) => {
      runs[index] = list.filter((end) => end > now);
    });
    while (waiting.length > 0) {
      const [engine] = [...runs].sort((a, b) => a.length - b.length);
      if (engine === undefined || engine.length >= maxRuns) break;
      const since = waiting.shift() ?? now;
      const prefillEngine = prefillFree.indexOf(Math.min(...prefillFree));
      const prefilledAt = Math.max(now, prefillFree[prefillEngine] ?? 0) + PROMPT_MS;
      prefillFree[prefillEngine] = prefilledAt;
      engine.push(prefilledAt + RUN_MS);
      if (prefilledAt - since <= TARGET_MS) onTarget += 1;
    }
  }
  return onTarget / all;
}

test('with the planned split of roles more streams of bursts are on target than with the initial one', () => {
  const [change] = planRoles(createInput(3, 5));
  expect(change?.role).toBe('decode');
  const before = simulateBursts(3, 5);
  const after = simulateBursts(2, 6);
  expect(1 - after).toBeLessThan((1 - before) / 2);
});
