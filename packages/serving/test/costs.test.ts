import { createRandom, dataCentreId, upstreamId } from '@hibiscusbank/core';
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { chooseUpstream } from '../src/allocation/allocation-order.js';
import type { AllocationCandidate } from '../src/allocation/index.js';
import { createUpstreamSpeeds } from '../src/costs/index.js';

const PLACES = 6;
/** The longest work ends in time on an upstream of usual speed that has a free place. */
const TARGET_MS = 600;
const SECONDS = 60;
const STEP_MS = 1;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

interface Load {
  readonly perSecond: number;
  /** Returns the speed of an upstream. */
  readonly speedAt: (upstream: number, second: number) => number;
  readonly upstreams: number;
  /** Whether the choice follows the learned speeds; otherwise only the requests in progress. */
  readonly learns: boolean;
}

/** Plays mixed work (1 to 50 times the least) on plain upstreams. Returns the shares of late answers. */
function playLoad({ perSecond, speedAt, upstreams, learns }: Load) {
  const random = createRandom(7);
  const speeds = createUpstreamSpeeds();
  const dataCentre = dataCentreId('a');
  const candidates = Array.from({ length: upstreams }, (_, index): AllocationCandidate => ({
    id: upstreamId(`u${index}`),
    dataCentre,
    capacity: { requests: PLACES, tokens: 0 },
    isQueueing: false,
    penalty: 0,
    reported: { requests: 0, tokens: 0 },
  }));
  const running: { readonly upstream: string; readonly endsAt: number; readonly ms: number }[] = [];
  const waiting: { readonly arrivedAt: number; readonly workMs: number }[] = [];
  const use = new Map<string, number>();
  let late = 0;
  let answered = 0;
  let totalMs = 0;
  for (let now = 0; now < SECONDS * 1_000; now += STEP_MS) {
    vi.advanceTimersByTime(STEP_MS);
    for (let index = running.length - 1; index >= 0; index -= 1) {
      const run = running[index];
      if (run === undefined || run.endsAt > now) continue;
      running.splice(index, 1);
      use.set(run.upstream, (use.get(run.upstream) ?? 0) - 1);
      speeds.record([run.upstream, 'route', 1, Math.log(run.ms)]);
    }
    if (random.next() < (perSecond * STEP_MS) / 1_000)
      waiting.push({ arrivedAt: now, workMs: 10 * 50 ** random.next() });
    for (let [next] = waiting; next !== undefined; [next] = waiting) {
      const chosen = chooseUpstream(
        candidates,
        ({ id }) => ({ requests: use.get(id) ?? 0, tokens: 0 }),
        ({ id }) => (learns ? speeds.speedOf(id) : 1),
        { tokens: 0, dataCentre: 'a', pastTarget: false },
      );
      if (chosen === undefined) break;
      waiting.shift();
      const index = candidates.indexOf(chosen);
      const ms = next.workMs / speedAt(index, now / 1_000);
      use.set(chosen.id, (use.get(chosen.id) ?? 0) + 1);
      running.push({ upstream: chosen.id, endsAt: now + ms, ms });
      answered += 1;
      const tookMs = now + ms - next.arrivedAt;
      totalMs += tookMs;
      if (tookMs > TARGET_MS) late += 1;
    }
  }
  return { lateShare: late / answered, meanMs: totalMs / answered };
}

const uneven = [0.6, 0.8, 1.2, 1.6];

// Load: mixed work on machines whose speeds differ by 2.7, at half of their capacity.
test('uneven upstreams answer sooner when their learned speeds count', () => {
  const load = {
    perSecond: 100,
    upstreams: 4,
    speedAt: (upstream: number) => uneven[upstream] ?? 1,
  };
  const before = playLoad({ ...load, learns: false });
  const after = playLoad({ ...load, learns: true });
  expect(after.meanMs).toBeLessThan(before.meanMs * 0.9);
  expect(after.lateShare).toBeLessThan(before.lateShare * 0.9);
});

// Load: one of four machines takes five times as long for a third of the time.
test('an upstream that turns slow and recovers is noticed within seconds', () => {
  const isSlow = (second: number): boolean => second >= 20 && second < 40;
  const load = {
    perSecond: 90,
    upstreams: 4,
    speedAt: (upstream: number, second: number) => (upstream === 0 && isSlow(second) ? 0.2 : 1),
  };
  const before = playLoad({ ...load, learns: false });
  const after = playLoad({ ...load, learns: true });
  expect(after.lateShare).toBeLessThan(before.lateShare * 0.9);
  const calm = { ...load, speedAt: () => 1 };
  expect(playLoad({ ...calm, learns: true }).lateShare).toBeLessThanOrEqual(
    playLoad({ ...calm, learns: false }).lateShare * 1.05 + 0.005,
  );
});

test('speeds are finite and bounded whatever is observed', () => {
  const observation = fc.tuple(
    fc.constantFrom('a', 'b', 'c'),
    fc.constantFrom('x', 'y'),
    fc.double({ min: -1, max: 1e6 }),
    fc.double(),
  );
  fc.assert(
    fc.property(fc.array(observation), (observations) => {
      const speeds = createUpstreamSpeeds();
      observations.forEach(speeds.record);
      for (const upstream of ['a', 'b', 'c', 'new']) {
        const speed = speeds.speedOf(upstream);
        expect(speed).toBeGreaterThanOrEqual(0.25);
        expect(speed).toBeLessThanOrEqual(4);
      }
    }),
    { seed: 3 },
  );
});

test('an upstream that takes longer for the same work is never rated faster', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 1, max: 1e4, noNaN: true }),
      fc.double({ min: 1, max: 100, noNaN: true }),
      (ms, factor) => {
        const speeds = createUpstreamSpeeds();
        for (let each = 0; each < 20; each += 1) {
          speeds.record(['fast', 'route', 1, Math.log(ms)]);
          speeds.record(['slow', 'route', 1, Math.log(ms * factor)]);
        }
        expect(speeds.speedOf('slow')).toBeLessThanOrEqual(speeds.speedOf('fast') + 1e-9);
      },
    ),
    { seed: 3 },
  );
});
