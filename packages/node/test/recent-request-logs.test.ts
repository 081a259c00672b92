import { expect, test } from 'vitest';
import { createRecentRequestLogs } from '../src/recent-request-logs.js';

test('find returns the lines of one request in order, without those of other requests', () => {
  const requestLogs = createRecentRequestLogs();
  requestLogs.record('info', { event: 1501, vm: 'vm-1', request: 'a', route: 'chat' }, 'routed');
  requestLogs.record('info', { event: 1501, vm: 'vm-1', request: 'b' }, 'routed');
  requestLogs.record('info', { event: 1401, vm: 'vm-1', request: 'a' }, 'granted');
  const lines = requestLogs.find('a');
  expect(lines).toHaveLength(2);
  expect(lines[0]).toContain('vm-1 1501 routed route=chat');
  expect(lines[1]).toContain('granted');
});

test('lines of the oldest requests are dropped when there are many requests', () => {
  const requestLogs = createRecentRequestLogs();
  for (let i = 0; i < 5_000; i += 1) {
    requestLogs.record('info', { event: 1501, vm: 'vm-1', request: `r${i}` }, 'routed');
  }
  expect(requestLogs.find('r0')).toEqual([]);
  expect(requestLogs.find('r4999')).toHaveLength(1);
});
