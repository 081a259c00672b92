/** Random faults against the bound of rate x time + burst over every window. */
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createFleet } from './support.js';
import type { Fleet } from './support.js';

const SEED = Number(process.env.QUOTA_SEED ?? 20_261_204);
const RUNS = Number(process.env.QUOTA_RUNS ?? 12);
const RATE = 300;
const BURST = 900;

/** Largest sum over any window beyond `ratePerS` x time; it must not exceed the burst. */
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

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('load' as const),
      name: anyName,
      tokens: fc.integer({ min: 5, max: 300 }),
      ms: seconds(15),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('large' as const),
      name: anyName,
      tokens: fc.integer({ min: 300, max: 900 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: seconds(90) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('crash' as const),
      name: anyName,
      downMs: seconds(200),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('pause' as const), name: anyName, ms: seconds(100) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('isolate' as const),
      name: anyName,
      ms: seconds(200),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('sever' as const), name: anyName, other: anyName }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('cutDataCentre' as const),
      name: fc.constantFrom('a', 'b', 'c'),
    }),
  },
  { weight: 2, arbitrary: fc.constant({ kind: 'heal' as const }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const), ms: seconds(100) }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('leave' as const), name: anyName, ms: seconds(30) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('loss' as const),
      share: fc.constantFrom(0, 0.05, 0.3),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('dataCentres' as const),
      names: fc.subarray(['a', 'b', 'c'], { minLength: 1 }),
    }),
  },
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

function createDriver(fleet: Fleet) {
  const dropTimers = new Map<string, number>();

  const submit = async (name: string, tokens: number): Promise<void> => {
    if (!fleet.get(name).alive || fleet.get(name).paused) return;
    const { result, admission } = await fleet.debit(name, tokens);
    if (result.isErr()) return;
    const unused = fleet.random.below(tokens + 1);
    setTimeout(() => {
      if (fleet.get(name).alive) fleet.refund(name, result.value, admission, unused);
    }, fleet.random.below(8_000));
  };

  /** The list drops a VM 5 s after nobody reaches it, as the platform promises. */
  const updateList = (): void => {
    for (const node of fleet.nodes.values()) {
      const isGone = !node.alive || performance.now() - node.lastContact > 5_000;
      if (isGone) {
        const since = dropTimers.get(node.vm) ?? performance.now();
        dropTimers.set(node.vm, since);
        if (performance.now() - since > 5_000) fleet.listed.delete(node.vm);
      } else {
        dropTimers.delete(node.vm);
        fleet.listed.add(node.vm);
      }
    }
  };

  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 1_000) {
      updateList();
      await fleet.run(1_000);
    }
  };

  const load = async (name: string, tokens: number, ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 500) {
      void submit(name, tokens);
      void submit(names[fleet.random.below(names.length)] ?? name, tokens);
      if (passed % 1_000 === 0) updateList();
      await fleet.run(500);
    }
  };

  const restart = (name: string): void => {
    if (!fleet.get(name).alive) fleet.startNode(name);
  };

  const apply = async (s: Step): Promise<void> => {
    if (s.kind === 'load') await load(s.name, s.tokens, s.ms);
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
    if (s.kind === 'sever') fleet.sever(s.name, s.other);
    if (s.kind === 'cutDataCentre') {
      for (const a of names) {
        for (const b of names) {
          if (a.startsWith(s.name) !== b.startsWith(s.name)) fleet.sever(a, b);
        }
      }
    }
    if (s.kind === 'heal') fleet.heal();
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
      fleet.net.loseReplies = s.share;
      fleet.net.duplicates = s.share;
      fleet.net.slowReplies = s.share;
    }
    if (s.kind === 'dataCentres') fleet.setDataCentres(s.names);
  };

  return { apply, run };
}

function checkBound(fleet: Fleet): void {
  const used = fleet.admissions.map(({ at, used: tokens }) => ({ at, tokens }));
  const charged = fleet.admissions.map(({ at, charged: tokens }) => ({ at, tokens }));
  const returned = fleet.refunds.map(({ at, tokens }) => ({ at, tokens: -tokens }));
  expect(findLargestExcess(used, RATE)).toBeLessThanOrEqual(BURST + 1e-3);
  expect(findLargestExcess([...charged, ...returned], RATE)).toBeLessThanOrEqual(BURST + 1e-3);
  expect(fleet.violations()).toEqual([]);
}

test(`no window exceeds rate x time + burst under random faults (seed ${SEED})`, async () => {
  const property = fc.asyncProperty(
    fc.array(step, { minLength: 10, maxLength: 40 }),
    fc.integer(),
    async (steps, seed) => {
      const fleet = createFleet({ vms: VMS, ratePerS: RATE, burst: BURST, seed });
      const driver = createDriver(fleet);
      await fleet.startAll();
      for (const s of steps) await driver.apply(s);
      await driver.run(5_000);
      fleet.stop();
      vi.clearAllTimers();
      checkBound(fleet);
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
}, 120_000);
