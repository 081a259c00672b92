/** In-memory object API whose calls can fail, lose their response or take effect late. */
import { createError, createTelemetry, sleep } from '@hibiscusbank/core';
import type { RouterError, Telemetry } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject, WriteOptions } from '@hibiscusbank/object-api';
import { errAsync, ResultAsync } from 'neverthrow';

export interface FakeStore {
  objects: Map<string, StoredObject>;
  revision: number;
  onWrite: (object: StoredObject) => void;
}

export interface Faults {
  /** All calls fail without effect. */
  down: boolean;
  /** Writes fail without effect. */
  writesDown: boolean;
  responseDelayMs: number;
  /** Number of writes that will take effect but lose their response. */
  loseResponses: number;
  /** Replaces the next write, which then fails as unavailable; `apply` makes it take effect. */
  intercept: ((apply: () => void) => void) | undefined;
}

export function createStore(): FakeStore {
  return { objects: new Map(), revision: 0, onWrite: () => {} };
}

export function createTestTelemetry(): Telemetry {
  return createTelemetry({}, () => {});
}

const unavailable = (): RouterError => createError('platform_unavailable', 'no answer');

function writeTo(store: FakeStore, key: string, value: unknown, options: WriteOptions) {
  const version = store.objects.get(key)?.version ?? 0;
  const expected = options.ifAbsent ? 0 : options.ifVersion;
  if (expected !== undefined && expected !== version) {
    throw createError('conflict', 'version', { info: { currentVersion: version } });
  }
  store.revision += 1;
  const stored = { key, value, version: store.revision, writeId: options.writeId };
  store.objects.set(key, stored);
  store.onWrite(stored);
  return stored;
}

export function createFakeObjectApi(store: FakeStore): { api: ObjectApi; faults: Faults } {
  const faults: Faults = {
    down: false,
    writesDown: false,
    responseDelayMs: 0,
    loseResponses: 0,
    intercept: undefined,
  };
  const run = <T>(fn: () => T): ResultAsync<T, RouterError> =>
    ResultAsync.fromPromise(
      (async () => {
        if (faults.down) throw unavailable();
        const result = fn();
        if (faults.responseDelayMs > 0) await sleep(faults.responseDelayMs);
        return result;
      })(),
      (thrown) => thrown as RouterError,
    );
  const put: ObjectApi['put'] = (key, value, options) => {
    const { intercept } = faults;
    if (intercept !== undefined) {
      faults.intercept = undefined;
      intercept(() => {
        writeTo(store, key, value, options);
      });
      return errAsync(unavailable());
    }
    return run(() => {
      if (faults.writesDown) throw unavailable();
      const stored = writeTo(store, key, value, options);
      if (faults.loseResponses === 0) return stored;
      faults.loseResponses -= 1;
      throw unavailable();
    });
  };
  const api: ObjectApi = {
    get: (key) => run(() => store.objects.get(key)),
    list: (prefix) =>
      run(() => ({
        revision: store.revision,
        objects: [...store.objects.values()].filter((object) => object.key.startsWith(prefix)),
      })),
    put,
    remove: () => errAsync(unavailable()),
    watch: () => errAsync(unavailable()),
  };
  return { api, faults };
}
