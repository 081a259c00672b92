import { createRandom } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createPermitGrants, GRANTER_POOL } from '../src/permit-grants.js';
import type { PermitAsk } from '../src/permit-grants.js';

const WINDOW_MS = 4_000;
const STEP_MS = 10;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

interface Caller {
  readonly organisation: string;
  readonly priority: number;
  readonly perSecond: number;
}

/** Plays callers that ask at random moments, and returns the times of the grants of each. */
function playLoad(limit: number, seconds: number, callers: readonly Caller[], maxWaitMs = 0) {
  const random = createRandom(11);
  const grants = createPermitGrants(GRANTER_POOL);
  const sent = callers.map((): number[] => []);
  const asked = callers.map(() => 0);
  for (let ms = 0; ms < seconds * 1_000; ms += STEP_MS) {
    callers.forEach(({ organisation, priority, perSecond }, index) => {
      if (random.next() >= (perSecond * STEP_MS) / 1_000) return;
      asked[index] = (asked[index] ?? 0) + 1;
      const ask: PermitAsk = { organisation, priority, onTargetMs: maxWaitMs, maxWaitMs };
      const { isGranted, waitMs } = grants.decide('u1', limit, ask);
      if (isGranted) sent[index]?.push(ms + waitMs);
    });
    vi.advanceTimersByTime(STEP_MS);
  }
  return { sent, asked };
}

function mostInWindow(times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b);
  return Math.max(
    0,
    ...sorted.map(
      (start) => sorted.filter((time) => time >= start && time < start + WINDOW_MS).length,
    ),
  );
}

const caller = (organisation: string, perSecond: number, priority = 1): Caller => ({
  organisation,
  perSecond,
  priority,
});

test.each([0.3, 1, 1.6, 5, 15.5])(
  'overload never sends more than the operators tolerate in any four seconds, at %s per second',
  (limit) => {
    for (const maxWaitMs of [0, 500]) {
      const { sent } = playLoad(limit, 60, [caller('a', limit * 4), caller('b', 3)], maxWaitMs);
      expect(mostInWindow(sent.flat())).toBeLessThanOrEqual(1.5 * 4 * limit + 5);
      expect(sent.flat().length).toBeGreaterThanOrEqual(limit * 60 * 0.9);
    }
  },
);

test('an organisation that asks for most permits does not crowd out one that asks for few', () => {
  const { sent, asked } = playLoad(4, 120, [caller('heavy', 40), caller('light', 1)], 200);
  expect(sent[1]?.length).toBeGreaterThan((asked[1] ?? 0) * 0.95);
  expect(sent[0]?.length).toBeGreaterThan(4 * 120 * 0.6);
});

test('less urgent requests do not take the places of more urgent ones, but are not starved', () => {
  const { sent, asked } = playLoad(4, 120, [caller('a', 4, 0), caller('a', 20, 2)]);
  const urgentShare = (sent[0]?.length ?? 0) / (asked[0] ?? 1);
  const otherShare = (sent[1]?.length ?? 0) / (asked[1] ?? 1);
  expect(urgentShare).toBeGreaterThan(0.7);
  expect(urgentShare).toBeGreaterThan(otherShare * 3);
  expect(sent[1]?.length).toBeGreaterThan(60);
});

test('a request whose permit comes too late is refused with the time until it could get one', () => {
  const grants = createPermitGrants(GRANTER_POOL);
  const ask: PermitAsk = { organisation: 'a', priority: 1, onTargetMs: 60, maxWaitMs: 200 };
  const refused = grants.decide('u1', 1, ask);
  expect(refused.isGranted).toBe(false);
  vi.advanceTimersByTime(refused.waitMs);
  expect(grants.decide('u1', 1, ask)).toMatchObject({ isGranted: true, waitMs: 0 });
});

test('an upstream with a limit of 0 still gets a request now and then', () => {
  const { sent } = playLoad(0, 60, [caller('a', 5)]);
  expect(sent.flat().length).toBeGreaterThanOrEqual(5);
  expect(mostInWindow(sent.flat())).toBeLessThanOrEqual(5);
});
