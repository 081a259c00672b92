import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createNodeRegistry } from '../src/node-registry.js';
import { remoteTimeoutMs } from '../src/peer-reports.js';
import { createFakeStore } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Runs the registry of one node that hears no other node, and returns the entries left. */
async function countEntries(fleet: number, ms: number): Promise<number> {
  const store = createFakeStore();
  for (let node = 1; node < fleet; node += 1) {
    store.put(`n${node}`, { host: '10.0.0.1', port: node, dataCentre: 'a' });
  }
  const registry = createNodeRegistry({
    self: { node: 'n0', host: '10.0.0.1', port: 0, dataCentre: 'a' },
    store,
    telemetry: createTelemetry({}, () => {}),
    isReachable: () => false,
    peerTimeoutMs: (nodes) => remoteTimeoutMs(nodes, nodes),
  });
  const stopping = new AbortController();
  const running = registry.run(stopping.signal);
  await vi.advanceTimersByTimeAsync(ms);
  stopping.abort();
  await vi.advanceTimersByTimeAsync(5_000);
  await running;
  return registry.names().length;
}

// At 195 nodes remote nodes report every 26 s, so each started node removed the entries of nodes that it
// had not heard yet, and these registered again and again.
test('nodes of a large fleet that have not reported yet stay registered', async () => {
  expect(await countEntries(195, 60_000)).toBe(195);
});

test('the entries of nodes that are gone are removed', async () => {
  expect(await countEntries(6, 60_000)).toBe(1);
});

// An outage of some seconds cost a large fleet thousands of calls.
test('a registered node calls a store that is down as rarely as one that answers', async () => {
  const store = createFakeStore();
  const calls = { list: 0 };
  const counting = {
    ...store,
    list: () => {
      calls.list += 1;
      return store.list();
    },
  };
  const registry = createNodeRegistry({
    self: { node: 'n0', host: '10.0.0.1', port: 0, dataCentre: 'a' },
    store: counting,
    telemetry: createTelemetry({}, () => {}),
    isReachable: () => true,
    peerTimeoutMs: () => 1_200,
  });
  const stopping = new AbortController();
  void registry.run(stopping.signal);
  await vi.advanceTimersByTimeAsync(4_000);
  store.setDown(true);
  calls.list = 0;
  await vi.advanceTimersByTimeAsync(10_000);
  stopping.abort();
  expect(calls.list).toBeLessThanOrEqual(6);
});
