import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createTelemetry } from '@hibiscusbank/core';
import { createHttpServer } from '@hibiscusbank/gateway';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { startListeners } from '../src/start-listeners.js';

const taken = (): Error =>
  Object.assign(new Error('address already in use'), { code: 'EADDRINUSE' });

let events: string[] = [];
const telemetry = createTelemetry({ vm: 'a' }, (_, context, text) => {
  events.push(`${text} ${JSON.stringify(context)}`);
});

beforeEach(() => {
  events = [];
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// A port that another process still held ended the start with an uncaught error.
test('a listener whose address is in use is tried again until it is free', async () => {
  let attempts = 0;
  const start = async (): Promise<void> => {
    attempts += 1;
    if (attempts < 10) throw taken();
  };
  const started = startListeners([{ host: '10.0.0.1', port: 80, start }], telemetry);
  await vi.advanceTimersByTimeAsync(5_000);
  await started;
  expect(attempts).toBe(10);
  expect(events).toHaveLength(1);
  expect(events[0]).toContain('10.0.0.1:80');
});

test('an address that stays in use ends the start with an error that names it', async () => {
  const start = async (): Promise<void> => {
    throw taken();
  };
  const started = startListeners([{ host: '10.0.0.1', port: 80, start }], telemetry);
  const failed = expect(started).rejects.toThrow('cannot listen on 10.0.0.1:80');
  await vi.advanceTimersByTimeAsync(30_000);
  await failed;
});

test('an error that does not pass by itself ends the start at once', async () => {
  let attempts = 0;
  const start = async (): Promise<void> => {
    attempts += 1;
    throw Object.assign(new Error('permission denied'), { code: 'EACCES' });
  };
  await expect(startListeners([{ host: 'a', port: 80, start }], telemetry)).rejects.toThrow(
    'permission denied',
  );
  expect(attempts).toBe(1);
});

test('an HTTP server that could not listen listens when it is started again', async () => {
  vi.useRealTimers();
  const holder = createServer();
  await new Promise<void>((resolve) => {
    holder.listen(0, '127.0.0.1', resolve);
  });
  const { port } = holder.address() as AddressInfo;
  const server = createHttpServer(() => new Response('up'), { host: '127.0.0.1', port });
  await expect(server.start()).rejects.toThrow('EADDRINUSE');
  await new Promise((resolve) => {
    holder.close(resolve);
  });
  await server.start();
  expect(await (await fetch(`http://127.0.0.1:${port}/`)).text()).toBe('up');
  await server.kill();
});
