import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { countLateEnds, createFleet, DEADLY, DEADLY_REQUEST, play } from './support/crash-fleet.js';
import type { Fleet } from './support/crash-fleet.js';
import { createUpstream, enginePool } from './support/test-node.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

test.each([0.02, 0.05, 0.25])(
  'at a share of %d deadly requests end three engines, and sound ones are served',
  async (deadlyShare) => {
    const fleet = createFleet(6, 12);
    await play(fleet, { seconds: 60, deadlyShare });
    expect(fleet.ends.deadly).toBe(3);
    expect(fleet.refusedSound).toEqual([]);
  },
);

/** Plays sound requests beside one that is repeated every second and shares its parts with some of them. */
async function playRepeated(
  fleet: Fleet,
  seconds: number,
  onSecond: (second: number) => void = () => {},
): Promise<void> {
  const serve = (): void => {
    const node = Math.round(performance.now() / 1_000) % fleet.nodes.length;
    fleet.serve(fleet.nodes[node] ?? expect.fail(), 0, ['guide', 'subject-1'], DEADLY_REQUEST);
  };
  await play(fleet, {
    seconds,
    deadlyShare: 0,
    onSecond: (_, second) => {
      setTimeout(serve, 60);
      onSecond(second);
    },
  });
}

// Guards against a request that ends engines again and again, and against refusing those that share its parts.
test.each([12, 3])(
  'a repeated request ends three of %d engines, and others with its parts are served',
  async (engineCount) => {
    const fleet = createFleet(6, engineCount);
    await playRepeated(fleet, 55);
    expect(fleet.ends.deadly).toBe(3);
    expect(fleet.refusedSound).toEqual([]);
  },
);

// Guards against processes that forget a quarantined request when all of them end.
test('a repeated request ends three more engines at most when all processes end before it is quarantined', async () => {
  const fleet = createFleet(6, 12);
  await playRepeated(fleet, 55, (second) => {
    if ((second === 0 && fleet.ends.deadly > 0) || second === 2 || second === 30)
      fleet.restartAll();
  });
  expect(fleet.ends.deadly).toBeLessThanOrEqual(6);
  expect(fleet.refusedSound).toEqual([]);
});

// Guards against taking callers' repeats of sound requests for the cause when engines end under them.
test('sound requests that are repeated at the next engine are not condemned', async () => {
  const fleet = createFleet(6, 12);
  let repeat = 0;
  await play(fleet, {
    seconds: 50,
    deadlyShare: 0.05,
    onSecond: (_, second) => {
      repeat += 1;
      const node = fleet.nodes[repeat % 6] ?? expect.fail();
      fleet.serve(node, (second * 5) % 8, ['guide'], `request-${second % 3}`);
      if (second % 3 === 0) fleet.end((second * 5) % 12);
    },
  });
  expect(fleet.ends.deadly).toBeLessThanOrEqual(4);
  expect(fleet.refusedSound).toEqual([]);
});

// Guards against taking sound parts for the cause when engines also end on their own.
test('engines that end for other reasons do not condemn sound parts', async () => {
  const fleet = createFleet(6, 12);
  const onSecond = (_: Fleet, second: number): void => {
    for (const engine of [second % 12, (second * 5) % 12]) fleet.end(engine);
  };
  await play(fleet, { seconds: 40, deadlyShare: 0, onSecond });
  expect(fleet.counts.broken).toBeGreaterThan(20);
  expect(fleet.refusedSound).toEqual([]);
});

test('a deadly part is found among engines that end for other reasons', async () => {
  const fleet = createFleet(6, 12);
  const onSecond = (_: Fleet, second: number): void => {
    if (second % 3 === 0) fleet.end((second * 5) % 12);
  };
  await play(fleet, { seconds: 60, deadlyShare: 0.05, onSecond });
  expect(fleet.ends.deadly).toBeLessThanOrEqual(4);
  expect(fleet.refusedSound).toEqual([]);
});

test('a node that restarts knows the quarantine of its peers', async () => {
  const fleet = createFleet(6, 12);
  await play(fleet, {
    seconds: 60,
    deadlyShare: 0.1,
    onSecond: (_, second) => fleet.restartNode(second % 6),
  });
  expect(fleet.ends.deadly).toBeLessThanOrEqual(5);
  expect(fleet.refusedSound).toEqual([]);
});

test('each side of a partition quarantines the part by its own evidence', async () => {
  const fleet = createFleet(6, 12);
  for (const side of [fleet.nodes.slice(0, 3), fleet.nodes.slice(3)]) {
    for (const node of side) node.peers = side.filter((peer) => peer !== node);
  }
  await play(fleet, { seconds: 60, deadlyShare: 0.1 });
  expect(fleet.ends.deadly).toBeLessThanOrEqual(6);
  expect(fleet.refusedSound).toEqual([]);
});

// An answer without a length ends like a whole one when its engine ends between two events.
test('an answer whose engine has ended clears no part', async () => {
  const fleet = createFleet(1, 12);
  await play(fleet, { seconds: 20, deadlyShare: 0.25 });
  const [{ protection }] = [fleet.nodes[0] ?? expect.fail()];
  const ended = createUpstream('unknown', { pool: enginePool, role: 'decode' });
  protection.beginRun(ended, 'last', [DEADLY])('answered');
  await vi.advanceTimersByTimeAsync(10);
  expect(protection.report()).toEqual([expect.objectContaining({ parts: [DEADLY] })]);
});

test('a message of a peer with invalid parts is not accepted', () => {
  const { nodes } = createFleet(1, 1);
  const { receive, report } = nodes[0]?.protection ?? expect.fail();
  for (const runs of [[{ parts: [7], ageMs: 1 }], [{ parts: ['x'.repeat(65)], ageMs: 1 }], [{}]]) {
    expect(receive({ ends: [{ key: 'engine-1', runs }] })).toBe(false);
  }
  expect(receive({ ends: [{ key: 'engine-1', runs: [{ parts: ['x'], ageMs: -1 }] }] })).toBe(false);
  expect(receive({ clearedParts: 'x' })).toBe(false);
  expect(report()).toEqual([]);
});

test('an operator lists the quarantined parts and lifts a quarantine at all nodes', async () => {
  const fleet = createFleet(2, 12);
  await play(fleet, { seconds: 20, deadlyShare: 0.25 });
  const { protection } = fleet.nodes[0] ?? expect.fail();
  const listed = await protection.app.request('/quarantine');
  expect(await listed.json()).toEqual([expect.objectContaining({ parts: [DEADLY] })]);
  const lifted = await protection.app.request(`/quarantine/${DEADLY}`, { method: 'DELETE' });
  expect(lifted.status).toBe(204);
  await vi.advanceTimersByTimeAsync(10);
  expect(fleet.nodes.map((node) => node.protection.report())).toEqual([[], []]);
  expect((await protection.app.request('/quarantine/none', { method: 'DELETE' })).status).toBe(404);
});

/** Times between the requests of a batch, with which the ends of their engines meet in different ways. */
const batchGaps = [
  [0, 0],
  [20, 20],
  [45, 45],
  [45, 90],
  [70, 70],
  [90, 45],
  [150, 10],
  [400, 400],
];

// Guards against refusing sound requests that share a part behind the one that ends engines.
test.each(batchGaps)(
  'a shared part behind the deadly one stays free when requests come %d and %d ms apart',
  async (...gaps) => {
    const fleet = createFleet(6, 12);
    const serve = (index: number, parts: readonly string[]): void => {
      fleet.serve(fleet.nodes[index % 6] ?? expect.fail(), (index * 5) % 8, parts);
    };
    const sound = ['guide', 'instructions'];
    for (let second = 0; second < 40; second += 1) {
      if (second % 2 === 0) serve(second, sound);
      if (second >= 6 && second % 3 === 1) {
        let delayMs = 0;
        [0, ...gaps].forEach((gapMs, index) => {
          delayMs += gapMs;
          setTimeout(serve, delayMs, second + index, [DEADLY, 'instructions']);
        });
      }
      await vi.advanceTimersByTimeAsync(1_000);
    }
    expect(fleet.refusedSound).toEqual([]);
    expect(countLateEnds(fleet)).toBeLessThanOrEqual(3);
  },
);
