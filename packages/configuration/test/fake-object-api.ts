/** In-memory object API that can simulate outages, failed watches, lost history and lost responses. */
import { createError, RouterError, toRouterError } from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import type { ChangeBatch, ObjectApi, ObjectChange, StoredObject } from '@hibiscusbank/object-api';
import { ResultAsync } from 'neverthrow';

const LATENCY_MS = 2;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** `hanging`: never answers; `stalled`: answers without changes at the requested revision. */
type WatchMode = 'working' | 'hanging' | 'stalled';

export function createFakeObjectApi() {
  const objects = new Map<string, StoredObject>();
  let history: ObjectChange[] = [];
  let historyStart = 0;
  let revision = 0;

  const record = (key: string, value: unknown, deleted: boolean): number => {
    revision += 1;
    history.push({ key, value, version: revision, deleted });
    return revision;
  };
  const write = (key: string, value: unknown, writeId = 'operator'): number => {
    const version = record(key, value, false);
    objects.set(key, { key, value, version, writeId });
    return version;
  };

  const api = {
    watchMode: 'working' as WatchMode,
    losesPutResponses: false,
    /** Whether a VM cannot reach the platform. */
    isUnreachableFrom: (() => false) as (vm: VmId) => boolean,
    /** Calls so far, as `operation vm`. */
    calls: [] as string[],
    objects,
    write: (key: string, value: unknown): number => write(key, value),
    remove: (key: string): number => {
      objects.delete(key);
      return record(key, undefined, true);
    },
    dropHistory: () => {
      history = [];
      historyStart = revision;
    },
    portFor: (vm: VmId): ObjectApi => {
      const call = <T>(name: string, run: () => T | Promise<T>): ResultAsync<T, RouterError> => {
        api.calls.push(`${name} ${vm}`);
        const answer = async (): Promise<T> => {
          await wait(LATENCY_MS);
          if (api.isUnreachableFrom(vm))
            throw createError('platform_unavailable', 'the platform is unreachable');
          return run();
        };
        return ResultAsync.fromPromise(answer(), (thrown) => toRouterError(thrown));
      };
      const watch = async (prefix: string, after: number, waitMs: number): Promise<ChangeBatch> => {
        if (api.watchMode === 'hanging') return new Promise(() => {});
        if (after < historyStart) throw createError('history_lost', 'list again');
        const find = () => history.filter((c) => c.version > after && c.key.startsWith(prefix));
        for (let waitedMs = 0; waitedMs < waitMs; waitedMs += 100) {
          if (api.watchMode === 'working' && find().length > 0) break;
          await wait(100);
          if (api.isUnreachableFrom(vm))
            throw createError('platform_unavailable', 'the platform is unreachable');
        }
        if (api.watchMode === 'stalled') return { revision: after, changes: [] };
        return { revision, changes: find() };
      };
      return {
        get: (key) => call('get', () => objects.get(key)),
        list: (prefix) =>
          call('list', () => ({
            revision,
            objects: [...objects.values()].filter((object) => object.key.startsWith(prefix)),
          })),
        put: (key, value, options) =>
          call('put', () => {
            const current = objects.get(key);
            const conflicts = options.ifAbsent
              ? current !== undefined
              : options.ifVersion !== undefined && options.ifVersion !== current?.version;
            if (conflicts) throw createError('conflict', 'read again');
            write(key, value, options.writeId);
            if (api.losesPutResponses) throw createError('platform_unavailable', 'response lost');
            return objects.get(key) as StoredObject;
          }),
        remove: () => call('remove', () => undefined),
        watch: (prefix, after, waitMs) => call('watch', () => watch(prefix, after, waitMs)),
      };
    },
  };
  return api;
}
