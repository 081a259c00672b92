import { createRandom, createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { KnownPeer } from '../src/peer-reports.js';
import { createRequestLimits } from '../src/request-limits.js';
import type { RequestLimits } from '../src/request-limits.js';
import { createUpstream } from './support/test-node.js';

const WINDOW_MS = 4_000;
const STEP_MS = 20;
const LATENCY_MS = 1;
const REPORT_MS = 200;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const upstream = createUpstream('u1');

interface Node {
  readonly self: KnownPeer;
  readonly limits: RequestLimits;
  /** Times of the requests that the node sent to the upstream. */
  readonly sends: number[];
}

/** Creates nodes that exchange messages in memory. `isCut` drops messages between two nodes. */
function createFleet(size: number, isCut: (from: string, to: string) => boolean = () => false) {
  const nodes: Node[] = [];
  const peers = Array.from({ length: size }, (_, index): KnownPeer => ({
    node: `node-${index}`,
    host: '127.0.0.1',
    port: index + 1,
    dataCentre: index % 3 === 0 ? 'a' : 'b',
  }));
  const reaches = (from: KnownPeer): readonly KnownPeer[] =>
    peers.filter(({ node }) => node !== from.node && !isCut(from.node, node));
  for (const self of peers) {
    const limits = createRequestLimits({
      self,
      datagrams: {
        send: (message, recipients) => {
          for (const { port } of recipients) {
            const to = nodes[port - 1];
            if (to === undefined || isCut(self.node, to.self.node)) continue;
            setTimeout(() => to.limits.receive(JSON.parse(JSON.stringify(message))), LATENCY_MS);
          }
          return true;
        },
      },
      peers: () => peers.filter(({ node }) => node !== self.node),
      isSilent: () => false,
      fleetSize: () => size,
      reachableShare: () => (reaches(self).length + 1) / size,
      telemetry: createTelemetry({ vm: self.node }, () => {}),
    });
    nodes.push({ self, limits, sends: [] });
  }
  return { nodes, reaches };
}

/** Plays requests at random nodes; each response states the limit. */
async function playLoad(
  { nodes, reaches }: ReturnType<typeof createFleet>,
  limit: number,
  seconds: number,
  demandPerSecond: number,
): Promise<number> {
  const random = createRandom(5);
  let asked = 0;
  const request = async (node: Node): Promise<void> => {
    if (!node.limits.mayAsk(upstream, 0)) return;
    const ask = { organisation: 'a', priority: 1, onTargetMs: 0, maxWaitMs: 0 };
    const { isGranted } = await node.limits.acquire(upstream, ask);
    if (!isGranted) return;
    node.sends.push(performance.now());
    const sentAt = performance.now();
    setTimeout(() => node.limits.record(upstream, limit, sentAt), 10);
  };
  for (let ms = 0; ms < seconds * 1_000; ms += STEP_MS) {
    for (const node of nodes) {
      if (random.next() < (demandPerSecond * STEP_MS) / 1_000 / nodes.length) {
        asked += 1;
        void request(node);
      }
    }
    if (ms % REPORT_MS === 0) {
      for (const node of nodes) {
        for (const { port } of reaches(node.self))
          nodes[port - 1]?.limits.applyReport(node.limits.report());
      }
    }
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
  return asked;
}

/** Returns the most requests in four seconds from the moment at which the rule binds. */
function mostInWindow(nodes: readonly Node[]): number {
  const times = nodes.flatMap(({ sends }) => sends).sort((a, b) => a - b);
  const from = (times[0] ?? 0) + 3_000;
  return Math.max(
    0,
    ...times
      .filter((time) => time >= from)
      .map((start) => times.filter((time) => time >= start && time < start + WINDOW_MS).length),
  );
}

test.each([
  [7, 1],
  [7, 1.6],
  [69, 1.6],
  [69, 15.5],
])('%s nodes together keep to a limit of %s per second under overload', async (size, limit) => {
  const fleet = createFleet(size);
  await playLoad(fleet, limit, 20, limit * 4);
  expect(mostInWindow(fleet.nodes)).toBeLessThanOrEqual(1.5 * 4 * limit + 5);
  const sent = fleet.nodes.flatMap(({ sends }) => sends).length;
  expect(sent).toBeGreaterThanOrEqual(limit * 20 * 0.9);
});

test('demand below the limit is served although it comes unevenly', async () => {
  const fleet = createFleet(7);
  const asked = await playLoad(fleet, 5, 20, 3);
  const sent = fleet.nodes.flatMap(({ sends }) => sends).length;
  expect(sent).toBeGreaterThan(asked * 0.95);
});

test('the limit holds while the nodes are cut into two groups', async () => {
  let isCutNow = false;
  const isCut = (from: string, to: string): boolean => {
    const isFirst = (name: string): boolean => Number(name.split('-')[1]) < 3;
    return isCutNow && isFirst(from) !== isFirst(to);
  };
  const fleet = createFleet(7, isCut);
  await playLoad(fleet, 3, 5, 12);
  isCutNow = true;
  await playLoad(fleet, 3, 10, 12);
  isCutNow = false;
  await playLoad(fleet, 3, 5, 12);
  expect(mostInWindow(fleet.nodes)).toBeLessThanOrEqual(1.5 * 4 * 3 + 5);
});

test.each([0, 1, 2, 3, 4, 5, 6])(
  'the limit holds and places are used while node %s does not answer',
  async (frozen) => {
    let isFrozen = false;
    const name = `node-${frozen}`;
    const fleet = createFleet(7, (from, to) => isFrozen && (from === name || to === name));
    await playLoad(fleet, 2, 6, 8);
    isFrozen = true;
    const others = fleet.nodes.filter(({ self }) => self.node !== name);
    const before = others.flatMap(({ sends }) => sends).length;
    await playLoad({ ...fleet, nodes: others }, 2, 8, 8);
    const during = others.flatMap(({ sends }) => sends).length - before;
    isFrozen = false;
    await playLoad(fleet, 2, 6, 8);
    expect(mostInWindow(others)).toBeLessThanOrEqual(1.5 * 4 * 2 + 5);
    expect(during).toBeGreaterThan(2 * 8 * 0.5);
  },
);

test('an upstream without a limit needs no permit', async () => {
  const [node] = createFleet(3).nodes;
  const ask = { organisation: 'a', priority: 1, onTargetMs: 0, maxWaitMs: 0 };
  expect(await node?.limits.acquire(upstream, ask)).toMatchObject({ isGranted: true, waitMs: 0 });
});
