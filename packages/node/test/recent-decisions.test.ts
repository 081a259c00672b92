import { expect, test } from 'vitest';
import { createRecentDecisions } from '../src/recent-decisions.js';

test('lines of a request are kept in order without those of others', () => {
  const decisions = createRecentDecisions();
  decisions.record('info', { event: 1501, vm: 'vm-1', request: 'a', route: 'chat' }, 'routed');
  decisions.record('info', { event: 1501, vm: 'vm-1', request: 'b' }, 'routed');
  decisions.record('info', { event: 1401, vm: 'vm-1', request: 'a' }, 'granted');
  const lines = decisions.find('a');
  expect(lines).toHaveLength(2);
  expect(lines[0]).toContain('vm-1 1501 routed route=chat');
  expect(lines[1]).toContain('granted');
});

test('memory stays bounded under many requests', () => {
  const decisions = createRecentDecisions();
  for (let i = 0; i < 5_000; i += 1) {
    decisions.record('info', { event: 1501, vm: 'vm-1', request: `r${i}` }, 'routed');
  }
  expect(decisions.find('r0')).toEqual([]);
  expect(decisions.find('r4999')).toHaveLength(1);
});
