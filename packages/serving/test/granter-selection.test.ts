import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createGranterSelection } from '../src/granter-selection.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const peer = (node: string, dataCentre: string) => ({ node, host: node, port: 1, dataCentre });

function createSelection() {
  const all = ['b', 'c', 'd'].map((node) => peer(node, 'east'));
  return createGranterSelection({
    self: peer('a', 'west'),
    peers: () => all,
    isSilent: (node) => node === 'd',
    maxPauseMs: 16_000,
  });
}

test('a node of the data centre decides, one that still reports', () => {
  const selection = createSelection();
  const found = Array.from({ length: 50 }, (_, index) => selection.find(`key-${index}`, 'east'));
  expect(new Set(found.map(({ node }) => node))).toEqual(new Set(['b', 'c']));
});

// Each request of each node waited for the time-out until the fleet noticed that the node had ended.
test('a node that does not answer is asked ever more rarely, until it answers', () => {
  const selection = createSelection();
  let asked = 0;
  const key = Array.from({ length: 50 }, (_, index) => `key-${index}`).find(
    (each) => selection.find(each, 'east').node === 'b',
  ) as string;
  for (let second = 0; second < 60; second += 1) {
    if (selection.find(key, 'east').node === 'b') {
      asked += 1;
      selection.pause('b');
    }
    vi.advanceTimersByTime(1_000);
  }
  expect(asked).toBeLessThanOrEqual(8);
  selection.confirm('b');
  expect(selection.find(key, 'east').node).toBe('b');
});
