/** An in-memory object API with fault injection, and a harness that runs commands against it. */
import { createError, dataCentreId, vmId } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import type { ObjectApi, ObjectChange, StoredObject, WriteOptions } from '@hibiscusbank/object-api';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import { runApp } from '../src/app.js';
import type { AdminPort } from '../src/admin-client.js';
import type { CliPorts } from '../src/ports.js';

/** Length of the keys that `key issue` creates. */
const KEY_CHARS = 46;

/** Fault of a write: its request or its response is lost. */
export type WriteFault = 'lost request' | 'lost response';

const unavailable = (): RouterError => createError('platform_unavailable', 'no answer');

/** Creates the object API. Each write consumes one entry of `faults`. */
export function createFakePlatform() {
  const objects = new Map<string, StoredObject>();
  const changes: ObjectChange[] = [];
  const state = {
    isDown: false,
    faults: [] as WriteFault[],
    /** Runs once before the next write, to simulate an edit by another operator. */
    beforeWrite: undefined as (() => void) | undefined,
  };

  const store = (key: string, value: unknown, writeId: string): StoredObject => {
    const version = changes.length + 1;
    const stored = { key, value: JSON.parse(JSON.stringify(value ?? null)), version, writeId };
    changes.push({ key, value, version, deleted: value === undefined });
    if (value === undefined) objects.delete(key);
    else objects.set(key, stored);
    return stored;
  };

  const write = (
    key: string,
    value: unknown,
    options: WriteOptions,
  ): ResultAsync<StoredObject, RouterError> => {
    const writeConcurrently = state.beforeWrite;
    state.beforeWrite = undefined;
    writeConcurrently?.();
    const fault = state.faults.shift();
    if (state.isDown || fault === 'lost request') return errAsync(unavailable());
    const version = objects.get(key)?.version ?? 0;
    const expected = options.ifAbsent ? 0 : (options.ifVersion ?? version);
    if (version !== expected) {
      return errAsync(createError('conflict', 'conflict', { info: { currentVersion: version } }));
    }
    const stored = store(key, value, options.writeId);
    return fault === 'lost response' ? errAsync(unavailable()) : okAsync(stored);
  };

  const read = <T>(result: () => T): ResultAsync<T, RouterError> =>
    state.isDown ? errAsync(unavailable()) : okAsync(result());

  const objectApi: ObjectApi = {
    get: (key) => read(() => objects.get(key)),
    list: (prefix) =>
      read(() => ({
        revision: changes.length,
        objects: [...objects.values()].filter(({ key }) => key.startsWith(prefix)),
      })),
    put: (key, value, options) => write(key, value, options),
    remove: (key, options) => write(key, undefined, options).map(() => undefined),
    watch: (prefix, after) =>
      read(() => ({
        revision: changes.length,
        changes: changes.filter(
          (change) => change.version > after && change.key.startsWith(prefix),
        ),
      })),
  };
  return {
    state,
    objectApi,
    /** Stores a value as if another operator had written it; `undefined` removes the object. */
    store: (key: string, value: unknown) => store(key, value, 'other'),
    find: (key: string): unknown => objects.get(key)?.value,
    keys: () => [...objects.keys()].sort(),
    changedKeys: (after: number) => changes.slice(after).map(({ key }) => key),
    revision: () => changes.length,
  };
}

/** Creates an admin client of a node with fixed responses by path. */
export function createFakeAdmin(address: string, responses: Record<string, unknown>): AdminPort {
  const find = (path: string): ResultAsync<unknown, RouterError> =>
    path in responses
      ? okAsync(responses[path])
      : errAsync(createError('peer_unavailable', `no answer from ${address}`));
  return { address, get: find, post: (path) => find(path) };
}

/** Creates an empty fake platform, and a function that runs command lines against it. */
export function createHarness(admins: readonly AdminPort[] = []) {
  const platform = createFakePlatform();
  const files = new Map<string, string>();
  let ids = 0;
  const nextId = (prefix: string): string => {
    ids += 1;
    return `${prefix}${ids}`;
  };
  const ports: CliPorts = {
    objectApi: platform.objectApi,
    vmList: {
      read: () =>
        okAsync([
          {
            id: vmId('vm-1'),
            dataCentre: dataCentreId('almaty-a'),
            peerAddress: '10.0.0.1:7080',
            state: 'live' as const,
          },
        ]),
    },
    admins,
    readFile: (path) => {
      const text = files.get(path);
      return text === undefined
        ? errAsync(createError('invalid_request', `cannot read ${path}`))
        : okAsync(text);
    },
    createWriteId: () => nextId('write-'),
    createKey: () => nextId('hb-abcde').padEnd(KEY_CHARS, 'x'),
  };

  /** Runs one command line, split at spaces. */
  const run = async (line: string) => {
    const out: string[] = [];
    const errors: string[] = [];
    const code = await runApp(line.split(' '), {
      print: (text) => out.push(text),
      printError: (text) => errors.push(text),
      createPorts: async () => ports,
    });
    return { code, out: out.join('\n'), errors: errors.join('\n') };
  };
  return { platform, files, run };
}

export const POOLS_TEXT = `[pool desk]
kind = plain

[upstream desk-1]
pool = desk
data_centre = almaty-a
address = 10.1.0.1:9000

[pool plans]
kind = plain

[upstream plans-1]
pool = plans
data_centre = almaty-b
address = 10.1.0.2:9000
`;

export const ROUTES_TEXT = `[route bookings]
path = /bookings/*
organisations = crew-office
pool = desk
`;
