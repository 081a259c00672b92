import { createTelemetry, organisationId } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createOrganisationQuota } from '../src/organisation-quota.js';
import type { OrganisationQuota } from '../src/organisation-quota.js';
import { createQuotaGrants } from '../src/quota-grants.js';
import type { QuotaGrants } from '../src/quota-grants.js';
import {
  createFakeTransport,
  createTables,
  createTestStores,
  createUpstream,
  startTestNode,
  waitUntilReady,
} from './support/test-node.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const RATE = 30_000;
const WINDOW_MS = 8_000;
const EPOCH = 1_000_000;

const organisation = {
  id: organisationId('workshop'),
  keys: [],
  priority: undefined,
  ratePerSecond: RATE,
  burst: RATE,
  countsTokens: true,
  defaultTokens: 200,
};

const peerOf = (node: string) => ({ node, host: node, port: 1, dataCentre: 'a' });

interface Member {
  readonly name: string;
  readonly quota: OrganisationQuota;
  readonly grants: QuotaGrants;
}

/** Creates nodes that have run for some milliseconds; a message to another name is lost. */
function createFleet(
  ages: Readonly<Record<string, number>>,
  names: readonly string[],
): readonly Member[] {
  const members: Member[] = [];
  for (const [name, ageMs] of Object.entries(ages)) {
    const times = { startedAt: performance.now() - ageMs, epoch: EPOCH - ageMs };
    const quota = createOrganisationQuota({
      ...times,
      reachableShare: () => 1,
      tolerance: { windowMs: WINDOW_MS, ratio: 0.1, allowance: 0 },
      dataCentre: 'a',
      reportIntervalMs: () => 200,
      usesSummaries: () => false,
    });
    quota.setOrganisations([organisation]);
    const grants = createQuotaGrants({
      ...times,
      self: peerOf(name),
      quota,
      peers: () => names.filter((other) => other !== name).map(peerOf),
      isSilent: () => false,
      startOf: (node) => (ages[node] === undefined ? undefined : EPOCH - ages[node]),
      windowMs: WINDOW_MS,
      datagrams: {
        send: (message, recipients) => {
          for (const { host } of recipients) {
            const receiver = members.find((member) => member.name === host);
            setTimeout(() => receiver?.grants.receive(JSON.parse(JSON.stringify(message))), 1);
          }
          return true;
        },
      },
      telemetry: createTelemetry({}, () => {}),
    });
    members.push({ name, quota, grants });
  }
  return members;
}

const spentBy = ({ quota }: Member): number => quota.spent().workshop ?? 0;

// A restarted node has an empty bucket, so those that knew what was spent must go on deciding.
test('a restarted node is debited at one that has run for a window', async () => {
  const names = ['node-1', 'node-2', 'node-3'];
  const [restarted, ...others] = createFleet(
    { 'node-1': 500, 'node-2': 60_000, 'node-3': 60_000 },
    names,
  );
  const decision = restarted?.grants.debit(organisation, RATE, false);
  await vi.advanceTimersByTimeAsync(10);
  expect(await decision).toMatchObject({ isGranted: true });
  expect(others.map(spentBy).sort((a, b) => a - b)).toEqual([0, RATE]);
});

test('the nodes that grant next know of a grant before the granter reports it', async () => {
  const fleet = createFleet({ 'node-1': 500, 'node-2': 60_000, 'node-3': 60_000 }, [
    'node-1',
    'node-2',
    'node-3',
  ]);
  const [restarted] = fleet;
  void restarted?.grants.debit(organisation, RATE, false);
  await vi.advanceTimersByTimeAsync(10);
  const [granter, next] = fleet.slice(1).sort((a, b) => spentBy(b) - spentBy(a));
  expect(next?.quota.level(organisation)).toBeLessThan(0.1);
  // The report that covers the grant is not charged on top of it.
  next?.quota.applyReport({
    node: granter?.name ?? '',
    dataCentre: 'a',
    startedAt: EPOCH - 60_000,
    spent: {},
    spentNearby: {},
  });
  next?.quota.applyReport({
    node: granter?.name ?? '',
    dataCentre: 'a',
    startedAt: EPOCH - 60_000,
    spent: { workshop: RATE },
    spentNearby: {},
  });
  expect(next?.quota.level(organisation)).toBeGreaterThanOrEqual(0);
});

// Callers waited for nodes that had not started yet, or each node decided as if it were alone.
test('a node whose peers do not answer grants its own part of the rate, within a quarter of a second', async () => {
  const names = Array.from({ length: 10 }, (_, index) => `node-${index}`);
  const [alone] = createFleet({ 'node-0': 1_000 }, names);
  const large = alone?.grants.debit(organisation, RATE / 2, false);
  await vi.advanceTimersByTimeAsync(250);
  expect(await large).toMatchObject({ isGranted: false });
  expect((await large)?.retryAfterMs).toBeLessThanOrEqual(1_000);
  const small = alone?.grants.debit(organisation, 200, false);
  await vi.advanceTimersByTimeAsync(250);
  expect(await small).toMatchObject({ isGranted: true });
});

// An upstream worked on a request whose caller had left while another node was asked.
test('a request whose caller leaves while another node is asked is not sent', async () => {
  vi.useRealTimers();
  const tables = createTables();
  const organisations = tables.organisations.map((known) => ({
    ...known,
    ratePerSecond: 1e9,
    burst: 1e9,
  }));
  const stores = createTestStores({ ...tables, organisations });
  stores.upstreams.put('u1', createUpstream('u1'));
  const transport = createFakeTransport();
  // Nothing listens there.
  const seeds = Array.from({ length: 10 }, (_, index) => ({
    node: `seed-${index}`,
    host: '127.0.0.1',
    port: index + 1,
  }));
  const started = await startTestNode(stores, transport, 'node-1', seeds);
  await waitUntilReady(started);
  const headers = { authorization: 'Bearer key-1' };
  const call = fetch(`${started.url}/lookup/1`, { headers, signal: AbortSignal.timeout(60) });
  await expect(call).rejects.toThrow();
  await vi.waitFor(() => {
    expect(started.events.some((event) => event.includes('"kind":"cancelled"'))).toBe(true);
  }, 5_000);
  expect(transport.sends).toHaveLength(0);
  await started.node.drain();
});
