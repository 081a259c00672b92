import { expect, test } from 'vitest';
import { computePropagation } from '../src/benches/config-watch.js';

const history = (
  counterIncreases: { value: number; atMs: number }[],
  unreadyAtMs: number[] = [],
) => ({
  vm: 'vm-1',
  counterIncreases,
  unreadyAtMs,
  reverts: [],
  lateUses: [],
});

// Guards against a propagation time that ends at the first node instead of the last.
test('an edit is in force when the last node applies it or a later one', () => {
  const edits = [{ value: 1, atMs: 100 }];
  const histories = [history([{ value: 1, atMs: 150 }]), history([{ value: 3, atMs: 400 }])];
  expect(computePropagation(edits, histories, 1_000).inForceMs).toEqual([300]);
});

// Guards against propagation times that omit edits which a node never applied.
test('an edit that a node never applies counts as the time to the end of the run', () => {
  const histories = [history([{ value: 0, atMs: 10 }])];
  expect(computePropagation([{ value: 1, atMs: 100 }], histories, 1_000).inForceMs).toEqual([900]);
});

// Guards against propagation times that include the downtime of a process.
test('a node that was not ready meanwhile is reported separately', () => {
  const histories = [history([{ value: 1, atMs: 700 }], [500])];
  const propagation = computePropagation([{ value: 1, atMs: 100 }], histories, 1_000);
  expect(propagation).toEqual({ inForceMs: [0], restartedMs: [600] });
});
