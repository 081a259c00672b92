import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createError, createTelemetry, dataCentreId, unwrap, vmId } from '@hibiscusbank/core';
import type { RouterError, VmId } from '@hibiscusbank/core';
import { createTcpNetwork } from '@hibiscusbank/peers';
import type { PeerNetwork } from '@hibiscusbank/peers';
import type { Result } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';

const addresses = new Map<VmId, string>();
const networks: PeerNetwork[] = [];

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

async function startNetwork(name: string, secret = 's', fixedPort?: number) {
  const self = { vm: vmId(name), dataCentre: dataCentreId('a') };
  const port = fixedPort ?? (await findFreePort());
  addresses.set(self.vm, `127.0.0.1:${port}`);
  const telemetry = createTelemetry(self, () => {});
  const network = createTcpNetwork({
    self,
    listen: { host: '127.0.0.1', port },
    secret,
    findAddress: (vm) => addresses.get(vm),
    telemetry,
  });
  networks.push(network);
  network.handle('member.echo', async (params, from) => ({ params, from: from.vm }));
  network.handle('quota.fail', async () => {
    throw createError('rate_exceeded', 'wait', { retryAfterMs: 7 });
  });
  await network.start();
  return { network, telemetry, port };
}

// Sockets need the real event loop. Only timers are faked, so that no timeout can hide a hang.
beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(async () => {
  await Promise.all(networks.splice(0).map((network) => network.stop()));
  vi.useRealTimers();
});

/** Registers `quota.hang`, which never answers; resolves when it is called. */
const addHangingMethod = (network: PeerNetwork): Promise<void> =>
  new Promise((resolve) => {
    network.handle('quota.hang', () => {
      resolve();
      return new Promise(() => {});
    });
  });

const options = { timeoutMs: 500 };

const errorOf = (result: Result<unknown, RouterError>) =>
  result.isErr() ? result.error : undefined;

test('calls in both directions share one connection', async () => {
  const a = await startNetwork('a');
  const b = await startNetwork('b');
  const aToB = await a.network.call(vmId('b'), 'member.echo', { x: 1 }, options);
  const bToA = await b.network.call(vmId('a'), 'member.echo', { x: 2 }, options);
  expect(unwrap(aToB)).toEqual({ params: { x: 1 }, from: 'a' });
  expect(unwrap(bToA)).toEqual({ params: { x: 2 }, from: 'b' });
  const metrics = await b.telemetry.metrics.registry.metrics();
  expect(metrics).toContain('hibiscusbank_peer_connections 1');
});

test('a handler error keeps its kind and retry time', async () => {
  const a = await startNetwork('a');
  await startNetwork('b');
  const result = await a.network.call(vmId('b'), 'quota.fail', {}, options);
  expect(errorOf(result)).toMatchObject({ kind: 'rate_exceeded', retryAfterMs: 7 });
});

test('a peer with a different secret is rejected', async () => {
  const a = await startNetwork('a', 'other');
  await startNetwork('b');
  const result = await a.network.call(vmId('b'), 'member.echo', {}, options);
  expect(errorOf(result)?.kind).toBe('unauthorised');
});

test('a call before hello is rejected and the connection is closed', async () => {
  const { port } = await startNetwork('b');
  const socket = connect({ host: '127.0.0.1', port });
  const answered = new Promise<string>((resolve) => {
    socket.once('data', (data) => resolve(data.toString()));
  });
  socket.write('{"jsonrpc":"2.0","id":1,"method":"member.echo","params":{}}\n');
  expect(await answered).toContain('send hello first');
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  vi.advanceTimersByTime(5_000);
  await closed;
});

test('a call fails when a different VM answers at the address', async () => {
  const a = await startNetwork('a');
  const b = await startNetwork('b');
  addresses.set(vmId('replaced'), `127.0.0.1:${b.port}`);
  const result = await a.network.call(vmId('replaced'), 'member.echo', {}, options);
  expect(errorOf(result)?.kind).toBe('peer_unavailable');
});

test('a call to a handler that never answers times out', async () => {
  const a = await startNetwork('a');
  const b = await startNetwork('b');
  await a.network.call(vmId('b'), 'member.echo', {}, options);
  const handlerCalled = addHangingMethod(b.network);
  const pending = a.network.call(vmId('b'), 'quota.hang', {}, options);
  await handlerCalled;
  vi.advanceTimersByTime(500);
  expect(errorOf(await pending)?.kind).toBe('timeout');
});

test('a closed connection fails pending calls at once and the next call reconnects', async () => {
  const a = await startNetwork('a');
  const b = await startNetwork('b');
  const handlerCalled = addHangingMethod(b.network);
  const pending = a.network.call(vmId('b'), 'quota.hang', {}, { timeoutMs: 60_000 });
  await handlerCalled;
  await b.network.stop();
  expect(errorOf(await pending)?.kind).toBe('peer_unavailable');
  await startNetwork('b', 's', b.port);
  const again = await a.network.call(vmId('b'), 'member.echo', {}, options);
  expect(again.isOk()).toBe(true);
});

test('sent and received bytes are counted by class of method, including replies', async () => {
  const a = await startNetwork('a');
  await startNetwork('b');
  await a.network.call(vmId('b'), 'member.echo', { text: 'x'.repeat(1_000) }, options);
  await a.network.call(vmId('b'), 'quota.fail', { text: 'y'.repeat(5_000) }, options);
  const { values } = await a.telemetry.metrics.peerBytes.get();
  const bytes = Object.fromEntries(values.map(({ labels, value }) => [labels.class, value]));
  expect(bytes.control).toBeGreaterThan(1_000);
  expect(bytes.control).toBeLessThan(5_000);
  expect(bytes.request).toBeGreaterThan(5_000);
  const received = await a.telemetry.metrics.registry.metrics();
  expect(received).toMatch(/peer_received_bytes_total\{class="control"\} 1\d\d\d/u);
});
