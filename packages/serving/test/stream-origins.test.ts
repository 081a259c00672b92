import { createRandom } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { isOriginAsk, isOriginNotice } from '../src/stream-origins/origin-messages.js';
import { createOriginFleet } from './support/origin-fleet.js';
import type { OriginFleet } from './support/origin-fleet.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const settle = async (ms: number): Promise<void> => {
  await vi.advanceTimersByTimeAsync(ms);
};

async function resume(fleet: OriginFleet, index: number, attempt: string): Promise<unknown> {
  const found = fleet.resume(index, attempt);
  await settle(2_000);
  return found;
}

const known = (version: string, source: string): unknown =>
  expect.objectContaining({ kind: 'known', version, source });

async function createMixedFleet(nodeCount: number): Promise<OriginFleet> {
  const fleet = createOriginFleet(nodeCount, 1);
  await settle(2_000);
  fleet.versions = ['v1', 'v2'];
  fleet.tellVersions();
  await settle(2_000);
  return fleet;
}

test('a peer that was told of a stream keeps its version when its node ends alone', async () => {
  const fleet = await createMixedFleet(6);
  fleet.begin(0, 'a', 'v1');
  fleet.begin(0, 'b', 'v2');
  await settle(50);
  fleet.kill(0);
  expect(await resume(fleet, 4, 'a')).toEqual(known('v1', 'peer'));
  expect(await resume(fleet, 5, 'b')).toEqual(known('v2', 'peer'));
});

test('streams that began before a second version came are known after a restart of all nodes', async () => {
  const fleet = createOriginFleet(6, 1);
  await settle(2_000);
  fleet.begin(0, 'a', 'v1');
  fleet.versions = ['v2'];
  fleet.tellVersions();
  await settle(2_000);
  fleet.nodes.forEach((_, index) => fleet.kill(index));
  await settle(2_000);
  fleet.nodes.forEach((_, index) => fleet.start(index));
  fleet.tellVersions();
  expect(await resume(fleet, 3, 'a')).toEqual(known('v1', expect.any(String) as unknown as string));
});

// Guards against taking the version that is left for the one of all streams, when the old one has just gone.
test('a node without a history asks its peers which versions served lately', async () => {
  const fleet = await createMixedFleet(6);
  fleet.versions = ['v2'];
  fleet.tellVersions();
  await settle(2_000);
  fleet.kill(5);
  await fleet.store.write('other', {}, undefined);
  const entry = (await fleet.store.read('node-5'))._unsafeUnwrap();
  await fleet.store.remove('node-5', entry);
  fleet.start(5);
  fleet.tellVersions();
  await settle(1_000);
  expect(await resume(fleet, 5, 'never recorded')).toMatchObject({
    kind: 'unknown',
    versions: ['v2', 'v1'],
  });
});

test('a node that ended for good is known by what it stored', async () => {
  const fleet = await createMixedFleet(3);
  fleet.begin(0, 'a', 'v2');
  await settle(1_000);
  fleet.nodes.forEach((_, index) => fleet.kill(index));
  await fleet.store.remove('node-1', (await fleet.store.read('node-1'))._unsafeUnwrap());
  await fleet.store.remove('node-2', (await fleet.store.read('node-2'))._unsafeUnwrap());
  fleet.start(1);
  fleet.start(2);
  fleet.tellVersions();
  await settle(200);
  expect(await resume(fleet, 1, 'a')).toEqual(known('v2', 'store'));
});

test('a version is forgotten when it has been gone for longer than streams last', async () => {
  const fleet = await createMixedFleet(2);
  fleet.versions = ['v2'];
  fleet.tellVersions();
  await settle(20_000);
  expect(await resume(fleet, 0, 'never recorded')).toMatchObject({ kind: 'unknown' });
  await settle(20_000);
  expect(await resume(fleet, 0, 'never recorded')).toEqual(known('v2', 'only_version'));
});

// Guards against calls to the store and messages for streams while they cannot be doubtful.
test('while one version serves nothing is stored for streams', async () => {
  const fleet = createOriginFleet(2, 1);
  await settle(3_000);
  const before = (await fleet.store.list())._unsafeUnwrap().revision;
  for (let index = 0; index < 50; index += 1) fleet.begin(index % 2, `a-${index}`, 'v1');
  await settle(60_000);
  expect((await fleet.store.list())._unsafeUnwrap().revision).toBe(before);
});

test('a message of a peer with invalid streams is not accepted', () => {
  const origin = { key: 'a', pool: 'p', version: 'v1', ageMs: 1 };
  expect(isOriginNotice({ origins: [origin], versions: [], isHistoryKnown: true })).toBe(true);
  expect(isOriginNotice({ origins: [origin], versions: [] })).toBe(false);
  expect(
    isOriginNotice({ origins: [{ ...origin, ageMs: -1 }], versions: [], isHistoryKnown: true }),
  ).toBe(false);
  expect(
    isOriginNotice({ origins: [{ ...origin, key: 7 }], versions: [], isHistoryKnown: true }),
  ).toBe(false);
  expect(
    isOriginNotice({
      origins: [],
      versions: [{ pool: 'p', version: 1, ageMs: 0 }],
      isHistoryKnown: true,
    }),
  ).toBe(false);
  const from = { node: 'n', host: 'h', port: 1 };
  const ask = { from, keys: ['a'], needsVersions: false };
  expect(isOriginAsk({ originAsk: ask })).toBe(true);
  expect(isOriginAsk({ originAsk: { ...ask, from: { ...from, port: 0 } } })).toBe(false);
  expect(isOriginAsk({ originAsk: { ...ask, keys: 'a' } })).toBe(false);
});

interface Outcome {
  readonly attempt: string;
  readonly truth: string;
  readonly found: string | undefined;
}

/** Plays streams, versions that come and go, restarts, outages of the store and lost messages. */
async function playOrder(seed: number): Promise<readonly Outcome[]> {
  const { next: random } = createRandom(seed);
  const pick = (count: number): number => Math.floor(random() * count);
  const fleet = createOriginFleet(6, seed);
  fleet.lossShare = 0.05;
  const outcomes: Outcome[] = [];
  let version = 1;
  let attempts = 0;
  await settle(3_000);
  const resumeLater = (attempt: string, truth: string): void => {
    setTimeout(
      () => {
        const index = pick(6);
        const node = fleet.nodes[index];
        if (node?.isRunning !== true || node.versions.length === 0) return;
        void fleet.resume(index, attempt).then((origin) => {
          const found = origin.kind === 'known' ? origin.version : undefined;
          outcomes.push({ attempt, truth, found });
        });
      },
      100 + random() * 8_000,
    );
  };
  for (let step = 0; step < 300; step += 1) {
    await settle(200);
    const index = pick(6);
    const node = fleet.nodes[index];
    const truth = node?.versions[pick(node.versions.length)];
    if (node?.isRunning === true && truth !== undefined) {
      attempts += 1;
      fleet.begin(index, `attempt-${attempts}`, truth);
      resumeLater(`attempt-${attempts}`, truth);
    }
    if (random() < 0.03) {
      const isOut = fleet.versions.length > 1 && random() < 0.7;
      if (!isOut) version += 1;
      fleet.versions = isOut ? fleet.versions.slice(1) : [...fleet.versions, `v${version}`];
      fleet.tellVersions();
    }
    if (random() < 0.02) {
      const isAll = random() < 0.5;
      const killed = isAll ? [0, 1, 2, 3, 4, 5] : [pick(6), pick(6)];
      killed.forEach((each) => fleet.kill(each));
      setTimeout(
        () => {
          for (const each of new Set(killed))
            if (fleet.nodes[each]?.isRunning === false) fleet.start(each);
          fleet.tellVersions();
        },
        300 + random() * 2_500,
      );
    }
    if (random() < 0.01) {
      fleet.setStoreDown(true);
      setTimeout(() => fleet.setStoreDown(false), random() * 4_000);
    }
  }
  await settle(12_000);
  return outcomes;
}

// Guards against any order of restarts, versions, outages and lost messages that joins two versions.
test('no order of restarts, changes of versions, outages and lost messages joins two versions', async () => {
  let resumed = 0;
  let continued = 0;
  for (let seed = 1; seed <= 12; seed += 1) {
    const outcomes = await playOrder(seed);
    const joined = outcomes.filter(({ truth, found }) => found !== undefined && found !== truth);
    expect({ seed, joined }).toEqual({ seed, joined: [] });
    resumed += outcomes.length;
    continued += outcomes.filter(({ found }) => found !== undefined).length;
  }
  expect(continued).toBeGreaterThan(resumed / 2);
});
