import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { hasFreeCapacity } from '../src/free-capacity.js';
import { createOrganisationQuota } from '../src/organisation-quota.js';
import type { OrganisationQuota } from '../src/organisation-quota.js';
import {
  BURST,
  largestWindow,
  organisation,
  playDemand,
  RATE,
  REPORT_MS,
  reportIntervals,
  STEP_MS,
  STREAM_TOKENS,
  TOLERANCE,
  total,
  WINDOW_LIMIT,
} from './support/quota-fleet.js';
import type { Simulation } from './support/quota-fleet.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

/** Applies a report of a peer in the same data centre. */
function applySpent(
  quota: OrganisationQuota,
  startedAt: number,
  spent: Record<string, number>,
): void {
  quota.applyReport({ node: 'node-2', dataCentre: 'a', startedAt, spent, spentNearby: {} });
}

// An organisation whose few large requests bunch was refused while engines were idle.
test('an organisation within its rate is not refused when its requests bunch beyond the burst', async () => {
  // On average half of the rate, in bunches of one second every four.
  const demand = (second: number): number => (second % 4 < 1 ? RATE * 2 : 0);
  const granted = await playDemand({ nodes: 6, seconds: 32, demand });
  const asked = 8 * RATE * 2;
  expect(total(granted)).toBeGreaterThan(asked * 0.95);
});

test('an organisation over its rate gets no more than its rate and burst while capacity is short', async () => {
  const granted = await playDemand({
    nodes: 6,
    seconds: 24,
    demand: () => RATE * 3,
    hasFreeCapacity: false,
  });
  expect(total(granted)).toBeLessThanOrEqual(RATE * 24 + BURST + 6 * STREAM_TOKENS);
});

test.each([
  ['without faults', {}],
  [
    'while every node restarts in turn',
    { restarts: (ms: number) => (ms % 1_500 === 0 ? [(ms / 1_500) % 6] : []) },
  ],
  [
    'while a third of the nodes is cut off and comes back',
    {
      isConnected: (a: number, b: number, ms: number) =>
        ms < 6_000 || ms > 13_000 || a < 2 === b < 2,
    },
  ],
  [
    'while all nodes are cut off from each other',
    { isConnected: (_a: number, _b: number, ms: number) => ms < 9_000 || ms > 15_000 },
  ],
])(
  'no window exceeds the tolerance of a hot organisation %s',
  async (_, faults: Partial<Simulation>) => {
    const granted = await playDemand({
      nodes: 6,
      seconds: 30,
      demand: (second) => (second < 4 ? RATE / 2 : RATE * 4),
      ...faults,
    });
    expect(largestWindow(granted)).toBeLessThanOrEqual(WINDOW_LIMIT);
    expect(total(granted)).toBeGreaterThan(RATE * 20);
  },
);

// With totals of single nodes only, a node of a large fleet learns of most spending after seconds.
test.each([
  [80, 3],
  [195, 5],
])(
  'no window exceeds the tolerance of a hot organisation in a fleet of %i nodes',
  async (nodes, dataCentres) => {
    const granted = await playDemand({
      nodes,
      dataCentres,
      seconds: 45,
      demand: (second) => (second < 30 || second > 38 ? RATE / 2 : RATE * 4),
      intervalMs: reportIntervals(nodes, dataCentres),
    });
    expect(largestWindow(granted)).toBeLessThanOrEqual(WINDOW_LIMIT);
  },
);

// After a partition each side charged itself what the other side had spent of its own share, and
// refused the organisation for seconds.
test('the side of a healed partition does not pay for what the other side spent of its share', async () => {
  const demand = (): number => RATE * 0.8;
  const granted = await playDemand({
    nodes: 6,
    seconds: 20,
    demand,
    isConnected: (a, b, ms) => ms < 4_000 || ms > 12_000 || a < 3 === b < 3,
    hasFreeCapacity: false,
  });
  const after = total(granted, 12_000 / STEP_MS, 16_000 / STEP_MS);
  expect(after).toBeGreaterThan(RATE * 0.8 * 4 * 0.9);
});

// A restarted node took the totals that its peers had spent in hours for spending of this moment.
test('a new process does not charge itself what its peers spent before it started', () => {
  const quota = createOrganisationQuota({
    reachableShare: () => 1,
    tolerance: TOLERANCE,
    startedAt: performance.now() - 2_000,
    epoch: 1_000,
    dataCentre: 'a',
    reportIntervalMs: () => REPORT_MS,
    usesSummaries: () => false,
  });
  expect(quota.debit(organisation, 1_000, false).isGranted).toBe(true);
  applySpent(quota, 500, { workshop: 9_000_000 });
  expect(quota.debit(organisation, 1_000, false).isGranted).toBe(true);
  applySpent(quota, 500, { workshop: 9_000_000 + 2 * BURST });
  expect(quota.debit(organisation, 1_000, false).isGranted).toBe(false);
});

// Lookups and bookings of an organisation were refused for seconds after a few of its streams.
test('small requests are granted when large ones have used up the overdraft', () => {
  const quota = createOrganisationQuota({
    reachableShare: () => 1,
    tolerance: TOLERANCE,
    startedAt: performance.now() - 60_000,
    epoch: 0,
    dataCentre: 'a',
    reportIntervalMs: () => REPORT_MS,
    usesSummaries: () => false,
  });
  while (quota.debit(organisation, STREAM_TOKENS, true).isGranted);
  expect(quota.debit(organisation, 200, false).isGranted).toBe(false);
  expect(quota.debit(organisation, 200, true).isGranted).toBe(true);
});

function createStartedQuota(sinceMs: number, tolerance = TOLERANCE): OrganisationQuota {
  return createOrganisationQuota({
    reachableShare: () => 1,
    tolerance,
    startedAt: performance.now() - sinceMs,
    epoch: 100_000,
    dataCentre: 'a',
    reportIntervalMs: () => REPORT_MS,
    usesSummaries: () => false,
  });
}

test('the bucket of a process that starts beside running peers is not full again', async () => {
  const quota = createStartedQuota(100);
  expect(quota.debit(organisation, STREAM_TOKENS, true).isGranted).toBe(false);
  applySpent(quota, 50_000, {});
  await vi.advanceTimersByTimeAsync(600);
  expect(quota.debit(organisation, BURST, true).isGranted).toBe(false);
});

// After a restart of all nodes a window held the burst that was spent before it and another one.
test('buckets hold no burst beyond a twentieth of the tolerated excess after an outage of all nodes', () => {
  const quota = createStartedQuota(650, { ...TOLERANCE, allowance: 0 });
  applySpent(quota, 99_500, {});
  // 19,500 tokens were refilled, and 1,350 are a twentieth of the tolerated excess.
  expect(quota.debit(organisation, 21_500, false).isGranted).toBe(false);
  expect(quota.debit(organisation, 20_500, false).isGranted).toBe(true);
});

// In a large fleet each node reports to a remote one every few seconds. After a restart of a data centre each
// report was the first one of a process, and nothing that was spent there counted until the second ones.
test('what a restarted data centre spends counts from the first reports on', async () => {
  const epoch = 100_000;
  const quota = createOrganisationQuota({
    reachableShare: () => 1,
    tolerance: TOLERANCE,
    startedAt: performance.now() - 60_000,
    epoch,
    dataCentre: 'a',
    reportIntervalMs: () => REPORT_MS,
    usesSummaries: () => true,
  });
  quota.setOrganisations([organisation]);
  const report = (node: string, startedAt: number, nearby: number): void =>
    quota.applyReport({
      node,
      dataCentre: 'b',
      startedAt,
      spent: {},
      spentNearby: { workshop: nearby },
    });
  report('node-2', epoch - 60_000, 500_000);
  await vi.advanceTimersByTimeAsync(500);
  const restartedAt = epoch + 60_000 + 500;
  await vi.advanceTimersByTimeAsync(500);
  report('node-2', restartedAt, BURST);
  report('node-3', restartedAt, 2 * BURST);
  report('node-4', restartedAt, 2 * BURST);
  expect(quota.debit(organisation, BURST * 0.1, false).isGranted).toBe(false);
  // No more than was spent.
  await vi.advanceTimersByTimeAsync(2_000);
  expect(quota.debit(organisation, BURST * 0.9, false).isGranted).toBe(true);
});

test('a pool has no free capacity for the excess of one organisation while requests wait', () => {
  expect(hasFreeCapacity({ waiting: 0, used: 50_000, capacity: 100_000 }, 8_000)).toBe(true);
  expect(hasFreeCapacity({ waiting: 1, used: 50_000, capacity: 100_000 }, 8_000)).toBe(false);
  expect(hasFreeCapacity({ waiting: 0, used: 80_000, capacity: 100_000 }, 8_000)).toBe(false);
});
