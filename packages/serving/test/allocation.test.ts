import { createRandom, sleep } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createCapacityLedger } from '../src/allocation/capacity-ledger.js';
import { createAllocationFleet, POOL } from './support/allocation-fleet.js';
import type { AllocationFleet, Played } from './support/allocation-fleet.js';

const NODES = 40;
const ENGINES = 10;
const TARGET_MS = 700;
const MAX_WAIT_MS = 3_000;

let fleet: AllocationFleet | undefined;

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
});

afterEach(() => {
  fleet?.stop();
  vi.clearAllTimers();
  vi.useRealTimers();
});

interface Load {
  readonly perSecond: number;
  readonly seconds: number;
  readonly disturb?: (started: AllocationFleet, second: number) => void;
}

/** Plays a load of prompts of 1,000 to 9,000 tokens that hold their memory for 2 to 4 s. */
async function playLoad(started: AllocationFleet, load: Load): Promise<Played[]> {
  const random = createRandom(3);
  const sent: Promise<Played>[] = [];
  const play = async (): Promise<void> => {
    for (let index = 0; index < load.perSecond * load.seconds; index += 1) {
      if (index % load.perSecond === 0) load.disturb?.(started, index / load.perSecond);
      const node = random.nextInt(NODES);
      const isHeavy = random.next() < 0.7;
      sent.push(
        started.send(
          node,
          {
            tokens: 1_000 + random.nextInt(8_000),
            organisation: isHeavy ? 'heavy' : `light-${random.nextInt(3)}`,
            priority: random.nextInt(3),
          },
          { onTargetMs: TARGET_MS, maxWaitMs: MAX_WAIT_MS, holdMs: 2_000 + random.nextInt(2_000) },
        ),
      );
      await sleep(1_000 / load.perSecond);
    }
  };
  void play();
  await vi.advanceTimersByTimeAsync(load.seconds * 1_000 + 10_000);
  return Promise.all(sent);
}

const count = (all: readonly Played[], has: (each: Played) => boolean): number =>
  all.filter(has).length;
const onTargetShare = (all: readonly Played[], of: (each: Played) => boolean): number =>
  count(all, (each) => of(each) && each.outcome === 'served' && each.waitedMs <= TARGET_MS) /
  count(all, of);

// Load: 40 nodes with half a request a second each. Guards against nodes that meet at the same engines.
test('requests of many nodes are spread so that engines refuse almost none', async () => {
  fleet = createAllocationFleet({ nodes: NODES, engines: ENGINES });
  const played = await playLoad(fleet, { perSecond: 20, seconds: 20 });
  const refusals = played.reduce((sum, { engineRefusals }) => sum + engineRefusals, 0);
  expect(refusals).toBeLessThanOrEqual(played.length * 0.01);
  expect(count(played, ({ outcome }) => outcome === 'served')).toBe(played.length);
});

// Load: 1.5 times what the memory bears. Guards against luck in place of an order, and against starvation.
test('in overload urgent requests, light organisations and large prompts get their part', async () => {
  fleet = createAllocationFleet({ nodes: NODES, engines: ENGINES });
  const played = await playLoad(fleet, { perSecond: 45, seconds: 20 });
  const served = (of: (each: Played) => boolean): number =>
    count(played, (each) => of(each) && each.outcome === 'served') / count(played, of);
  const urgent = onTargetShare(played, ({ priority }) => priority === 0);
  expect(urgent).toBeGreaterThan(0.9);
  expect(urgent).toBeGreaterThan(onTargetShare(played, ({ priority }) => priority === 2));
  const all = served(() => true);
  expect(served(({ priority }) => priority === 2)).toBeGreaterThan(all / 4);
  expect(served(({ tokens }) => tokens > 8_200)).toBeGreaterThan(all / 2);
  const isLight = ({ organisation }: Played): boolean => organisation !== 'heavy';
  expect(served(isLight)).toBeGreaterThanOrEqual(served((each) => !isLight(each)));
  const refusals = played.reduce((sum, { engineRefusals }) => sum + engineRefusals, 0);
  expect(refusals).toBeLessThanOrEqual(played.length * 0.02);
});

test('a request that cannot be served in its time is refused before its time is over', async () => {
  fleet = createAllocationFleet({ nodes: NODES, engines: 2 });
  const played = await playLoad(fleet, { perSecond: 40, seconds: 10 });
  const refused = played.filter(({ outcome }) => outcome === 'refused');
  const early = refused.filter(({ waitedMs }) => waitedMs < MAX_WAIT_MS / 2);
  expect(early.length).toBeGreaterThan(refused.length * 0.75);
});

// Guards against capacity that no node holds and nobody gives away.
test('lost messages leave no capacity behind', async () => {
  fleet = createAllocationFleet({ nodes: NODES, engines: 2, lossShare: 0.1 });
  await playLoad(fleet, { perSecond: 10, seconds: 10 });
  expect(fleet.mostUsed()).toBe(0);
  const req = { tokens: 43_000, organisation: 'light', priority: 0 };
  const sending = Promise.all(
    [0, 1].map((node) =>
      fleet?.send(node, req, { onTargetMs: 3_000, maxWaitMs: 3_000, holdMs: 100 }),
    ),
  );
  await vi.advanceTimersByTimeAsync(5_000);
  expect((await sending).map((each) => each?.outcome)).toEqual(['served', 'served']);
});

test('after the end of the allocator the next one knows within seconds what is in use', async () => {
  fleet = createAllocationFleet({ nodes: NODES, engines: ENGINES });
  // All nodes may be the allocator; the ones that end include it.
  const played = await playLoad(fleet, {
    perSecond: 20,
    seconds: 20,
    disturb: (started, second) => {
      if (second === 8) for (let node = 0; node < NODES / 2; node += 1) started.kill(node);
    },
  });
  const refusals = played.reduce((sum, { engineRefusals }) => sum + engineRefusals, 0);
  expect(refusals).toBeLessThanOrEqual(played.length * 0.05);
});

test('a node without an answering allocator learns so at once', async () => {
  fleet = createAllocationFleet({ nodes: 2, engines: 1, lossShare: 1 });
  const ask = (node: number) =>
    fleet?.services[node]?.acquire(POOL, 'run', {
      tokens: 1_000,
      organisation: 'light',
      priority: 0,
      onTargetMs: TARGET_MS,
      maxWaitMs: MAX_WAIT_MS,
      dataCentre: 'a',
      excluded: [],
      refusedBy: undefined,
      signal: new AbortController().signal,
    });
  const asked = Promise.all([ask(0), ask(1)]);
  await vi.advanceTimersByTimeAsync(150);
  expect((await asked).map((result) => result?.kind).sort()).toEqual(['granted', 'unanswered']);
});

test('an older statement of what a node holds does not replace a newer one', () => {
  const ledger = createCapacityLedger();
  ledger.setHoldings('node-1', 2, [['engine', 1, 500]], 0);
  ledger.setHoldings('node-1', 1, [], 0);
  expect(ledger.used('engine')).toEqual({ requests: 1, tokens: 500 });
  const grant = ledger.addGrant('node-1', 'engine', 100);
  ledger.setHoldings('node-1', 3, [['engine', 2, 600]], grant);
  expect(ledger.used('engine')).toEqual({ requests: 2, tokens: 600 });
});
