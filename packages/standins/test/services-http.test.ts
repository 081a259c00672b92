import { dataCentreId, vmId } from '@hibiscusbank/core';
import { createHttpObjectApi, createHttpVmList } from '@hibiscusbank/object-api';
import { startObjectApi, startUpstream, startVmList } from '@hibiscusbank/standins';
import type { StandinServer } from '@hibiscusbank/standins';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createLaggedValue } from '../src/lagged-value.js';
import { createRateLimit } from '../src/object-api/rate-limit.js';
import { UPSTREAM_DEFAULTS } from '../src/upstream/types.js';
import { createUpstreamCore } from '../src/upstream/upstream-core.js';
import { createStartScheduler } from '../src/weight-store.js';

const startedServers: StandinServer[] = [];

function stopAfterTest<T extends StandinServer>(server: T): T {
  startedServers.push(server);
  return server;
}

const call = { requestId: 'r1', idempotencyKey: 'k1' };

beforeEach(() => {
  vi.useRealTimers();
});

afterEach(async () => {
  vi.useRealTimers();
  for (const server of startedServers.splice(0)) await server.stop();
});

test('a write whose response is lost has still taken effect', async () => {
  const server = stopAfterTest(await startObjectApi(0));
  const api = createHttpObjectApi(server.url);
  server.setFaults({ loseAnswers: 1 });
  const written = await api.put('a', { n: 1 }, { writeId: 'w1' });
  expect(written.isErr() && written.error.kind).toBe('platform_unavailable');
  expect(server.get('a')).toMatchObject({ version: 1, writeId: 'w1' });
});

test('an outage of the object API ends a waiting watch', async () => {
  const server = stopAfterTest(await startObjectApi(0));
  const api = createHttpObjectApi(server.url);
  const watch = api.watch('a', 0, 60_000);
  await vi.waitFor(() => expect(server.readState().waitingWatches).toBe(1));
  server.setFaults({ outage: 'refuse' });
  expect((await watch).isErr()).toBe(true);
});

test('a watch stops waiting when its client disconnects', async () => {
  const server = stopAfterTest(await startObjectApi(0));
  const disconnect = new AbortController();
  const watch = createHttpObjectApi(server.url).watch('a', 0, 60_000, disconnect.signal);
  await vi.waitFor(() => expect(server.readState().waitingWatches).toBe(1));
  disconnect.abort();
  expect((await watch).isErr()).toBe(true);
  await vi.waitFor(() => expect(server.readState().waitingWatches).toBe(0));
});

test('control calls are answered during an outage, and unknown faults are rejected', async () => {
  const server = stopAfterTest(await startObjectApi(0));
  const post = (body: object) =>
    fetch(`${server.url}/control/faults`, { method: 'POST', body: JSON.stringify(body) });
  expect((await post({ outage: 'hang' })).status).toBe(200);
  expect((await post({ outrage: 'hang' })).status).toBe(400);
  expect((await post({})).status).toBe(200);
  expect((await createHttpObjectApi(server.url).get('a')).isOk()).toBe(true);
});

test('the VM list serves its VMs in the state that was set', async () => {
  const vm = {
    id: vmId('vm-1'),
    dataCentre: dataCentreId('ost-a'),
    peerAddress: '127.0.0.1:1',
    state: 'live',
  } as const;
  const server = stopAfterTest(await startVmList(0, [vm]));
  server.setState('vm-1', 'leaving');
  const vms = await createHttpVmList(server.url).read();
  expect(vms.isOk() && vms.value).toEqual([{ ...vm, state: 'leaving' }]);
});

test('an upstream echoes a body and records the request headers', async () => {
  const server = stopAfterTest(await startUpstream(0, { serviceMs: 0 }));
  const res = await fetch(`${server.url}/orders`, {
    method: 'POST',
    headers: { 'x-standin-echo': 'body', 'x-request-id': 'r1', 'x-api-key': 'secret' },
    body: 'timber',
  });
  expect(await res.text()).toBe('timber');
  expect(server.readCalls()[0]?.headers['x-api-key']).toBe('secret');
  expect(server.readRuns().byRequest).toEqual({ r1: 1 });
});

test('a request counts as run if its connection breaks after the run, but not before', async () => {
  vi.useFakeTimers();
  const core = createUpstreamCore({ ...UPSTREAM_DEFAULTS, serviceMs: 0 }, () => {});
  core.faults.set({ cutBefore: 1, cutAfter: 1 });
  expect(await core.run(call)).toBe('cut');
  expect(core.readRuns().byIdempotencyKey).toEqual({});
  const cutAfter = core.run(call);
  await vi.advanceTimersByTimeAsync(1);
  expect(await cutAfter).toBe('cut');
  expect(core.readRuns().byIdempotencyKey).toEqual({ k1: 1 });
});

test.each([
  ['failed', 'cold_failed', 2],
  ['not_run', 'cold_not_run', 1],
] as const)(
  'an overloaded cold upstream applies coldAnswer %s',
  async (coldAnswer, outcome, runs) => {
    vi.useFakeTimers();
    const core = createUpstreamCore({ ...UPSTREAM_DEFAULTS, coldLimit: 1, coldAnswer }, () => {});
    core.faults.set({ turnCold: true });
    const first = core.run(call);
    const second = core.run(call);
    await vi.advanceTimersByTimeAsync(100);
    expect(await first).toBe('answered');
    expect(await second).toBe(outcome);
    expect(core.readState().runs).toBe(runs);
  },
);

test('changes of a lagged value become visible in order, each after its lag', async () => {
  vi.useFakeTimers();
  const value = createLaggedValue('old', () => 1_000);
  value.set('middle');
  await vi.advanceTimersByTimeAsync(500);
  value.set('new');
  expect(value.read()).toBe('old');
  await vi.advanceTimersByTimeAsync(500);
  expect(value.read()).toBe('middle');
  await vi.advanceTimersByTimeAsync(500);
  expect(value.read()).toBe('new');
});

test('calls above the rate are refused until the bucket refills', async () => {
  vi.useFakeTimers();
  const limit = createRateLimit(() => 2);
  expect([limit.tryAcquire(), limit.tryAcquire(), limit.tryAcquire()]).toEqual([true, true, false]);
  await vi.advanceTimersByTimeAsync(500);
  expect([limit.tryAcquire(), limit.tryAcquire()]).toEqual([true, false]);
});

test('start times of the weight store are at least one interval apart', async () => {
  vi.useFakeTimers();
  const scheduler = createStartScheduler(100);
  expect([scheduler.reserve(), scheduler.reserve()]).toEqual([0, 100]);
  await vi.advanceTimersByTimeAsync(250);
  expect(scheduler.reserve()).toBe(0);
});
