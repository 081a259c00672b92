import { requestId, vmId } from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import type { Member } from '@hibiscusbank/peers';
import { beforeEach, expect, test, vi } from 'vitest';
import { createOrphanSweeper } from '../src/orphan-sweeper.js';
import type { HoldRef } from '../src/types.js';
import {
  createCell,
  createEngineEntry,
  createFakeEngine,
  createFakeMembership,
  createFakeNetwork,
  createFakePort,
  createMember,
  telemetry,
} from './support.js';
import type { PeerAnswer } from './support.js';

const hold = {
  requestId: requestId('req_1'),
  attempt: 1,
  kind: 'slot',
  blocks: 2,
  ageMs: 0,
} as const;
const nothingRuns = () => ({ running: [] });

beforeEach(() => {
  vi.useFakeTimers();
  return () => vi.useRealTimers();
});

function arrange(members: Member[], answers: Map<VmId, PeerAnswer>) {
  const engine = createFakeEngine();
  engine.holds = [hold];
  const state = { granted: false, runsHere: false, owned: true };
  const sweeper = createOrphanSweeper({
    engines: createFakePort({ d1: engine }),
    membership: createFakeMembership(members),
    network: createFakeNetwork(answers),
    telemetry,
    listCells: () => (state.owned ? [createCell([createEngineEntry('d1', 'decode')])] : []),
    isGranted: () => state.granted,
    isRunningHere: () => state.runsHere,
  });
  sweeper.start();
  return { engine, state, sweeper };
}

test('a hold whose node died is freed within 10 s', async () => {
  const { engine } = arrange([createMember('vm-1'), createMember('vm-2', 'dead')], new Map());
  await vi.advanceTimersByTimeAsync(10_000);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a hold that came with a lost release is freed although no node died', async () => {
  const answers = new Map([[vmId('vm-2'), nothingRuns]]);
  const { engine } = arrange([createMember('vm-1'), createMember('vm-2')], answers);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a node that wrongly believes to own the cell does not cut a running request', async () => {
  const refs: HoldRef[] = [{ requestId: hold.requestId, attempt: 1 }];
  const answers = new Map([[vmId('vm-2'), () => ({ running: refs })]]);
  const { engine } = arrange([createMember('vm-1'), createMember('vm-2')], answers);
  await vi.advanceTimersByTimeAsync(60_000);
  expect(engine.cancelled).toEqual([]);
});

test('a node that does not answer keeps its holds until it is known to be dead', async () => {
  const members = [createMember('vm-1'), createMember('vm-2')];
  const { engine } = arrange(members, new Map());
  await vi.advanceTimersByTimeAsync(20_000);
  expect(engine.cancelled).toEqual([]);
  members[1] = createMember('vm-2', 'dead');
  await vi.advanceTimersByTimeAsync(2_000);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a hold with a grant or a caller on this node is kept', async () => {
  const { engine, state } = arrange([createMember('vm-1')], new Map());
  state.granted = true;
  await vi.advanceTimersByTimeAsync(20_000);
  state.granted = false;
  state.runsHere = true;
  await vi.advanceTimersByTimeAsync(20_000);
  expect(engine.cancelled).toEqual([]);
});

test('a stream that is resumed within the grace time keeps its hold', async () => {
  const { engine, state, sweeper } = arrange([createMember('vm-1')], new Map());
  sweeper.alert();
  await vi.advanceTimersByTimeAsync(4_000);
  state.granted = true;
  await vi.advanceTimersByTimeAsync(4_000);
  state.granted = false;
  await vi.advanceTimersByTimeAsync(3_000);
  expect(engine.cancelled).toEqual([]);
});

test('a hold in a cell taken over 3 s after its node died is freed within 10 s', async () => {
  const { engine, state } = arrange([createMember('vm-1')], new Map());
  state.owned = false;
  await vi.advanceTimersByTimeAsync(3_000);
  state.owned = true;
  await vi.advanceTimersByTimeAsync(6_900);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a VM that left and stopped does not keep the holds of others', async () => {
  const answers = new Map<VmId, PeerAnswer>([[vmId('vm-2'), 'refused']]);
  const { engine } = arrange([createMember('vm-1'), createMember('vm-2', 'leaving')], answers);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a live VM that refuses a connection keeps its holds', async () => {
  const answers = new Map<VmId, PeerAnswer>([[vmId('vm-2'), 'refused']]);
  const { engine } = arrange([createMember('vm-1'), createMember('vm-2')], answers);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(engine.cancelled).toEqual([]);
});
