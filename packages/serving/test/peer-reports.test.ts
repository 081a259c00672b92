import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createHeardPeers } from '../src/heard-peers.js';
import { createPeerReports } from '../src/peer-reports.js';
import type { KnownPeer, PeerReport } from '../src/peer-reports.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const state = {
  isConnected: true,
  decode: {},
  prefill: {},
  spent: {},
  revisions: {},
  changing: {},
  prefillMs: {},
};

function createPeers(count: number, dataCentres: number): KnownPeer[] {
  return Array.from({ length: count }, (_, index) => ({
    node: `n${index}`,
    host: '10.0.0.1',
    port: index,
    dataCentre: `dc${index % dataCentres}`,
  }));
}

/** Reports of one node to each of its peers in a time. */
async function countReports(fleet: number, dataCentres: number, ms: number) {
  const [self, ...peers] = createPeers(fleet, dataCentres);
  const counts = new Map<string, number>();
  const silent: string[] = [];
  const reports = createPeerReports({
    self: self as KnownPeer,
    startedAt: 1,
    heard: createHeardPeers(),
    datagrams: {
      send: (_, recipients) => {
        for (const { port } of recipients) {
          const name = `n${port}`;
          counts.set(name, (counts.get(name) ?? 0) + 1);
        }
        return true;
      },
    },
    peers: () => peers,
    create: () => state,
    onReport: () => {},
    onTick: () => {},
    onSilent: (node) => silent.push(node),
    telemetry: createTelemetry({}, () => {}),
  });
  reports.start();
  await vi.advanceTimersByTimeAsync(ms);
  reports.stop();
  return { counts, peers };
}

test('in a small fleet every peer hears five times a second', async () => {
  const { counts, peers } = await countReports(6, 3, 10_000);
  for (const { node } of peers) expect(counts.get(node)).toBe(50);
});

// Reports to every peer at a fixed interval cost each node more with every node that joins.
test.each([69, 340])('with %i nodes a node sends a bounded number of reports', async (fleet) => {
  const { counts, peers } = await countReports(fleet, 3, 60_000);
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  expect(total / 60).toBeLessThanOrEqual(25);
  for (const { node } of peers) expect(counts.get(node) ?? 0).toBeGreaterThan(0);
});

test('a report that is older than the one known is dropped, one after a restart is not', () => {
  const heard = createHeardPeers();
  const report = (startedAt: number, sequence: number): PeerReport => ({
    node: 'n1',
    host: '10.0.0.1',
    port: 1,
    startedAt,
    sequence,
    ...state,
  });
  expect(heard.note(report(1, 5))).toBe(true);
  expect(heard.note(report(1, 4))).toBe(false);
  expect(heard.note(report(2, 1))).toBe(true);
  expect(heard.note(report(1, 9))).toBe(false);
});
