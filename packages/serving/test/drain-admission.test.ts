import { expect, test } from 'vitest';
import { computeDrainRetryMs, computeNeededShare, mayTakeUnknown } from '../src/drain-admission.js';
import type { DrainView } from '../src/drain-admission.js';

const ready = { isReady: true };
const draining = { isReady: false, returnsInMs: 4_000 };

function createView(change: Partial<DrainView>): DrainView {
  const peers = change.peers ?? change.neighbours ?? [];
  return { elapsedMs: 500, leftMs: 7_000, neighbours: [], ...change, peers };
}

// A node that refuses too much costs callers their only retry.
test('a node whose neighbours also drain takes what may end in time', () => {
  expect(computeNeededShare(createView({ neighbours: [draining] }))).toBe(0.5);
  expect(computeNeededShare(createView({ neighbours: [draining, ready] }))).toBeLessThan(0.8);
  expect(mayTakeUnknown(createView({ neighbours: [draining] }))).toBe(true);
});

test('a node whose neighbours are ready takes only what probably ends in time', () => {
  expect(computeNeededShare(createView({ neighbours: [ready] }))).toBeGreaterThanOrEqual(0.9);
  expect(mayTakeUnknown(createView({ neighbours: [ready] }))).toBe(false);
});

// Requests that were taken late in the grace period were cut off, also where others drained.
test.each([
  ['ready', ready],
  ['draining', draining],
])(
  'after its removal from the load balancer a node takes only what surely ends in time (%s neighbour)',
  (_, neighbour) => {
    const view = createView({ elapsedMs: 3_000, neighbours: [neighbour] });
    expect(computeNeededShare(view)).toBe(1);
    expect(mayTakeUnknown(view)).toBe(false);
  },
);

test('callers go to a ready neighbour at once', () => {
  expect(computeDrainRetryMs(createView({ neighbours: [draining, ready] }))).toBe(0);
});

// A caller that comes back while the load balancer knows only this node is refused once more.
test('without a ready neighbour, callers come back when the load balancer sends them elsewhere', () => {
  const view = { neighbours: [draining], peers: [draining, ready] };
  expect(computeDrainRetryMs(createView({ ...view, elapsedMs: 600 }))).toBe(2_000);
  expect(computeDrainRetryMs(createView({ ...view, elapsedMs: 5_000 }))).toBe(0);
});

// Callers that came back at once while all nodes drained were refused again, without a further try.
test('without any ready node, callers come back when the first has started again', () => {
  expect(computeDrainRetryMs(createView({ neighbours: [draining] }))).toBe(4_000);
  expect(computeDrainRetryMs(createView({ leftMs: 500 }))).toBe(2_500);
});

test('a node of an earlier version counts as ready', () => {
  expect(computeDrainRetryMs(createView({ neighbours: [{}] }))).toBe(0);
});
