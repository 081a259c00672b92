import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createCrashProtection } from '../src/crash-protection.js';
import type { CrashProtection } from '../src/crash-protection.js';
import type { ServingRequest, ServingUpstream } from '../src/index.js';
import { createUpstream, enginePool } from './support/test-node.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

/** Time for which an engine is gone after it ended. */
const RESTART_MS = 3_000;
/** Time between the start of a run and the end of the engine under a deadly part. */
const CRASH_AFTER_MS = 40;
const STREAM_MS = 1_500;
const DEADLY = 'deadly';

interface Engine {
  upstream: ServingUpstream;
  endedAt: number;
  /** Functions that break off the running requests. */
  readonly running: Set<() => void>;
}

interface Node {
  readonly protection: CrashProtection;
  /** Nodes that get the messages of this one. */
  peers: Node[];
}

interface Fleet {
  readonly nodes: Node[];
  readonly ends: { deadly: number; ordinary: number };
  /** Sends a request by a node to an engine; counts it by how it ends. */
  serve(node: Node, engine: number, parts: readonly string[]): void;
  end(engine: number): void;
  restartNode(index: number): void;
  readonly counts: Record<'whole' | 'broken' | 'refused', number>;
  readonly refusedSound: string[];
  /** Times of the ends under deadly requests. */
  readonly deadlyEndsAt: number[];
}

function createFleet(nodeCount: number, engineCount: number): Fleet {
  const now = (): number => performance.now();
  const engines = Array.from({ length: engineCount }, (_, index): Engine => ({
    upstream: createUpstream(`engine-${index}`, { pool: enginePool, role: 'decode' }),
    endedAt: -Infinity,
    running: new Set(),
  }));
  const isUp = ({ endedAt }: Engine): boolean => now() - endedAt >= RESTART_MS;
  const isListening = async ({ id }: ServingUpstream): Promise<boolean> => {
    const engine = engines.find(({ upstream }) => upstream.id === id);
    return engine !== undefined && isUp(engine);
  };
  const nodes: Node[] = [];

  const createNode = (name: string): Node => {
    const node: Node = {
      peers: [],
      protection: createCrashProtection({
        self: name,
        transport: { isListening },
        datagrams: {
          send: (message) => {
            const bytes = JSON.stringify(message);
            for (const peer of node.peers) {
              setTimeout(() => peer.protection.receive(JSON.parse(bytes)), 2);
            }
            return true;
          },
        },
        recipients: () => [],
        peers: () => [],
        random: () => 0,
        telemetry: createTelemetry({}, () => {}),
      }),
    };
    return node;
  };
  for (let index = 0; index < nodeCount; index += 1) nodes.push(createNode(`node-${index}`));
  const connect = (): void => {
    for (const node of nodes) node.peers = nodes.filter((peer) => peer !== node);
  };
  connect();

  const fleet: Fleet = {
    nodes,
    ends: { deadly: 0, ordinary: 0 },
    counts: { whole: 0, broken: 0, refused: 0 },
    refusedSound: [],
    deadlyEndsAt: [],
    end: (index) => {
      const engine = engines[index];
      if (engine === undefined || !isUp(engine)) return;
      engine.endedAt = now();
      engine.upstream = { ...engine.upstream, startedAt: now() };
      for (const breakOff of [...engine.running]) breakOff();
      engine.running.clear();
    },
    serve: (node, index, parts) => {
      const engine = engines.find((candidate, at) => at >= index && isUp(candidate));
      if (engine === undefined) return;
      const req = { id: `${now()}-${parts.join()}`, promptParts: parts } as ServingRequest;
      if (node.protection.findBlocked(req) !== undefined) {
        fleet.counts.refused += 1;
        if (!parts.includes(DEADLY)) fleet.refusedSound.push(parts.join());
        return;
      }
      const finish = node.protection.beginRun(engine.upstream, req);
      let timer: NodeJS.Timeout | undefined;
      const breakOff = (): void => {
        clearTimeout(timer);
        finish('broken');
        fleet.counts.broken += 1;
      };
      timer = setTimeout(() => {
        engine.running.delete(breakOff);
        finish('answered');
        fleet.counts.whole += 1;
      }, STREAM_MS);
      engine.running.add(breakOff);
      if (!parts.includes(DEADLY)) return;
      setTimeout(() => {
        if (!engine.running.has(breakOff)) return;
        fleet.ends.deadly += 1;
        fleet.deadlyEndsAt.push(now());
        fleet.end(engines.indexOf(engine));
      }, CRASH_AFTER_MS);
    },
    restartNode: (index) => {
      nodes[index] = createNode(`node-${index}`);
      connect();
      for (const peer of nodes) nodes[index]?.protection.applyReport(peer.protection.report());
    },
  };
  return fleet;
}

interface Load {
  readonly seconds: number;
  /** Fraction of requests with the deadly part. */
  readonly deadlyShare: number;
  readonly onSecond?: (fleet: Fleet, second: number) => void;
}

/** Plays 10 requests a second over all nodes and engines. Sound ones share the guide and the caller's part. */
async function play(fleet: Fleet, { seconds, deadlyShare, onSecond }: Load): Promise<void> {
  for (let tick = 0; tick < seconds * 10; tick += 1) {
    if (tick % 10 === 0) onSecond?.(fleet, tick / 10);
    const node = fleet.nodes[(tick * 7) % fleet.nodes.length];
    const isDeadly = Math.floor((tick + 1) * deadlyShare) > Math.floor(tick * deadlyShare);
    const parts = isDeadly ? ['guide', DEADLY] : ['guide', `subject-${tick % 6}`];
    if (node !== undefined) fleet.serve(node, (tick * 5) % 8, parts);
    await vi.advanceTimersByTimeAsync(100);
  }
}

test.each([0.02, 0.05, 0.25])(
  'at a share of %d deadly requests end three engines, and sound ones are served',
  async (deadlyShare) => {
    const fleet = createFleet(6, 12);
    await play(fleet, { seconds: 60, deadlyShare });
    expect(fleet.ends.deadly).toBe(3);
    expect(fleet.refusedSound).toEqual([]);
  },
);

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
  protection.beginRun(ended, { id: 'last', promptParts: [DEADLY] } as unknown as ServingRequest)(
    'answered',
  );
  await vi.advanceTimersByTimeAsync(10);
  expect(protection.report()).toEqual([expect.objectContaining({ parts: [DEADLY] })]);
});

test('a message of a peer with invalid parts is not accepted', () => {
  const { nodes } = createFleet(1, 1);
  const { receive, report } = nodes[0]?.protection ?? expect.fail();
  for (const runs of [[{ parts: [7], ageMs: 1 }], [{ parts: ['x'.repeat(65)], ageMs: 1 }], [{}]]) {
    expect(receive({ end: { key: 'engine-1', runs } })).toBe(false);
  }
  expect(receive({ end: { key: 'engine-1', runs: [{ parts: ['x'], ageMs: -1 }] } })).toBe(false);
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

/** Returns the ends under deadly requests later than 3 s after the fifth; operators tolerate three. */
function countLateEnds({ deadlyEndsAt }: Fleet): number {
  return deadlyEndsAt.filter((at) => at > (deadlyEndsAt[4] ?? Infinity) + 3_000).length;
}

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
