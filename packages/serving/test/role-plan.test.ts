import { dataCentreId, upstreamId } from '@hibiscusbank/core';
import { expect, test } from 'vitest';
import { planRoles } from '../src/role-plan.js';
import type { RoleEngine, RoleView } from '../src/role-plan.js';
import type { EngineRole } from '../src/types.js';

const MEMORY = 60_000;

function createEngine(index: number, role: EngineRole, place = 'a', tokens = 0): RoleEngine {
  return { id: upstreamId(`e${index}`), dataCentre: dataCentreId(place), role, tokens };
}

function createView(prefill: number, decode: number, change: Partial<RoleView> = {}): RoleView {
  const engines = Array.from({ length: prefill + decode }, (_, index) =>
    createEngine(index, index < prefill ? 'prefill' : 'decode'),
  );
  const idle = { prompts: 0, tokens: 0, memoryTokens: MEMORY, shortMs: 0 };
  return { engines, total: engines.length, ...idle, ...change };
}

const roles = (view: RoleView): EngineRole[] => planRoles(view).map(({ role }) => role);

test('without load a quarter of the engines reads prompts', () => {
  expect(roles(createView(3, 5))).toEqual(['decode']);
  expect(roles(createView(2, 6))).toEqual([]);
  expect(roles(createView(4, 9))).toEqual([]);
});

// The engine that was changing was left out of the count, so that a further one was spared after it.
test('an engine that is changing counts among those of which a quarter reads prompts', () => {
  expect(roles(createView(5, 8))).toEqual(['decode']);
  expect(roles(createView(4, 8, { total: 13 }))).toEqual([]);
});

test('prefill engines that the measured prompts need are kept', () => {
  const tokens = 5 * MEMORY * 0.6;
  expect(roles(createView(3, 5, { prompts: 0.9, tokens }))).toEqual(['decode']);
  expect(roles(createView(2, 6, { prompts: 0.9, tokens }))).toEqual([]);
  expect(roles(createView(3, 5, { prompts: 1.4, tokens }))).toEqual([]);
});

test('the last engine of a role stays', () => {
  expect(roles(createView(1, 7))).toEqual([]);
  expect(roles(createView(1, 1, { prompts: 9, shortMs: 60_000 }))).toEqual([]);
  expect(roles(createView(2, 0))).toEqual([]);
});

test('a large fleet changes in steps', () => {
  const view = createView(34, 64, { prompts: 8, tokens: 64 * MEMORY * 0.6 });
  expect(roles(view)).toHaveLength(5);
});

// A data centre that loses its only prefill engine reads all prompts across the border.
test('the data centre with most prefill engines gives one first', () => {
  const engines = [
    createEngine(0, 'prefill', 'a'),
    createEngine(1, 'prefill', 'b', 100),
    createEngine(2, 'prefill', 'b'),
    ...Array.from({ length: 5 }, (_, index) => createEngine(3 + index, 'decode', 'c')),
  ];
  expect(planRoles(createView(0, 0, { engines })).map(({ engine }) => engine.id)).toEqual(['e2']);
});

// Engines that crash are mostly back within seconds; a change takes as long.
test('an engine changes to prefill only after prompts were too many for ten seconds', () => {
  const tokens = 3 * MEMORY * 0.4;
  const short = { prompts: 3.5, tokens };
  expect(roles(createView(2, 6, { ...short, shortMs: 9_000 }))).toEqual([]);
  expect(roles(createView(2, 6, { ...short, shortMs: 10_000 }))).toEqual(['prefill']);
});

test('no engine changes to prefill while decode memory is short itself', () => {
  const view = createView(2, 6, { prompts: 9, tokens: 6 * MEMORY * 0.8, shortMs: 60_000 });
  expect(roles(view)).toEqual([]);
});

/** Streams of a burst on a split of engines; returns the share whose first event came in time. */
function playBursts(prefill: number, decode: number): number {
  const PROMPT_MS = 92;
  const RUN_MS = 3_500;
  const TOKENS = 5_800;
  const TARGET_MS = 900;
  const PATIENCE_MS = 3_600;
  const prefillFree = Array.from({ length: prefill }, () => 0);
  const runs: number[][] = Array.from({ length: decode }, () => []);
  const roomFor = Math.floor(MEMORY / TOKENS);
  let waiting: number[] = [];
  let inTime = 0;
  let all = 0;
  let due = 0;
  for (let now = 0; now < 34_000; now += 10) {
    const isBurst = [6_000, 17_000, 27_000].some((at) => now >= at && now < at + 4_500);
    due += (isBurst ? 17.5 : 9.1) / 100;
    for (; due >= 1; due -= 1) {
      waiting.push(now);
      all += 1;
    }
    waiting = waiting.filter((since) => now - since < PATIENCE_MS);
    runs.forEach((list, index) => {
      runs[index] = list.filter((end) => end > now);
    });
    while (waiting.length > 0) {
      const [engine] = [...runs].sort((a, b) => a.length - b.length);
      if (engine === undefined || engine.length >= roomFor) break;
      const since = waiting.shift() ?? now;
      const reader = prefillFree.indexOf(Math.min(...prefillFree));
      const read = Math.max(now, prefillFree[reader] ?? 0) + PROMPT_MS;
      prefillFree[reader] = read;
      engine.push(read + RUN_MS);
      if (read - since <= TARGET_MS) inTime += 1;
    }
  }
  return inTime / all;
}

test('more streams of bursts begin in time on the planned split than on the given one', () => {
  const [change] = planRoles(createView(3, 5));
  expect(change?.role).toBe('decode');
  const before = playBursts(3, 5);
  const after = playBursts(2, 6);
  expect(1 - after).toBeLessThan((1 - before) / 2);
});
