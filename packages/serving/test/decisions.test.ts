import {
  createTelemetry,
  dataCentreId,
  organisationId,
  poolId,
  upstreamId,
} from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createColdLimit } from '../src/cold-limit.js';
import type { KnownUpstream } from '../src/directory.js';
import { createOrganisationQuota } from '../src/organisation-quota.js';
import type { OrganisationQuota } from '../src/organisation-quota.js';
import { rankDecode, rankPlain, rankPrefill } from '../src/placement.js';
import type { CandidateState, PlacementContext } from '../src/placement.js';
import { createRetryBudget } from '../src/retry-budget.js';
import { reservationTokens } from '../src/reserve-engine.js';
import { createUpstreamHealth } from '../src/upstream-health.js';
import { createUpstreamLoads } from '../src/upstream-loads.js';
import { planWait } from '../src/wait-plan.js';
import { createUpstream } from './support/test-node.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const pool = poolId('plain');
const localDataCentre = dataCentreId('a');
const organisation = {
  id: organisationId('workshop'),
  keys: [],
  priority: undefined,
  ratePerSecond: 1_000,
  burst: 1_000,
  countsTokens: true,
  defaultTokens: 200,
};

/** Creates the quota of a process that has run for a minute. */
function createQuota(share: number) {
  return createOrganisationQuota({
    reachableShare: () => share,
    tolerance: { windowMs: 8_000, ratio: 0.1, allowance: 0 },
    startedAt: performance.now() - 60_000,
    epoch: 0,
    dataCentre: 'a',
    reportIntervalMs: () => 200,
    usesSummaries: () => false,
  });
}

/** Applies a report of a peer in the same data centre. */
function applyPeer(
  quota: OrganisationQuota,
  node: string,
  startedAt: number,
  spent: Record<string, number>,
): void {
  quota.applyReport({ node, dataCentre: 'a', startedAt, spent, spentNearby: {} });
}

/**
 * Returns the tokens that several nodes grant under constant demand, with reports between them at
 * an interval.
 */
async function spend(nodes: number, totalMs: number, reportMs: number, share: number) {
  const quotas = Array.from({ length: nodes }, () => createQuota(share));
  let granted = 0;
  for (let time = 0; time < totalMs; time += 20) {
    for (const quota of quotas) {
      if (quota.debit(organisation, 100, false).isGranted) granted += 100;
    }
    if (time % reportMs === 0) {
      quotas.forEach((quota, receiver) => {
        quotas.forEach((other, sender) => {
          if (receiver !== sender) applyPeer(quota, `node-${sender}`, 1, other.spent());
        });
      });
    }
    await vi.advanceTimersByTimeAsync(20);
  }
  return granted;
}

test('nodes that exchange reports together grant about the rate of an organisation', async () => {
  const granted = await spend(6, 8_000, 200, 1);
  expect(granted).toBeGreaterThanOrEqual(8_000);
  // Each node can grant its whole burst before the first report arrives.
  expect(granted).toBeLessThanOrEqual(8_000 + 6 * 1_000);
});

test('nodes without contact to each other together grant no more than the rate and the burst', async () => {
  const granted = await spend(6, 8_000, Infinity, 1 / 6);
  expect(granted).toBeLessThanOrEqual((8_000 + 1_000) * 1.1);
});

test('spending of a peer is counted once when its report is repeated or the peer restarts', () => {
  const quota = createQuota(1);
  expect(quota.debit(organisation, 100, false).isGranted).toBe(true);
  applyPeer(quota, 'node-2', 1, { workshop: 300 });
  applyPeer(quota, 'node-2', 1, { workshop: 300 });
  applyPeer(quota, 'node-2', 2, { workshop: 100 });
  expect(quota.debit(organisation, 501, false).isGranted).toBe(false);
  expect(quota.debit(organisation, 500, false).isGranted).toBe(true);
});

test('a refusal over the rate states when the bucket holds enough tokens', () => {
  const quota = createQuota(1);
  quota.debit(organisation, 1_000, false);
  expect(quota.debit(organisation, 250, false).retryAfterMs).toBeCloseTo(250, 0);
});

test('a request larger than the burst is granted from a full bucket', () => {
  const quota = createQuota(1);
  expect(quota.debit(organisation, 1_500, false).isGranted).toBe(true);
  expect(quota.debit(organisation, 100, false).isGranted).toBe(false);
});

test('the retries of all nodes stay within the limit of the fleet in every window', async () => {
  const nodes = 6;
  const budgets = Array.from({ length: nodes }, () =>
    createRetryBudget({ ratio: 0.2, allowance: 52, windowMs: 10_000, nodes: () => nodes }),
  );
  const requests: number[] = [];
  const retries: number[] = [];
  for (let time = 0; time < 40_000; time += 100) {
    for (const budget of budgets) {
      budget.recordRequest(pool);
      requests.push(time);
      // Every request fails and attempts two retries.
      for (let round = 0; round < 2; round += 1) if (budget.take(pool)) retries.push(time);
    }
    await vi.advanceTimersByTimeAsync(100);
  }
  for (let start = 0; start < 30_000; start += 500) {
    const inWindow = (times: number[]): number =>
      times.filter((time) => time >= start && time < start + 10_000).length;
    expect(inWindow(retries)).toBeLessThanOrEqual(0.2 * inWindow(requests) + 52);
  }
});

// A restarted node has lost its count, and until it has read the registry it took itself for the whole fleet.
test.each([
  ['before the registry is read', 600],
  ['after the registry is read', 0],
])(
  'the retries of nodes that all restart in a window stay within the limit of the fleet, %s',
  async (_, unreadMs) => {
    const nodes = 6;
    const createBudgets = () => {
      const startedAt = performance.now();
      const isRead = (): boolean => performance.now() - startedAt >= unreadMs;
      return Array.from({ length: nodes }, () =>
        createRetryBudget({
          ratio: 0.2,
          allowance: 52,
          windowMs: 10_000,
          nodes: () => (isRead() ? nodes : undefined),
        }),
      );
    };
    let budgets = createBudgets();
    await vi.advanceTimersByTimeAsync(20_000);
    const requests: number[] = [];
    const retries: number[] = [];
    for (let time = 0; time < 30_000; time += 100) {
      if (time === 12_000) budgets = createBudgets();
      for (const budget of budgets) {
        if (time % 2_000 === 0) {
          budget.recordRequest(pool);
          requests.push(time);
        }
        if (budget.take(pool)) retries.push(time);
      }
      await vi.advanceTimersByTimeAsync(100);
    }
    for (let start = 0; start < 20_000; start += 500) {
      const inWindow = (times: number[]): number =>
        times.filter((time) => time >= start && time < start + 10_000).length;
      expect(inWindow(retries)).toBeLessThanOrEqual(0.2 * inWindow(requests) + 52);
    }
  },
);

test.each([1, 3, 6, 77])(
  '%i nodes together stay within the rate limit of a cold upstream',
  (count) => {
    const names = Array.from({ length: count }, (_, index) => `node-${index}`);
    const cold = { ...createUpstream('cold'), coldUntil: Infinity };
    const limits = names.map((self) => createColdLimit({ self, nodes: () => names }));
    let sent = 0;
    for (const limit of limits) {
      for (;;) {
        const permit = limit.take(cold, 8.4);
        if (permit === undefined) break;
        permit.recordSend();
        sent += 1;
      }
    }
    expect(sent).toBeGreaterThanOrEqual(1);
    expect(sent).toBeLessThanOrEqual(8);
  },
);

function known(name: string, change: Partial<KnownUpstream> = {}): KnownUpstream {
  return { ...createUpstream(name), coldUntil: 0, ...change };
}

const idle: CandidateState = {
  requests: 0,
  tokens: 0,
  failureRate: 0,
  isEjected: false,
  isWithinRateLimits: true,
  isCold: false,
  isChanging: false,
};

function context(states: Readonly<Record<string, Partial<CandidateState>>>): PlacementContext {
  return {
    dataCentre: localDataCentre,
    excluded: new Set(),
    random: () => 0,
    readState: ({ id }) => ({ ...idle, ...states[id] }),
  };
}

const names = (list: readonly KnownUpstream[]): string[] => list.map(({ id }) => id);

test('a plain upstream in the local data centre is preferred until it is loaded', () => {
  const all = [known('remote', { dataCentre: dataCentreId('b') }), known('local')];
  expect(names(rankPlain(all, context({ local: { requests: 2 } })))[0]).toBe('local');
  expect(names(rankPlain(all, context({ local: { requests: 5 } })))[0]).toBe('remote');
});

test('ejected upstreams are used only when there are no others', () => {
  const all = [known('bad'), known('good')];
  const states = { bad: { isEjected: true }, good: { requests: 40 } };
  expect(names(rankPlain(all, context(states)))).toEqual(['good']);
  expect(names(rankPlain([known('bad')], context(states)))).toEqual(['bad']);
});

test('an upstream with a raised failure rate ranks below a healthy one', () => {
  const all = [known('flaky'), known('healthy')];
  expect(names(rankPlain(all, context({ flaky: { failureRate: 0.4 } })))[0]).toBe('healthy');
});

test('a decode engine without free memory for the request is not ranked', () => {
  const engines = [known('full', { role: 'decode' }), known('free', { role: 'decode' })];
  const need = { tokens: 6_000, memoryTokens: 60_000, slots: 64 };
  const ranked = rankDecode(engines, context({ full: { tokens: 62_000 } }), need);
  expect(names(ranked)).toEqual(['free']);
});

test('a prefill engine in the data centre of the decode engine is preferred unless it is busy', () => {
  const engines = [
    known('local', { role: 'prefill' }),
    known('remote', { role: 'prefill', dataCentre: dataCentreId('b') }),
  ];
  expect(
    names(rankPrefill(engines, context({ local: { tokens: 4_000 } }), localDataCentre))[0],
  ).toBe('local');
  expect(
    names(rankPrefill(engines, context({ local: { tokens: 9_000 } }), localDataCentre))[0],
  ).toBe('remote');
});

test('a data centre without responses is ejected and tried again later', () => {
  const health = createUpstreamHealth(createTelemetry({}, () => {}));
  const lost = ['u1', 'u2', 'u3'].map((name) => known(name, { dataCentre: dataCentreId('b') }));
  health.recordFailure(lost[0] as KnownUpstream, 'no_response');
  health.recordFailure(lost[1] as KnownUpstream, 'no_response');
  expect(lost.map((upstream) => health.isEjected(upstream))).toEqual([true, true, true]);
  expect(health.isEjected(known('local'))).toBe(false);
  vi.advanceTimersByTime(600);
  expect(health.isEjected(lost[2] as KnownUpstream)).toBe(false);
});

test('upstreams that respond with errors do not count against their data centre', () => {
  const health = createUpstreamHealth(createTelemetry({}, () => {}));
  health.recordFailure(known('u1'), 'answered');
  health.recordFailure(known('u2'), 'answered');
  expect(health.isEjected(known('u3'))).toBe(false);
});

test('the load that a peer reported counts until the peer is dropped', () => {
  const loads = createUpstreamLoads();
  const end = loads.begin(upstreamId('d1'), 5_000);
  loads.applyPeer('node-2', { d1: [2, 11_000] });
  expect([loads.requests(upstreamId('d1')), loads.tokens(upstreamId('d1'))]).toEqual([3, 16_000]);
  loads.dropPeer('node-2');
  end();
  end();
  expect([loads.requests(upstreamId('d1')), loads.tokens(upstreamId('d1'))]).toEqual([0, 0]);
});

test('a reservation covers the prompt and at most the output limit', () => {
  const usage = { promptTokens: 5_000, maxOutputTokens: 500 };
  const unknown = reservationTokens({ ...usage, expectedOutputTokens: undefined });
  const high = reservationTokens({ ...usage, expectedOutputTokens: 9_000 });
  expect(unknown).toBe(high);
  expect(high).toBeGreaterThan(5_000);
  expect(high).toBeLessThanOrEqual(5_500);
});

test('a request past its target may wait until shortly before its client disconnects', () => {
  const plan = planWait({ targetMs: 900, elapsedMs: 0, remainingMs: 14_000, hasEvents: false });
  expect(plan.onTargetMs).toBeLessThan(900);
  expect(plan.maxWaitMs).toBeGreaterThan(plan.onTargetMs);
  expect(plan.maxWaitMs).toBeLessThan(3_600);
});

test('a request whose remaining time is too short for a run does not wait', () => {
  const plan = planWait({ targetMs: 900, elapsedMs: 0, remainingMs: 3_000, hasEvents: false });
  expect(plan.maxWaitMs).toBe(0);
});
