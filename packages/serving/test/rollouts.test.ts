import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { playRollout, sound } from './support/rollout-fleet.js';
import type { Behaviour, Fleet, FleetOptions, FleetResult } from './support/rollout-fleet.js';

const SEEDS = 20;
const DURATION_MS = 12_000;
const PER_SECOND = 150;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'] });
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

const advance = async (ms: number): Promise<void> => {
  await vi.advanceTimersByTimeAsync(ms);
};

const play = (change: Partial<FleetOptions>): Promise<FleetResult> =>
  playRollout(
    {
      seed: 1,
      durationMs: DURATION_MS,
      requestsPerSecond: PER_SECOND,
      current: sound,
      candidate: sound,
      ...change,
    },
    advance,
  );

/** Requests that the operator's bound permits a bad version. */
const bound = ({ requests }: FleetResult): number => 0.1 * requests + 50;

const failing =
  (share: number, when: (at: Parameters<Behaviour>[0]) => boolean = () => true): Behaviour =>
  (at) => ({ ...sound(at), isFailed: when(at) && at.random.next() < share });

const slow =
  (share: number, factor: number): Behaviour =>
  (at) => {
    const { ms } = sound(at);
    return { isFailed: false, ms: at.random.next() < share ? ms * factor : ms };
  };

const badVersions: readonly (readonly [string, Behaviour])[] = [
  ['fails in 30 of 100 answers', failing(0.3)],
  ['fails in all answers', failing(1)],
  ['fails from the fifth second on', failing(0.4, ({ ageMs }) => ageMs > 5_000)],
  ['fails on one route only', failing(0.5, ({ route }) => route === 'lookup')],
  ['fails under load only', failing(0.5, ({ load }) => load >= 1)],
  ['is four times slower in half of its answers', slow(0.5, 4)],
];

const machineFaults: readonly (readonly [string, Behaviour, Behaviour])[] = [
  ['no other fault', sound, sound],
  [
    'one faulty machine of the new version',
    sound,
    (at) => (at.server === 0 ? failing(0.45)(at) : sound(at)),
  ],
  [
    'one faulty machine of the version in service',
    (at) => (at.server === 0 ? failing(0.45)(at) : sound(at)),
    sound,
  ],
  [
    'one slow machine of the new version',
    sound,
    (at) => (at.server === 1 ? slow(1, 5)(at) : sound(at)),
  ],
  ['a route that fails by itself', failing(0.14), failing(0.14)],
];

test.each(badVersions)(
  'a version that %s is rolled back within the bound, with twenty seeds',
  async (_, candidate) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const result = await play({ seed, candidate });
      expect(result.state, `seed ${seed}`).toBe('rolled_back');
      expect(result.exposed, `seed ${seed}`).toBeLessThanOrEqual(bound(result));
      expect(result.late, `seed ${seed}`).toBe(0);
    }
  },
  120_000,
);

test.each(machineFaults)(
  'a sound version beside %s is completed before the deadline without a cut request',
  async (_, current, candidate) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const result = await play({ seed, current, candidate });
      expect(result.state, `seed ${seed}`).toBe('completed');
      expect(result.endedAtMs, `seed ${seed}`).toBeLessThanOrEqual(DURATION_MS);
      expect(result.cut, `seed ${seed}`).toBe(0);
    }
  },
  120_000,
);

test('a faulty machine in service does not hide a bad version', async () => {
  const current: Behaviour = (at) => (at.server === 0 ? failing(0.45)(at) : sound(at));
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const result = await play({ seed, current, candidate: failing(0.4) });
    expect(result.state, `seed ${seed}`).toBe('rolled_back');
  }
}, 120_000);

const killAt =
  (ms: number) =>
  (fleet: Fleet, ageMs: number): void => {
    if (ageMs < ms || ageMs >= ms + 100) return;
    for (const node of fleet.controllers()) fleet.kill(node);
  };

test.each([1_000, 5_000, 9_700, 10_800])(
  'the next node continues after the controller ends %i ms after the order',
  async (ms) => {
    const good = await play({ disturb: killAt(ms) });
    expect(good.state).toBe('completed');
    expect(good.endedAtMs).toBeLessThanOrEqual(DURATION_MS);
    const bad = await play({ disturb: killAt(ms), candidate: failing(0.4) });
    expect(bad.state).toBe('rolled_back');
    expect(bad.exposed).toBeLessThanOrEqual(bound(bad));
    expect(bad.late).toBe(0);
  },
);

test.each([1_000, 5_000])(
  'the next node continues although nobody notices the end of the controller at %i ms',
  async (ms) => {
    const options = { disturb: killAt(ms), isDeathUnnoticed: true };
    const good = await play(options);
    expect(good.state).toBe('completed');
    expect(good.endedAtMs).toBeLessThanOrEqual(DURATION_MS);
    const bad = await play({ ...options, candidate: failing(0.4, ({ ageMs }) => ageMs > ms) });
    expect(bad.state).toBe('rolled_back');
    expect(bad.exposed).toBeLessThanOrEqual(bound(bad));
    expect(bad.late).toBe(0);
  },
);

test('a bad version gets nothing more while the store is down, and its end is reported later', async () => {
  const result = await play({
    candidate: failing(0.4, ({ ageMs }) => ageMs > 3_000),
    disturb: (fleet, ageMs) => fleet.setStoreDown(ageMs > 2_000 && ageMs < 9_000),
  });
  expect(result.state).toBe('rolled_back');
  expect(result.exposed).toBeLessThanOrEqual(bound(result));
  expect(result.late).toBe(0);
});

test('nodes that are cut off send a new version nothing, whatever the others do', async () => {
  const result = await play({
    candidate: failing(0.4, ({ ageMs }) => ageMs > 4_000),
    disturb: (fleet, ageMs) => fleet.cutOff(ageMs > 3_500 && ageMs < 11_000 ? [0, 1] : []),
  });
  expect(result.state).toBe('rolled_back');
  expect(result.exposed).toBeLessThanOrEqual(bound(result));
  expect(result.late).toBe(0);
});

test('a sound version of a quiet pool is completed', async () => {
  const result = await play({ requestsPerSecond: 2 });
  expect(result.state).toBe('completed');
});
