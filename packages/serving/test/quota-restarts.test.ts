import fc from 'fast-check';
import { createRandom } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import {
  BURST,
  largestWindow,
  playDemand,
  RATE,
  reportIntervals,
  STEP_MS,
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

/** Time between two moments at which the processes end; 100 ms by hand. */
const MOMENT_MS = Number(process.env.QUOTA_MOMENT_MS ?? 1_000);
const HOT_FROM_MS = 10_000;
const SECOND_RESTART_MS = 2_000;
const SECONDS = 25;
/** Tokens of the rate from the moment on at which an organisation asks for all of them. */
const OWED = RATE * (SECONDS - HOT_FROM_MS / 1_000);

/** Nodes and data centres of a fleet. */
type Fleet = readonly [nodes: number, dataCentres: number];
const fleets: readonly Fleet[] = [
  [6, 3],
  [64, 2],
  [88, 3],
];

/** Which nodes of a fleet restart at `at`, as a function of the time. */
type Restart = (at: number, [nodes, dataCentres]: Fleet) => (ms: number) => readonly number[];

const listNodes = (nodes: number): number[] => Array.from({ length: nodes }, (_, index) => index);

const restarts: Readonly<Record<string, Restart>> = {
  'all processes end':
    (at, [nodes]) =>
    (ms) =>
      ms === at ? listNodes(nodes) : [],
  'all processes end twice':
    (at, [nodes]) =>
    (ms) =>
      ms === at || ms === at + SECOND_RESTART_MS ? listNodes(nodes) : [],
  'half of the processes end':
    (at, [nodes]) =>
    (ms) =>
      ms === at ? listNodes(nodes).filter((index) => index % 4 < 2) : [],
  'the processes of a data centre end':
    (at, [nodes, dataCentres]) =>
    (ms) =>
      ms === at ? listNodes(nodes).filter((index) => index % dataCentres === 0) : [],
};

function play([nodes, dataCentres]: Fleet, change: Partial<Simulation>): Promise<number[]> {
  return playDemand({
    nodes,
    dataCentres,
    seconds: SECONDS,
    demand: () => RATE * 0.8,
    intervalMs: reportIntervals(nodes, dataCentres),
    ...change,
  });
}

/** Tokens of the rate in the time until a node's spending has been reported to its data centre. */
const unreportedTokens = ([nodes, dataCentres]: Fleet): number =>
  (RATE * reportIntervals(nodes, dataCentres)(0, dataCentres)) / 1_000;

/** Demand of an organisation that is within its rate until it asks for a multiple of it. */
const hotDemand =
  (factor: number) =>
  (second: number): number =>
    second * 1_000 < HOT_FROM_MS ? RATE / 2 : RATE * factor;

// After a restart nodes granted a full burst, and each of them what all may spend, until reports arrived.
test.each(
  fleets.flatMap(([nodes, dataCentres]) =>
    Object.entries(restarts).flatMap(([name, restart]) =>
      [4, 7.5].map((factor) => ({ nodes, dataCentres, name, restart, factor })),
    ),
  ),
)(
  'no window of an organisation that asks for $factor times its rate of $nodes nodes exceeds the tolerance when $name',
  async ({ nodes, dataCentres, restart, factor }) => {
    for (let at = HOT_FROM_MS - 2_000; at <= HOT_FROM_MS + 6_000; at += MOMENT_MS) {
      const granted = await play([nodes, dataCentres], {
        demand: hotDemand(factor),
        restarts: restart(at, [nodes, dataCentres]),
      });
      expect(largestWindow(granted), `restart at ${at} ms`).toBeLessThanOrEqual(WINDOW_LIMIT);
      expect(total(granted, HOT_FROM_MS / STEP_MS)).toBeGreaterThanOrEqual(
        OWED - 2 * (BURST + unreportedTokens([nodes, dataCentres])),
      );
    }
  },
  120_000,
);

// Buckets that start empty refuse what an organisation within its rate bunches beyond it, but no more.
test.each(fleets)(
  'an organisation within its rate is refused no more than its burst after a restart of %i nodes in %i data centres',
  async (nodes, dataCentres) => {
    const undisturbed = await play([nodes, dataCentres], {});
    const granted = await play([nodes, dataCentres], {
      restarts: (ms) => (ms === HOT_FROM_MS ? listNodes(nodes) : []),
    });
    expect(total(granted)).toBeGreaterThanOrEqual(total(undisturbed) - BURST);
  },
);

// A lost answer is paid by the granter's bucket, and a lost ask must not let each node decide alone.
test('a fleet that restarts while a tenth of the messages is lost keeps to the tolerance', async () => {
  const random = createRandom(7);
  const granted = await play([64, 2], {
    demand: hotDemand(4),
    restarts: (ms) => (ms === HOT_FROM_MS + 1_000 ? listNodes(64) : []),
    isLost: () => random.next() < 0.1,
  });
  expect(largestWindow(granted)).toBeLessThanOrEqual(WINDOW_LIMIT);
  expect(total(granted, HOT_FROM_MS / STEP_MS)).toBeGreaterThanOrEqual(OWED * 0.9 - BURST);
});

const NODES = 12;
const moment = fc.integer({ min: 0, max: 120 }).map((step) => HOT_FROM_MS + step * 100);
const plannedRestarts = fc.array(
  fc.record({
    at: moment,
    nodes: fc.oneof(
      fc.constant(listNodes(NODES)),
      fc.subarray(listNodes(NODES), { minLength: 1 }),
      fc.constantFrom(0, 1).map((place) => listNodes(NODES).filter((index) => index % 2 === place)),
    ),
  }),
  { maxLength: 4 },
);
const partitions = fc.record({ from: moment, forMs: fc.integer({ min: 100, max: 6_000 }) });

/** Plays a fleet of two data centres beside a hot organisation, and returns the most tokens of a window. */
async function playOrder(
  planned: readonly { readonly at: number; readonly nodes: readonly number[] }[],
  lossPercent: number,
  cut: { readonly from: number; readonly forMs: number } | undefined,
): Promise<number> {
  const random = createRandom(3);
  const isCut = (ms: number): boolean =>
    cut !== undefined && ms >= cut.from && ms < cut.from + cut.forMs;
  const granted = await play([NODES, 2], {
    demand: hotDemand(5),
    restarts: (ms) => planned.filter(({ at }) => at === ms).flatMap(({ nodes }) => nodes),
    isConnected: (a, b, ms) => a % 2 === b % 2 || !isCut(ms),
    isLost: () => random.next() * 100 < lossPercent,
  });
  return largestWindow(granted);
}

test('no order of restarts and lost messages lets an organisation exceed the tolerance', async () => {
  await fc.assert(
    fc.asyncProperty(plannedRestarts, fc.integer({ min: 0, max: 20 }), async (planned, loss) => {
      expect(await playOrder(planned, loss, undefined)).toBeLessThanOrEqual(WINDOW_LIMIT);
    }),
    { numRuns: 100, seed: 20_261_206 },
  );
}, 60_000);

// KNOWN-RED.txt: two sides that do not know of their partition yet both grant an overdraft.
test.fails(
  'no order of restarts, lost messages and a partition lets an organisation exceed the tolerance',
  async () => {
    await fc.assert(
      fc.asyncProperty(
        plannedRestarts,
        fc.integer({ min: 0, max: 20 }),
        partitions,
        async (planned, loss, cut) => {
          expect(await playOrder(planned, loss, cut)).toBeLessThanOrEqual(WINDOW_LIMIT);
        },
      ),
      { numRuns: 100, seed: 20_261_206 },
    );
  },
  60_000,
);
