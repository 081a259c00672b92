import { createTelemetry } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { EntryStore } from '../src/index.js';
import { createPartQuarantine } from '../src/part-quarantine.js';
import type { PartQuarantine } from '../src/part-quarantine.js';
import type { QuarantinedParts } from '../src/quarantine-notices.js';
import { createStoredQuarantines } from '../src/stored-quarantines.js';
import type { StoredQuarantines } from '../src/stored-quarantines.js';
import { countLateEnds, createFleet, DEADLY } from './support/crash-fleet.js';
import type { Fleet } from './support/crash-fleet.js';
import { createFakeStore, createTestEra } from './support/fake-store.js';
import type { FakeStore } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const MINUTE_MS = 60_000;
const ENTRY = 'prompt-parts';

interface Process {
  readonly quarantine: PartQuarantine;
  readonly stored: StoredQuarantines;
  readonly end: () => void;
}

function startProcess(
  store: EntryStore,
  { self = 'node-1', peers = [] as string[], era = createTestEra() } = {},
): Process {
  const telemetry = createTelemetry({}, () => {});
  const stopping = new AbortController();
  const quarantine = createPartQuarantine({
    mayTry: () => true,
    answered: { isRecent: (part) => part === 'guide' },
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    onChange: () => stored.save(),
    telemetry,
  });
  const stored = createStoredQuarantines({
    self,
    store,
    era,
    quarantine,
    peers: () => peers,
    telemetry,
  });
  void stored.run(stopping.signal);
  return { quarantine, stored, end: () => stopping.abort() };
}

const quarantined = (...parts: string[]): QuarantinedParts => ({
  parts,
  ageMs: 0,
  lengthMs: MINUTE_MS,
  idleMs: 0,
  ends: ['a', 'b', 'c'],
});

async function listStored(store: FakeStore): Promise<string[]> {
  const { value } = (await store.read(ENTRY))._unsafeUnwrap();
  const { quarantines } = value as { quarantines: QuarantinedParts[] };
  return quarantines.map(({ parts }) => parts.join(' ')).sort();
}

const blocked = ({ quarantine }: Process, ...parts: string[]): boolean =>
  quarantine.findBlocked('probe', parts) !== undefined;

/** Sends a deadly request each second, and returns after the given number of ends and `delayMs`. */
async function playUntil(fleet: Fleet, ends: number, delayMs: number): Promise<void> {
  for (let second = 0; second < 20 && fleet.ends.deadly < ends; second += 1) {
    fleet.serve(fleet.nodes[second % 6] ?? expect.fail(), (second * 5) % 8, ['guide', DEADLY]);
    await vi.advanceTimersByTimeAsync(45);
    if (fleet.ends.deadly < ends) await vi.advanceTimersByTimeAsync(955);
  }
  await vi.advanceTimersByTimeAsync(delayMs);
}

const moments = [1, 2, 3, 4, 5, 6].flatMap((ends) => [0, 20, 100, 2_000].map((ms) => [ends, ms]));

// Guards against requests with a part that was refused, which reach engines again after a restart of all nodes.
test.each(moments)(
  'when all processes end %d ends and %d ms into the requests, few reach engines after the fifth end',
  async (ends = 0, delayMs = 0) => {
    const fleet = createFleet(6, 12);
    await playUntil(fleet, ends, delayMs);
    fleet.restartAll();
    await vi.advanceTimersByTimeAsync(1_000);
    await playUntil(fleet, Infinity, 0);
    expect(countLateEnds(fleet)).toBeLessThanOrEqual(3);
    // Ends that had not led to a quarantine are forgotten, so three more follow.
    expect(fleet.ends.deadly).toBeLessThanOrEqual(6);
  },
);

test('a part that was quarantined for a tenth of a second outlives all processes', async () => {
  const fleet = createFleet(6, 12);
  await playUntil(fleet, 3, 100);
  for (let round = 0; round < 2; round += 1) {
    fleet.restartAll();
    await vi.advanceTimersByTimeAsync(500);
    await playUntil(fleet, Infinity, 0);
  }
  expect(fleet.ends.deadly).toBe(3);
});

test('what the store could not take is written when it returns', async () => {
  const store = createFakeStore();
  const process = startProcess(store);
  await vi.advanceTimersByTimeAsync(10);
  store.setDown(true);
  process.quarantine.adopt(quarantined('guide', 'deadly'));
  await vi.advanceTimersByTimeAsync(20_000);
  store.setDown(false);
  await vi.advanceTimersByTimeAsync(300);
  process.end();
  const restarted = startProcess(store);
  await vi.advanceTimersByTimeAsync(10);
  expect(blocked(restarted, 'guide', 'deadly')).toBe(true);
});

test('a node waits for the store at its start, for three seconds at most, and reads it later all the same', async () => {
  const store = createFakeStore();
  store.put(ENTRY, { quarantines: [{ ...quarantined('deadly'), startedAt: Date.now() }] });
  store.setDown(true);
  const process = startProcess(store);
  await vi.advanceTimersByTimeAsync(2_900);
  expect(process.stored.isWaiting()).toBe(true);
  await vi.advanceTimersByTimeAsync(200);
  expect([process.stored.isWaiting(), process.stored.isKnown()]).toEqual([false, false]);
  store.setDown(false);
  await vi.advanceTimersByTimeAsync(300);
  expect([process.stored.isKnown(), blocked(process, 'deadly')]).toEqual([true, true]);
});

// Guards against waiting for a store that is away although a peer knows what it holds.
test('a node that hears from a peer does not wait for the store', () => {
  const { stored } = startProcess(createFakeStore());
  expect(stored.isWaiting()).toBe(true);
  stored.markKnown();
  expect(stored.isWaiting()).toBe(false);
});

test.each([-3_600_000, -5_000, 5_000, 3_600_000])(
  'after a clock was stepped by %d ms a part is still refused but to one trial, a minute later at most',
  async (stepMs) => {
    const store = createFakeStore();
    const process = startProcess(store);
    await vi.advanceTimersByTimeAsync(10);
    process.quarantine.adopt(quarantined('deadly'));
    await vi.advanceTimersByTimeAsync(1_000);
    process.end();
    vi.setSystemTime(Date.now() + stepMs);
    const restarted = startProcess(store);
    await vi.advanceTimersByTimeAsync(10);
    const { list, findBlocked } = restarted.quarantine;
    const [known] = list();
    expect(known?.lengthMs).toBe(MINUTE_MS);
    expect(known?.ageMs).toBeGreaterThanOrEqual(0);
    const countRefused = (requests: readonly string[]): number =>
      requests.filter((request) => findBlocked(request, ['deadly']) !== undefined).length;
    expect(countRefused(['one', 'two'])).toBe(stepMs < MINUTE_MS ? 2 : 1);
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(countRefused(['three', 'four'])).toBe(1);
  },
);

// Guards against a second write when only the answer to the first one was lost.
test('a write without an answer is looked up before it is repeated', async () => {
  const store = createFakeStore();
  let writes = 0;
  const process = startProcess({
    ...store,
    write: async (...args) => {
      writes += 1;
      await store.write(...args);
      return err('unavailable' as const);
    },
  });
  await vi.advanceTimersByTimeAsync(10);
  process.quarantine.adopt(quarantined('deadly'));
  await vi.advanceTimersByTimeAsync(5_000);
  expect([writes, await listStored(store)]).toEqual([1, ['deadly']]);
});

test('nodes that cannot reach each other keep what both have written', async () => {
  const store = createFakeStore();
  const first = startProcess(store, { self: 'first' });
  const second = startProcess(store, { self: 'second' });
  await vi.advanceTimersByTimeAsync(10);
  first.quarantine.adopt(quarantined('one'));
  second.quarantine.adopt(quarantined('two'));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await listStored(store)).toEqual(['one', 'two']);
});

test('a store that comes back from a copy gets again what it lost', async () => {
  const store = createFakeStore();
  const era = createTestEra();
  const process = startProcess(store.connect(era), { era });
  await vi.advanceTimersByTimeAsync(10);
  const copy = store.copy();
  process.quarantine.adopt(quarantined('deadly'));
  await vi.advanceTimersByTimeAsync(100);
  store.restore(copy);
  expect((await store.read(ENTRY)).isErr()).toBe(true);
  era.observe(2);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await listStored(store)).toEqual(['deadly']);
});

test('a quarantine that was lifted while a node was down stays lifted', async () => {
  const store = createFakeStore();
  const process = startProcess(store);
  await vi.advanceTimersByTimeAsync(10);
  process.quarantine.adopt(quarantined('deadly'));
  await vi.advanceTimersByTimeAsync(100);
  process.quarantine.clear(['deadly']);
  await vi.advanceTimersByTimeAsync(100);
  process.end();
  const restarted = startProcess(store);
  await vi.advanceTimersByTimeAsync(10);
  expect(blocked(restarted, 'deadly')).toBe(false);
});

// Guards against an old entry, as of a store that was away, that outlives the quarantine's length.
test('a quarantine that was lifted while the store was away is not taken from the old entry', async () => {
  const store = createFakeStore();
  const process = startProcess(store);
  await vi.advanceTimersByTimeAsync(10);
  process.quarantine.adopt(quarantined('deadly'));
  await vi.advanceTimersByTimeAsync(100);
  store.setDown(true);
  process.quarantine.clear(['deadly']);
  await vi.advanceTimersByTimeAsync(5 * MINUTE_MS);
  store.setDown(false);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(blocked(process, 'deadly')).toBe(false);
  expect(await listStored(store)).toEqual([]);
});

// Guards against a quarantine that only the nodes of another side of a partition knew.
test('a node that a peer has told of quarantines reads the entry as well', async () => {
  const store = createFakeStore();
  store.put(ENTRY, { quarantines: [{ ...quarantined('deadly'), startedAt: Date.now() }] });
  store.setDown(true);
  const process = startProcess(store);
  await vi.advanceTimersByTimeAsync(300);
  process.stored.markKnown();
  store.setDown(false);
  await vi.advanceTimersByTimeAsync(300);
  expect(blocked(process, 'deadly')).toBe(true);
});

// Guards against a first writer that is gone, and against calls of every node of a large fleet.
test('two other nodes write what the first did not, and further ones make no call', async () => {
  const names = ['a', 'b', 'c', 'd', 'e'];
  const calls = await Promise.all(
    names.map(async (self) => {
      const store = createFakeStore();
      const peers = names.filter((name) => name !== self);
      const process = startProcess(store, { self, peers });
      await vi.advanceTimersByTimeAsync(10);
      process.quarantine.adopt(quarantined('deadly'));
      await vi.advanceTimersByTimeAsync(2_000);
      return (await store.read(ENTRY)).isOk();
    }),
  );
  expect(calls.filter(Boolean)).toHaveLength(3);
});

// Guards against an entry that grows with the parts that callers choose.
test('the entry stays small, and holds what was needed last', async () => {
  const store = createFakeStore();
  const process = startProcess(store);
  await vi.advanceTimersByTimeAsync(10);
  for (let index = 0; index < 1_900; index += 1) {
    const ends = ['a', 'b', 'c'].map((key) => `${key}-${index}`.padEnd(200, '-'));
    process.quarantine.adopt({ ...quarantined(`part-${index}`), idleMs: 1_900 - index, ends });
  }
  await vi.advanceTimersByTimeAsync(500);
  const { value } = (await store.read(ENTRY))._unsafeUnwrap();
  expect(Buffer.byteLength(JSON.stringify(value))).toBeLessThan(510_000);
  expect(await listStored(store)).toContain('part-1899');
});

test('an entry of another writer is ignored where it cannot be read', async () => {
  const store = createFakeStore();
  const valid = { ...quarantined('deadly'), startedAt: 0 };
  const quarantines = [null, 7, {}, { ...valid, parts: [] }, { ...valid, ends: 'x' }, valid];
  store.put(ENTRY, { quarantines });
  const process = startProcess(store);
  await vi.advanceTimersByTimeAsync(10);
  expect(process.quarantine.list().map(({ parts }) => parts)).toEqual([['deadly']]);
});
