/**
 * Random faults and load in a fleet. Guards against tokens that are created, or granted twice, so
 * that some window admits more than rate x time + burst.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createFleet } from './support.js';
import type { Fleet } from './support.js';

const SEED = Number(process.env.QUOTA_SEED ?? 20_261_204);
const RUNS = Number(process.env.QUOTA_RUNS ?? 6);
const RATE_PER_S = 300;
const BURST_TOKENS = 900;

/** Returns the most tokens that any window has beyond `ratePerS` x time; the burst bounds it. */
function findLargestExcess(
  events: readonly { readonly at: number; readonly tokens: number }[],
  ratePerS: number,
): number {
  let excess = 0;
  let largest = 0;
  let last = 0;
  for (const event of [...events].sort((a, b) => a.at - b.at)) {
    excess = Math.max(0, excess - ((event.at - last) / 1_000) * ratePerS);
    excess = Math.max(0, excess + event.tokens);
    largest = Math.max(largest, excess);
    last = event.at;
  }
  return largest;
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

const VMS = { a: ['a1', 'a2'], b: ['b1', 'b2'], c: ['c1', 'c2'] };
const names = Object.values(VMS).flat();
const anyName = fc.constantFrom(...names);
const seconds = (max: number) => fc.integer({ min: 1, max }).map((s) => s * 1_000);

const weightedStep = <K extends string, T>(
  weight: number,
  kind: K,
  rest: fc.Arbitrary<T>,
): fc.WeightedArbitrary<T & { kind: K }> => ({
  weight,
  arbitrary: rest.map((fields) => ({ ...fields, kind })),
});

const step = fc.oneof(
  weightedStep(3, 'load', fc.record({ maxTokens: fc.constantFrom(0, 20, 100, 300) })),
  weightedStep(4, 'flood', fc.record({ tokens: fc.integer({ min: 10, max: 300 }) })),
  weightedStep(
    1,
    'large',
    fc.record({ name: anyName, tokens: fc.integer({ min: 300, max: 900 }) }),
  ),
  weightedStep(4, 'wait', fc.record({ ms: seconds(20) })),
  weightedStep(2, 'wait', fc.record({ ms: seconds(120) })),
  weightedStep(2, 'crash', fc.record({ name: anyName, downMs: seconds(10) })),
  weightedStep(1, 'crash', fc.record({ name: anyName, downMs: seconds(300) })),
  weightedStep(2, 'pause', fc.record({ name: anyName, ms: seconds(100) })),
  weightedStep(2, 'isolate', fc.record({ name: anyName, ms: seconds(150) })),
  weightedStep(1, 'disconnect', fc.record({ name: anyName, other: anyName, ms: seconds(60) })),
  weightedStep(
    1,
    'isolateDataCentre',
    fc.record({ name: fc.constantFrom('a', 'b', 'c'), ms: seconds(60) }),
  ),
  weightedStep(1, 'outage', fc.record({ ms: seconds(60) })),
  weightedStep(1, 'leave', fc.record({ name: anyName, ms: seconds(30) })),
  weightedStep(1, 'loss', fc.record({ rate: fc.constantFrom(0, 0.05, 0.3) })),
  weightedStep(
    1,
    'dataCentres',
    fc.record({ names: fc.subarray(['a', 'b', 'c'], { minLength: 1 }) }),
  ),
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

function createDriver(fleet: Fleet) {
  const unreachableSince = new Map<string, number>();

  const submit = async (name: string, tokens: number): Promise<void> => {
    if (!fleet.get(name).alive || fleet.get(name).paused) return;
    const { result, admission } = await fleet.debit(name, tokens);
    if (result.isErr()) return;
    const unused = fleet.random.nextInt(2) * fleet.random.nextInt(tokens + 1);
    setTimeout(() => {
      if (fleet.get(name).alive) fleet.refund(name, result.value, admission, unused);
    }, fleet.random.nextInt(8_000));
  };

  /** Removes a VM from the list 5 s after it became unreachable, as the platform guarantees. */
  const updateVmList = (): void => {
    for (const node of fleet.nodes.values()) {
      const isUnreachable = !node.alive || performance.now() - node.lastContact > 5_000;
      if (isUnreachable) {
        const since = unreachableSince.get(node.vm) ?? performance.now();
        unreachableSince.set(node.vm, since);
        if (performance.now() - since > 5_000) fleet.listed.delete(node.vm);
      } else {
        unreachableSince.delete(node.vm);
        fleet.listed.add(node.vm);
      }
    }
  };

  const state = { maxTokens: 100 };

  const submitAll = (tokens: () => number): void => {
    names.forEach((name) => {
      submit(name, tokens()).catch((error: unknown) => {
        throw error;
      });
    });
  };

  const run = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 500) {
      updateVmList();
      if (state.maxTokens > 0) submitAll(() => 1 + fleet.random.nextInt(state.maxTokens));
      await fleet.run(500);
    }
  };

  const flood = async (tokens: number): Promise<void> => {
    for (let i = 0; i < 4; i += 1) submitAll(() => tokens);
    await run(1_000);
  };

  const restart = (name: string): void => {
    if (!fleet.get(name).alive) fleet.startNode(name);
  };

  const apply = async (s: Step): Promise<void> => {
    if (s.kind === 'load') state.maxTokens = s.maxTokens;
    if (s.kind === 'flood') await flood(s.tokens);
    if (s.kind === 'large') void submit(s.name, s.tokens);
    if (s.kind === 'wait') await run(s.ms);
    if (s.kind === 'crash' && fleet.get(s.name).alive) {
      fleet.kill(s.name);
      setTimeout(() => restart(s.name), s.downMs);
    }
    if (s.kind === 'pause') {
      const node = fleet.get(s.name);
      node.paused = true;
      setTimeout(() => {
        node.paused = false;
      }, s.ms);
    }
    if (s.kind === 'isolate') fleet.isolate(s.name);
    if (s.kind === 'disconnect') fleet.disconnect(s.name, s.other);
    if (s.kind === 'isolateDataCentre') {
      for (const a of names) {
        for (const b of names) {
          if (a.startsWith(s.name) !== b.startsWith(s.name)) fleet.disconnect(a, b);
        }
      }
    }
    if ('ms' in s && ['isolate', 'disconnect', 'isolateDataCentre'].includes(s.kind)) {
      setTimeout(fleet.heal, s.ms);
    }
    if (s.kind === 'outage') {
      fleet.platform.down = true;
      setTimeout(() => {
        fleet.platform.down = false;
      }, s.ms);
    }
    if (s.kind === 'leave' && fleet.get(s.name).alive) {
      const node = fleet.get(s.name);
      void fleet.leave(s.name).then(() => {
        if (node.alive) fleet.kill(s.name);
        setTimeout(() => restart(s.name), s.ms);
      });
    }
    if (s.kind === 'loss') {
      fleet.net.replyLossRate = s.rate;
      fleet.net.duplicateRate = s.rate;
      fleet.net.slowReplyRate = s.rate;
    }
    if (s.kind === 'dataCentres') fleet.setDataCentres(s.names);
  };

  return { apply, run };
}

function checkBound(fleet: Fleet): void {
  const used = fleet.admissions.map(({ at, used: tokens }) => ({ at, tokens }));
  const charged = fleet.admissions.map(({ at, charged: tokens }) => ({ at, tokens }));
  const returned = fleet.refunds.map(({ at, tokens }) => ({ at, tokens: -tokens }));
  expect(findLargestExcess(used, RATE_PER_S)).toBeLessThanOrEqual(BURST_TOKENS + 1e-3);
  expect(findLargestExcess([...charged, ...returned], RATE_PER_S)).toBeLessThanOrEqual(
    BURST_TOKENS + 1e-3,
  );
  expect(fleet.violations()).toEqual([]);
}

test(
  `no window exceeds rate x time + burst under random faults (seed ${SEED})`,
  async () => {
    const property = fc.asyncProperty(
      fc.array(step, { minLength: 10, maxLength: 40 }),
      fc.integer(),
      async (steps, seed) => {
        const fleet = createFleet({ vms: VMS, ratePerS: RATE_PER_S, burst: BURST_TOKENS, seed });
        const driver = createDriver(fleet);
        await fleet.startAll();
        for (const s of steps) await driver.apply(s);
        await driver.run(5_000);
        await fleet.stop();
        vi.clearAllTimers();
        checkBound(fleet);
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  },
  RUNS * 20_000,
);
