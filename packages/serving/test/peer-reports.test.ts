import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { silenceLimitMs } from '../src/data-centre-contact.js';
import { createLivePeers } from '../src/live-peers.js';
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
  spentNearby: {},
  revisions: {},
  changing: {},
  prefillMs: {},
  quarantined: [],
  knowsQuarantines: true,
  limits: [],
  leaving: [],
};

function createPeers(count: number, dataCentres: number): KnownPeer[] {
  return Array.from({ length: count }, (_, index) => ({
    node: `n${index}`,
    host: '10.0.0.1',
    port: index,
    dataCentre: `dc${index % dataCentres}`,
  }));
}

/** Counts the reports that one node sends to each of its peers in `ms`. */
async function countReports(fleet: number, dataCentres: number, ms: number) {
  const [self, ...peers] = createPeers(fleet, dataCentres);
  const counts = new Map<string, number>();
  const reports = createPeerReports({
    self: self as KnownPeer,
    startedAt: 1,
    livePeers: createLivePeers(),
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
    readLocalState: () => state,
    onReport: () => {},
    beforeRound: () => {},
    onTimeout: () => {},
    telemetry: createTelemetry({}, () => {}),
  });
  reports.start();
  await vi.advanceTimersByTimeAsync(ms);
  reports.stop();
  return { counts, peers };
}

test('in a small fleet every peer gets five reports per second', async () => {
  const { counts, peers } = await countReports(6, 3, 10_000);
  for (const { node } of peers) expect(counts.get(node)).toBe(50);
});

// Guards against load that grows with the fleet: with reports to every peer at a fixed interval,
// each joining node would add work for all others.
test.each([69, 340])(
  'in a fleet of %i nodes a node sends a bounded number of reports',
  async (fleet) => {
    const { counts, peers } = await countReports(fleet, 3, 60_000);
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    expect(total / 60).toBeLessThanOrEqual(25);
    for (const { node } of peers) expect(counts.get(node) ?? 0).toBeGreaterThan(0);
  },
);

// Nodes that started together reported to each remote peer all at once and then not for seconds, so that
// their data centre seemed cut off in between.
test.each([
  [81, 3],
  [195, 5],
])('in a fleet of %i nodes a data centre is never silent for long', async (fleet, dataCentres) => {
  const all = createPeers(fleet, dataCentres);
  const [receiver] = all as [KnownPeer];
  const senders = all.filter(({ dataCentre }) => dataCentre === 'dc1');
  const heardAt: number[] = [];
  const running = senders.map((self) => {
    const reports = createPeerReports({
      self,
      startedAt: 1,
      livePeers: createLivePeers(),
      datagrams: {
        send: (_, recipients) => {
          if (recipients.some(({ port }) => port === receiver.port)) heardAt.push(Date.now());
          return true;
        },
      },
      peers: () => all.filter(({ node }) => node !== self.node),
      readLocalState: () => state,
      onReport: () => {},
      beforeRound: () => {},
      onTimeout: () => {},
      telemetry: createTelemetry({}, () => {}),
    });
    reports.start();
    return reports;
  });
  await vi.advanceTimersByTimeAsync(60_000);
  for (const reports of running) reports.stop();
  const gaps = heardAt.slice(1).map((time, index) => time - (heardAt[index] as number));
  expect(heardAt.length).toBeGreaterThan(60);
  expect(Math.max(...gaps)).toBeLessThan(silenceLimitMs(senders.length, fleet) / 2);
});

test('a peer that stops reporting times out once, and not before', async () => {
  const [self, peer] = createPeers(2, 1) as [KnownPeer, KnownPeer];
  const timedOut: string[] = [];
  const reports = createPeerReports({
    self,
    startedAt: 1,
    livePeers: createLivePeers(),
    datagrams: { send: () => true },
    peers: () => [peer],
    readLocalState: () => state,
    onReport: () => {},
    beforeRound: () => {},
    onTimeout: (node) => timedOut.push(node),
    telemetry: createTelemetry({}, () => {}),
  });
  reports.start();
  expect(reports.receive({ ...peer, startedAt: 1, sequence: 1, ...state })).toBe(true);
  await vi.advanceTimersByTimeAsync(1_100);
  expect(timedOut).toEqual([]);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(timedOut).toEqual([peer.node]);
  reports.stop();
});

test('a report older than the last one is dropped unless the node restarted', () => {
  const livePeers = createLivePeers();
  const report = (startedAt: number, sequence: number): PeerReport => ({
    node: 'n1',
    host: '10.0.0.1',
    port: 1,
    startedAt,
    sequence,
    ...state,
  });
  expect(livePeers.record(report(1, 5))).toBe(true);
  expect(livePeers.record(report(1, 4))).toBe(false);
  expect(livePeers.record(report(2, 1))).toBe(true);
  expect(livePeers.record(report(1, 9))).toBe(false);
});
