import { keyDigest, organisationId, rankByRendezvous } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import * as replicas from './replicas.js';
import type { ReplicaFleet } from './replicas.js';

const { createReplicaFleet, limits, organisationKey, tenantKey, tenantKeyName, waitUntil } =
  replicas;

const MAX_PROPAGATION_MS = 18_000;
const MAX_WITHDRAWAL_MS = 5_000;

let setup: ReplicaFleet;

// Many simulated seconds take long on a busy machine; the assertions depend only on simulated time.
vi.setConfig({ testTimeout: 120_000 });

beforeEach(() => {
  vi.useFakeTimers();
  setup = createReplicaFleet();
});

afterEach(async () => {
  const nodes = [...setup.fleet.nodes.values()];
  const violations = nodes.flatMap((node) => node.telemetry.invariants.violations());
  await setup.stop();
  vi.useRealTimers();
  expect(violations).toEqual([]);
});

const advanceTimers = (ms: number) => vi.advanceTimersByTimeAsync(ms);
const rateOf = (replica: ConfigurationReplica) =>
  replica.organisation(organisationId('org'))?.ratePerS;
const allHaveRate = (rate: number | undefined) =>
  setup.running().every((replica) => rateOf(replica) === rate);
const writeRate = (rate: number) => setup.api.write(organisationKey('org'), limits('org', rate));
const allHaveKey = (expected: boolean) =>
  setup.running().every((r) => (r.findKey(keyDigest('k')) !== undefined) === expected);

test('a change reaches every node while only two VMs per data centre watch', async () => {
  await setup.startAll(['a', 'b'], 6);
  setup.api.calls.length = 0;
  writeRate(5);
  expect(await waitUntil(MAX_PROPAGATION_MS, () => allHaveRate(5))).toBe(true);
  await advanceTimers(20_000);
  const watching = new Set(setup.api.calls.filter((call) => call.startsWith('watch')));
  expect(watching.size).toBe(4);
});

test('writes to objects outside the configuration cause no calls between nodes', async () => {
  await setup.startAll(['a', 'b'], 4);
  writeRate(5);
  await advanceTimers(MAX_PROPAGATION_MS);
  setup.methods.length = 0;
  for (let i = 0; i < 50; i += 1) {
    setup.api.write(`leases/${i}`, {});
    await advanceTimers(500);
  }
  expect(setup.methods).toEqual([]);
});

test('changes are still applied after both watchers of the data centre have died', async () => {
  await setup.startAll(['a'], 6);
  const names = [...setup.replicas.keys()];
  const [first, second] = rankByRendezvous('watcher a', names);
  await setup.kill(first as string);
  await setup.kill(second as string);
  writeRate(6);
  expect(await waitUntil(MAX_PROPAGATION_MS, () => allHaveRate(6))).toBe(true);
});

test('watchers that cannot reach the platform are replaced by VMs that can', async () => {
  await setup.startAll(['a'], 6);
  const isolatedWatchers = rankByRendezvous('watcher a', [...setup.replicas.keys()]).slice(0, 2);
  setup.api.isUnreachableFrom = (vm) => isolatedWatchers.includes(vm);
  await advanceTimers(40_000);
  writeRate(7);
  expect(await waitUntil(MAX_PROPAGATION_MS, () => allHaveRate(7))).toBe(true);
});

test.each(['hanging', 'stalled'] as const)(
  'a change reaches every node despite a %s watch',
  async (mode) => {
    await setup.startAll(['a'], 4);
    setup.api.watchMode = mode;
    await advanceTimers(6_000);
    writeRate(8);
    expect(await waitUntil(MAX_PROPAGATION_MS, () => allHaveRate(8))).toBe(true);
  },
);

test('after the change history is lost, keys missing from the list are deleted on all nodes', async () => {
  writeRate(1);
  setup.api.write(tenantKeyName('k'), tenantKey('k'));
  await setup.startAll(['a', 'b'], 4);
  expect(allHaveKey(true)).toBe(true);
  setup.api.isUnreachableFrom = () => true;
  await advanceTimers(8_000);
  setup.api.remove(tenantKeyName('k'));
  setup.api.dropHistory();
  setup.api.isUnreachableFrom = () => false;
  expect(await waitUntil(MAX_PROPAGATION_MS, () => allHaveKey(false))).toBe(true);
  expect(allHaveRate(1)).toBe(true);
});

test('a data centre that cannot reach the platform gets changes from another one', async () => {
  await setup.startAll(['a', 'b'], 4);
  setup.api.isUnreachableFrom = (vm) => vm.startsWith('b');
  await advanceTimers(10_000);
  writeRate(10);
  expect(await waitUntil(MAX_PROPAGATION_MS, () => allHaveRate(10))).toBe(true);
});

test('a data centre that missed more changes than the log holds catches up by a snapshot', async () => {
  await setup.startAll(['a', 'b'], 3);
  setup.fleet.hub.setBlocked((from, to) => from.dataCentre !== to.dataCentre);
  setup.api.isUnreachableFrom = (vm) => vm.startsWith('b');
  await advanceTimers(8_000);
  for (let i = 0; i < 1_200; i += 1) setup.api.write(organisationKey(`o${i}`), limits(`o${i}`, i));
  writeRate(11);
  await advanceTimers(20_000);
  const [inB] = setup.running().slice(3);
  expect(inB && rateOf(inB)).toBeUndefined();
  setup.fleet.hub.setBlocked(() => false);
  expect(await waitUntil(MAX_PROPAGATION_MS, () => allHaveRate(11))).toBe(true);
  expect(setup.running().every((r) => r.organisations().length === 1_201)).toBe(true);
});

test('a node restarted during a platform outage loads the highest revision of its peers', async () => {
  writeRate(1);
  await setup.startAll(['a', 'b'], 3);
  const revision = writeRate(12);
  await advanceTimers(MAX_PROPAGATION_MS);
  setup.api.isUnreachableFrom = () => true;
  await setup.kill('a0');
  const restarted = await setup.start('a0');
  expect(await waitUntil(10_000, () => restarted.isReady())).toBe(true);
  expect(restarted.revision()).toBe(revision);
  expect(rateOf(restarted)).toBe(12);
});

test('a node that reaches neither platform nor peers is not ready until the platform recovers', async () => {
  writeRate(1);
  setup.api.isUnreachableFrom = () => true;
  const alone = await setup.start('a0');
  await advanceTimers(30_000);
  expect(alone.isReady()).toBe(false);
  setup.api.isUnreachableFrom = () => false;
  expect(await waitUntil(10_000, () => alone.isReady())).toBe(true);
});

test('two nodes that start without the platform and without ready peers stay unready', async () => {
  writeRate(1);
  setup.api.isUnreachableFrom = () => true;
  const started = await setup.startAll(['a'], 2);
  await advanceTimers(10_000);
  expect(started.map((replica) => replica.isReady())).toEqual([false, false]);
});

test('a key withdrawn during a platform outage is rejected on all nodes, also on those that start later', async () => {
  setup.api.write(tenantKeyName('k'), tenantKey('k'));
  const [first] = await setup.startAll(['a', 'b'], 4);
  setup.api.isUnreachableFrom = () => true;
  await advanceTimers(8_000);
  void first?.withdrawKey(keyDigest('k'));
  expect(await waitUntil(MAX_WITHDRAWAL_MS, () => allHaveKey(false))).toBe(true);
  const late = await setup.start('b9');
  expect(await waitUntil(10_000, () => late.isReady())).toBe(true);
  expect(late.findKey(keyDigest('k'))).toBeUndefined();
});

test('a withdrawal survives the recovery of the platform and is written to it', async () => {
  setup.api.write(tenantKeyName('k'), tenantKey('k'));
  const [first] = await setup.startAll(['a', 'b'], 3);
  setup.api.isUnreachableFrom = () => true;
  await advanceTimers(8_000);
  void first?.withdrawKey(keyDigest('k'));
  await advanceTimers(2_000);
  await setup.kill('a0');
  setup.api.write(tenantKeyName('k'), { ...tenantKey('k'), hint: 'edited' });
  setup.api.losesPutResponses = true;
  setup.api.isUnreachableFrom = () => false;
  for (let i = 0; i < 100; i += 1) {
    await advanceTimers(100);
    expect(allHaveKey(false)).toBe(true);
  }
  expect(setup.api.objects.get(tenantKeyName('k'))?.value).toMatchObject({
    withdrawn: true,
    hint: 'edited',
  });
});

test('a withdrawal during a partition reaches the other data centre when the partition heals', async () => {
  setup.api.write(tenantKeyName('k'), tenantKey('k'));
  const [first] = await setup.startAll(['a', 'b'], 3);
  setup.api.isUnreachableFrom = () => true;
  setup.fleet.hub.setBlocked((from, to) => from.dataCentre !== to.dataCentre);
  void first?.withdrawKey(keyDigest('k'));
  await advanceTimers(60_000);
  setup.fleet.hub.setBlocked(() => false);
  expect(await waitUntil(MAX_WITHDRAWAL_MS, () => allHaveKey(false))).toBe(true);
});

test('keys in an isolated data centre stay confirmed only for the configured time', async () => {
  await setup.stop();
  setup = createReplicaFleet(1, 60_000);
  await setup.startAll(['a', 'b'], 3);
  const areConfirmed = (dc: string) =>
    [...setup.replicas].filter(([vm]) => vm.startsWith(dc)).map(([, r]) => r.areKeysConfirmed());
  setup.api.isUnreachableFrom = (vm) => vm.startsWith('b');
  await advanceTimers(120_000);
  expect(areConfirmed('b')).toEqual([true, true, true]);
  setup.fleet.hub.setBlocked((from, to) => from.dataCentre !== to.dataCentre);
  await advanceTimers(50_000);
  expect(areConfirmed('b')).toEqual([true, true, true]);
  await advanceTimers(60_000);
  expect(areConfirmed('b')).toEqual([false, false, false]);
  expect(areConfirmed('a')).toEqual([true, true, true]);
});

test('changes of a lost push are pulled after the next probes', async () => {
  await setup.startAll(['a'], 5);
  const [first, second] = rankByRendezvous('watcher a', [...setup.replicas.keys()]);
  const isWatcher = (vm: string) => vm === first || vm === second;
  setup.fleet.hub.setBlocked((from, to) => isWatcher(from.vm) && !isWatcher(to.vm));
  writeRate(13);
  await advanceTimers(1_000);
  setup.fleet.hub.setBlocked(() => false);
  expect(await waitUntil(MAX_PROPAGATION_MS, () => allHaveRate(13))).toBe(true);
});
