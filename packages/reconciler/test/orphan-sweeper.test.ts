import { requestId, vmId } from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import type { Member } from '@hibiscusbank/peers';
import { beforeEach, expect, test, vi } from 'vitest';
import { createOrphanSweeper } from '../src/orphan-sweeper.js';
import type { AttemptRef } from '../src/types.js';
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
const answerNothingRunning = () => ({ running: [] });

beforeEach(() => {
  vi.useFakeTimers();
  return () => vi.useRealTimers();
});

function createHarness(members: Member[], answers: Map<VmId, PeerAnswer>) {
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
  const { engine } = createHarness([createMember('vm-1'), createMember('vm-2', 'dead')], new Map());
  await vi.advanceTimersByTimeAsync(10_000);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a hold whose release was lost is freed although no node died', async () => {
  const answers = new Map([[vmId('vm-2'), answerNothingRunning]]);
  const { engine } = createHarness([createMember('vm-1'), createMember('vm-2')], answers);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a node that wrongly considers itself the owner of a cell does not abort a running request', async () => {
  const refs: AttemptRef[] = [{ requestId: hold.requestId, attempt: 1 }];
  const answers = new Map([[vmId('vm-2'), () => ({ running: refs })]]);
  const { engine } = createHarness([createMember('vm-1'), createMember('vm-2')], answers);
  await vi.advanceTimersByTimeAsync(60_000);
  expect(engine.cancelled).toEqual([]);
});

test('holds are kept while a node does not answer, until it is declared dead', async () => {
  const members = [createMember('vm-1'), createMember('vm-2')];
  const { engine } = createHarness(members, new Map());
  await vi.advanceTimersByTimeAsync(20_000);
  expect(engine.cancelled).toEqual([]);
  members[1] = createMember('vm-2', 'dead');
  await vi.advanceTimersByTimeAsync(2_000);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a hold is kept while this node has a grant for it or runs its request', async () => {
  const { engine, state } = createHarness([createMember('vm-1')], new Map());
  state.granted = true;
  await vi.advanceTimersByTimeAsync(20_000);
  state.granted = false;
  state.runsHere = true;
  await vi.advanceTimersByTimeAsync(20_000);
  expect(engine.cancelled).toEqual([]);
});

test('a hold is kept if its stream is resumed within the grace period', async () => {
  const { engine, state, sweeper } = createHarness([createMember('vm-1')], new Map());
  sweeper.expedite();
  await vi.advanceTimersByTimeAsync(4_000);
  state.granted = true;
  await vi.advanceTimersByTimeAsync(4_000);
  state.granted = false;
  await vi.advanceTimersByTimeAsync(3_000);
  expect(engine.cancelled).toEqual([]);
});

test("a hold is freed within 10 s of its node's death if the cell is taken over after 3 s", async () => {
  const { engine, state } = createHarness([createMember('vm-1')], new Map());
  state.owned = false;
  await vi.advanceTimersByTimeAsync(3_000);
  state.owned = true;
  await vi.advanceTimersByTimeAsync(6_900);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('a leaving VM that refuses connections does not prevent holds from being freed', async () => {
  const answers = new Map<VmId, PeerAnswer>([[vmId('vm-2'), 'refused']]);
  const { engine } = createHarness(
    [createMember('vm-1'), createMember('vm-2', 'leaving')],
    answers,
  );
  await vi.advanceTimersByTimeAsync(10_000);
  expect(engine.cancelled).toEqual(['req_1']);
});

test('holds are kept while a live VM refuses connections', async () => {
  const answers = new Map<VmId, PeerAnswer>([[vmId('vm-2'), 'refused']]);
  const { engine } = createHarness([createMember('vm-1'), createMember('vm-2')], answers);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(engine.cancelled).toEqual([]);
});
