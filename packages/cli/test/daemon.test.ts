import { expect, test, vi } from 'vitest';
import { createError, createTelemetry } from '@hibiscusbank/core';
import { errAsync, okAsync } from 'neverthrow';
import { runDaemon } from '../src/node-command.js';
import { createHarness } from './fakes.js';

const SETTINGS = `[node]
vm = vm-1
data_centre = almaty-a
listen = 127.0.0.1:8080
peer_listen = 127.0.0.1:7080
admin_listen = 127.0.0.1:9080
peer_secret = correct-horse
[platform]
object_api = 127.0.0.1:8500
vm_list = 127.0.0.1:8600
`;

function startDaemon(start: () => Promise<void> = async () => {}) {
  const errors: string[] = [];
  let register = (_: () => void): void => {};
  const registered = new Promise<() => void>((resolve) => {
    register = resolve;
  });
  let finishDrain = (): void => {};
  const stop = vi.fn(async () => {});
  const node = {
    telemetry: createTelemetry({}, () => {}),
    start,
    drain: () =>
      new Promise<void>((resolve) => {
        finishDrain = resolve;
      }),
    stop,
  };
  const exitCode = runDaemon(
    'node.ini',
    {
      readFile: (path) =>
        path === 'node.ini'
          ? okAsync(SETTINGS)
          : errAsync(createError('invalid_request', 'cannot read')),
      createNode: () => node,
      onSignal: (listener) => register(listener),
    },
    { json: false, debug: false, print: () => {}, printError: (line) => errors.push(line) },
  );
  const sendSignal = async (): Promise<void> => {
    const listener = await registered;
    listener();
  };
  return { exitCode, errors, sendSignal, stop, finishDrain: () => finishDrain() };
}

test('the daemon exits with 0 after a clean drain', async () => {
  const { exitCode, sendSignal, finishDrain, stop } = startDaemon();
  await sendSignal();
  finishDrain();
  expect(await exitCode).toBe(0);
  expect(stop).not.toHaveBeenCalled();
});

test('a second signal stops a daemon that is still draining', async () => {
  const { exitCode, sendSignal, stop } = startDaemon();
  await sendSignal();
  await sendSignal();
  expect(await exitCode).toBe(1);
  expect(stop).toHaveBeenCalledOnce();
});

test('a signal drains and ends a daemon that has not finished starting', async () => {
  const { exitCode, sendSignal, finishDrain } = startDaemon(() => new Promise(() => {}));
  await sendSignal();
  finishDrain();
  expect(await exitCode).toBe(0);
});

test('a daemon whose port is in use exits with 1 and names the setting', async () => {
  const { exitCode, errors } = startDaemon(async () => {
    throw Object.assign(new Error('listen EADDRINUSE'), {
      code: 'EADDRINUSE',
      address: '127.0.0.1',
      port: 9080,
    });
  });
  expect(await exitCode).toBe(1);
  expect(errors.join()).toContain('[node] admin_listen = 127.0.0.1:9080 is in use');
});

test.each([
  ['wrong usage', 'gte routes', 2],
  ['a missing argument', 'key issue', 2],
  ['a missing file', 'apply routes nowhere.ini', 2],
  ['help', '--help', 0],
  ['an empty list', 'org list', 0],
])('%s gives its documented exit code', async (_, line, code) => {
  expect((await createHarness().run(line)).code).toBe(code);
});

test('stack traces are printed only with --debug', async () => {
  const { platform, run } = createHarness();
  platform.state.isDown = true;
  expect((await run('org list')).errors).not.toMatch(/\n +at /);
  expect((await run('org list --debug')).errors).toMatch(/\n +at /);
});
