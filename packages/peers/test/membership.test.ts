import { dataCentreId, vmId } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createTestFleet, startFleet, waitUntil } from './fleet.js';
import type { TestFleet, TestNode } from './fleet.js';

let fleet: TestFleet;

// Simulating long periods is slow on a busy machine. Assertions depend on simulated time only.
vi.setConfig({ testTimeout: 120_000 });

beforeEach(() => {
  vi.useFakeTimers();
  fleet = createTestFleet();
});

afterEach(async () => {
  const nodes = [...fleet.nodes.values()];
  const violations = nodes.flatMap((node) => node.telemetry.invariants.violations());
  await fleet.stop();
  vi.useRealTimers();
  expect(violations).toEqual([]);
});

const wait = (ms: number) => vi.advanceTimersByTimeAsync(ms);

const liveIn = (node: TestNode | undefined, dataCentre = 'a') =>
  node?.membership.listLive(dataCentreId(dataCentre));

const stateOf = (node: TestNode | undefined, name: string) =>
  node?.membership.find(vmId(name))?.state;

test('a killed VM is declared dead by all others although the VM list still contains it', async () => {
  const nodes = await startFleet(fleet, ['a'], 8);
  const [killed, ...others] = nodes as [TestNode, ...TestNode[]];
  await fleet.kill(killed);
  const allMarkDead = () => others.every((node) => stateOf(node, 'a0') === 'dead');
  expect(await waitUntil(20_000, allMarkDead)).toBe(true);
  expect(liveIn(others[0])).toHaveLength(7);
});

test('a VM missing from an outdated VM list is accepted as soon as it probes', async () => {
  await startFleet(fleet, ['a'], 4);
  const late = await fleet.start('late', 'a', false);
  const allAccept = () =>
    [...fleet.nodes.values()].every((node) => liveIn(node)?.includes(vmId('late')));
  expect(await waitUntil(10_000, allAccept)).toBe(true);
  expect(liveIn(late)).toHaveLength(5);
});

test('a VM started while the VM list is unavailable joins once the list is available', async () => {
  await startFleet(fleet, ['a'], 6);
  fleet.vmList.isDown = true;
  const late = await fleet.start('late', 'a', false);
  await wait(10_000);
  fleet.vmList.isDown = false;
  expect(await waitUntil(6_000, () => liveIn(late)?.length === 7)).toBe(true);
});

test('a VM that listens on all addresses is reached at its address in the VM list', async () => {
  const nodes = await startFleet(fleet, ['a'], 3);
  await fleet.start('any', 'a', true, '0.0.0.0:1');
  await wait(10_000);
  expect(nodes.map((node) => node.membership.findAddress(vmId('any')))).toEqual(
    nodes.map(() => 'any:1'),
  );
});

test('a listed VM that never answers is not live', async () => {
  const peerAddress = 'ghost:1';
  const [node] = await startFleet(fleet, ['a'], 3);
  const dataCentre = dataCentreId('a');
  fleet.vmList.vms.push({ id: vmId('ghost'), dataCentre, peerAddress, state: 'live' });
  await wait(40_000);
  expect(stateOf(node, 'ghost')).toBe('dead');
  expect(node?.membership.findAddress(vmId('ghost'))).toBe(peerAddress);
});

test('a process paused beyond the suspicion timeout is declared dead and refutes that on resuming', async () => {
  const nodes = await startFleet(fleet, ['a'], 6);
  const observer = nodes[1];
  fleet.hub.freeze(vmId('a0'));
  expect(await waitUntil(30_000, () => stateOf(observer, 'a0') === 'dead')).toBe(true);
  fleet.hub.thaw(vmId('a0'));
  const allLive = () => nodes.every((node) => liveIn(node)?.length === 6);
  expect(await waitUntil(20_000, allLive)).toBe(true);
});

test('a paused process does not declare its peers dead', async () => {
  const nodes = await startFleet(fleet, ['a'], 4);
  const states: string[] = [];
  nodes[0]?.membership.onChange((member) => states.push(member.state));
  const { clock } = setTimeout as unknown as { clock: { jump(ms: number): void } };
  clock.jump(10_000);
  await wait(10_000);
  expect(states).not.toContain('dead');
  expect(liveIn(nodes[0])).toHaveLength(4);
});

test('loss in one direction between two VMs does not get either declared dead', async () => {
  const nodes = await startFleet(fleet, ['a'], 5);
  const states: string[] = [];
  for (const node of nodes) node.membership.onChange((member) => states.push(member.state));
  fleet.hub.setBlocked((from, to) => from.vm === vmId('a0') && to.vm === vmId('a1'));
  await wait(60_000);
  expect(states).not.toContain('dead');
});

test('a restarted process is accepted immediately under a higher incarnation', async () => {
  const nodes = await startFleet(fleet, ['a'], 5);
  const before = nodes[1]?.membership.find(vmId('a0'))?.incarnation ?? 0;
  await fleet.kill(nodes[0] as TestNode);
  const restarted = await fleet.start('a0');
  expect(liveIn(restarted)).toHaveLength(5);
  const isRestartSeen = () => (nodes[1]?.membership.find(vmId('a0'))?.incarnation ?? 0) > before;
  expect(await waitUntil(5_000, isRestartSeen)).toBe(true);
  expect(stateOf(nodes[1], 'a0')).toBe('live');
});

test('a restarted process whose wall clock was set back is accepted', async () => {
  const nodes = await startFleet(fleet, ['a'], 5);
  await fleet.kill(nodes[0] as TestNode);
  await wait(15_000);
  vi.setSystemTime(Date.now() - 3_600_000);
  await fleet.start('a0');
  const accepted = () => nodes.slice(1).every((node) => stateOf(node, 'a0') === 'live');
  expect(await waitUntil(10_000, accepted)).toBe(true);
});

test('a leaving VM may own no work and does not become live again when it stops', async () => {
  const nodes = await startFleet(fleet, ['a'], 5);
  const states: string[] = [];
  void nodes[0]?.membership.leave();
  expect(await waitUntil(8_000, () => nodes.every((n) => liveIn(n)?.length === 4))).toBe(true);
  nodes[1]?.membership.onChange((member) => states.push(member.state));
  await fleet.kill(nodes[0] as TestNode);
  expect(await waitUntil(20_000, () => stateOf(nodes[1], 'a0') === 'dead')).toBe(true);
  expect(states).toEqual(['dead']);
});

test('leave resolves only after a peer knows that the VM leaves', async () => {
  const nodes = await startFleet(fleet, ['a'], 2);
  let stateOnPeer: string | undefined;
  void nodes[0]?.membership.leave().then(() => {
    stateOnPeer = stateOf(nodes[1], 'a0');
  });
  await wait(1_000);
  expect(stateOnPeer).toBe('leaving');
});

test('VMs other than gateways learn about members of other data centres and their deaths', async () => {
  const nodes = await startFleet(fleet, ['a', 'b', 'c'], 4);
  const knowsAll = () =>
    nodes.every((n) => ['a', 'b', 'c'].every((dc) => liveIn(n, dc)?.length === 4));
  expect(await waitUntil(30_000, knowsAll)).toBe(true);
  await fleet.kill(nodes[11] as TestNode);
  const allMarkDead = () => nodes.slice(0, 11).every((node) => stateOf(node, 'c3') === 'dead');
  expect(await waitUntil(40_000, allMarkDead)).toBe(true);
});

test('a data centre is unreachable during a partition and reachable after it heals', async () => {
  const nodes = await startFleet(fleet, ['a', 'b'], 4);
  const reachable = (dc: string) => (node: TestNode) =>
    node.membership.isReachable(dataCentreId(dc));
  const nodesInA = nodes.slice(0, 4);
  expect(nodesInA.every(reachable('b'))).toBe(true);
  fleet.hub.setBlocked((from, to) => from.dataCentre !== to.dataCentre);
  expect(await waitUntil(25_000, () => !nodesInA.some(reachable('b')))).toBe(true);
  expect(liveIn(nodesInA[0])).toHaveLength(4);
  await fleet.kill(nodes[7] as TestNode);
  await wait(30_000);
  fleet.hub.setBlocked(() => false);
  expect(await waitUntil(15_000, () => nodesInA.every(reachable('b')))).toBe(true);
  expect(await waitUntil(40_000, () => stateOf(nodesInA[0], 'b3') === 'dead')).toBe(true);
});

test('halves of a data centre that declared each other dead become live again after a partition', async () => {
  const nodes = await startFleet(fleet, ['a'], 6);
  const isInFirstHalf = (vm: string) => vm < 'a3';
  fleet.hub.setBlocked((from, to) => isInFirstHalf(from.vm) !== isInFirstHalf(to.vm));
  expect(await waitUntil(40_000, () => nodes.every((n) => liveIn(n)?.length === 3))).toBe(true);
  fleet.hub.setBlocked(() => false);
  expect(await waitUntil(30_000, () => nodes.every((n) => liveIn(n)?.length === 6))).toBe(true);
});

test('while the VM list is unavailable, failures are detected and the last list is kept', async () => {
  const nodes = await startFleet(fleet, ['a'], 4);
  fleet.vmList.isDown = true;
  await fleet.kill(nodes[0] as TestNode);
  expect(await waitUntil(20_000, () => stateOf(nodes[1], 'a0') === 'dead')).toBe(true);
  expect(nodes[1]?.membership.listedVms()).toHaveLength(4);
});

test('payloads are sent only to peers in their scope', async () => {
  const nodes = await startFleet(fleet, ['a', 'b'], 2);
  const received: string[] = [];
  for (const node of nodes) {
    node.membership.addPayload({
      name: 'x',
      scope: 'local',
      read: () => 1,
      receive: (_, from) => received.push(`${from.dataCentre}>${node.self.dataCentre}`),
    });
  }
  await wait(10_000);
  expect(new Set(received)).toEqual(new Set(['a>a', 'b>b']));
});

test('a node sends less than 4 KB/s in a data centre of 40 VMs', async () => {
  const readBytes = async (node: TestNode): Promise<number> => {
    const { values } = await node.telemetry.metrics.peerBytes.get();
    return values.reduce((sum, { value }) => sum + value, 0);
  };
  const nodes = await startFleet(fleet, ['a'], 40);
  await wait(60_000);
  const before = await Promise.all(nodes.map(readBytes));
  await wait(60_000);
  const after = await Promise.all(nodes.map(readBytes));
  const perSecond = after.map((bytes, i) => (bytes - (before[i] ?? 0)) / 60);
  expect(Math.max(...perSecond)).toBeLessThan(4_000);
});
