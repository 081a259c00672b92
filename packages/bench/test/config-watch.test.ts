import { expect, test } from 'vitest';
import { computePropagation } from '../src/benches/config-watch.js';

const history = (rises: { value: number; atMs: number }[], unreadyAtMs: number[] = []) => ({
  vm: 'vm-1',
  rises,
  unreadyAtMs,
  reverts: [],
  lateUses: [],
});

// Guards against a measure that ends with the first node instead of the last.
test('an edit is in force when the last node shows it or a later one', () => {
  const edits = [{ value: 1, atMs: 100 }];
  const histories = [history([{ value: 1, atMs: 150 }]), history([{ value: 3, atMs: 400 }])];
  expect(computePropagation(edits, histories, 1_000).inForceMs).toEqual([300]);
});

// Guards against an edit that a node never shows being left out.
test('an edit that a node never shows counts up to the end', () => {
  const histories = [history([{ value: 0, atMs: 10 }])];
  expect(computePropagation([{ value: 1, atMs: 100 }], histories, 1_000).inForceMs).toEqual([900]);
});

// Guards against the time that a process was down counting as propagation.
test('a node that was not ready meanwhile is reported apart', () => {
  const histories = [history([{ value: 1, atMs: 700 }], [500])];
  const propagation = computePropagation([{ value: 1, atMs: 100 }], histories, 1_000);
  expect(propagation).toEqual({ inForceMs: [0], restartedMs: [600] });
});
