/** In-memory object API and VM list, accessed by a node under the simulated network faults. */
import { createError, dataCentreId, sleep, vmId } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import type { ListedVm, ObjectApi, VmList, WriteOptions } from '@hibiscusbank/object-api';
import type { ObjectTable } from '@hibiscusbank/standins';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { createUnavailableError } from './network-faults.js';
import type { NetworkFaults } from './network-faults.js';
import { runOutsideProcesses } from './process.js';
import type { EmulatedProcess } from './process.js';

const LATENCY_MS = 3;
const UNAVAILABLE_DELAY_MS = 500;
/** Delay until the VM list shows a change. */
const VM_LIST_DELAY_MS = 5_000;

export interface PlatformClient {
  readonly objectApi: ObjectApi;
  readonly vmList: VmList;
}

/** VM list that the platform publishes with a delay. */
export interface PublishedVmList {
  set(vms: readonly ListedVm[]): void;
  read(): readonly ListedVm[];
}

export function createPublishedVmList(vms: readonly ListedVm[]): PublishedVmList {
  let published = vms;
  return {
    set: (next) => {
      runOutsideProcesses(() => {
        setTimeout(() => {
          published = next;
        }, VM_LIST_DELAY_MS);
      });
    },
    read: () => published,
  };
}

/** Creates the VM list entry of a VM. */
export function createListedVm(id: string, dataCentre: string): ListedVm {
  return {
    id: vmId(id),
    dataCentre: dataCentreId(dataCentre),
    peerAddress: `${id}:7000`,
    state: 'live',
  };
}

export interface PlatformClientOptions {
  readonly table: ObjectTable;
  readonly vms: PublishedVmList;
  readonly faults: NetworkFaults;
  readonly dataCentre: ListedVm['dataCentre'];
  readonly nodeProcess: EmulatedProcess;
}

type PlatformCall<T> = () => Promise<Result<T, RouterError>>;

/** Creates the platform client of one node process. */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const { table, faults, nodeProcess, dataCentre } = options;

  const fail = async (): Promise<Result<never, RouterError>> => {
    await sleep(UNAVAILABLE_DELAY_MS);
    return err(createUnavailableError());
  };
  const perform = async <T>(call: PlatformCall<T>): Promise<Result<T, RouterError>> => {
    if (!faults.reachesPlatform(dataCentre)) return fail();
    await sleep(LATENCY_MS);
    if (!faults.reachesPlatform(dataCentre)) return fail();
    const result = await call();
    return faults.reachesPlatform(dataCentre) ? result : fail();
  };
  const request = <T>(call: PlatformCall<T>): ResultAsync<T, RouterError> => {
    const run = async (): Promise<Result<T, RouterError>> => {
      await nodeProcess.whenRunning();
      const result = await runOutsideProcesses(() => perform(call));
      await nodeProcess.whenRunning();
      return result;
    };
    return new ResultAsync(run());
  };
  const write = (key: string, value: unknown, deleted: boolean, conditions: WriteOptions) =>
    request(async () => {
      // A retried deletion succeeds when the response to the first attempt was lost.
      if (deleted && table.get(key) === undefined && conditions.ifVersion === undefined) {
        return ok(undefined as never);
      }
      const copy = value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);
      const result = table.write({
        key,
        value: copy,
        deleted,
        writeId: conditions.writeId,
        ifVersion: conditions.ifVersion,
        ifAbsent: conditions.ifAbsent ?? false,
      });
      if (faults.consumeLostResponse()) return err(createUnavailableError());
      if (result.kind === 'written') return ok(result.object);
      return err(
        createError('conflict', `${key} has another version; read it again`, {
          info: { currentVersion: result.version },
        }),
      );
    });

  const objectApi: ObjectApi = {
    get: (key) => request(async () => ok(table.get(key))),
    list: (prefix) =>
      request(async () => ok({ revision: table.revision(), objects: table.list(prefix) })),
    put: (key, value, writeOptions) => write(key, value, false, writeOptions),
    remove: (key, writeOptions) => write(key, undefined, true, writeOptions).map(() => undefined),
    watch: (prefix, after, waitMs, signal) =>
      request(async () => {
        const handle = table.watch(prefix, after, waitMs);
        signal?.addEventListener('abort', () => handle.cancel());
        const batch = await handle.done;
        if (batch !== undefined) return ok(batch);
        return err(createError('history_lost', 'the watch is too far behind; list again'));
      }),
  };
  return {
    objectApi,
    vmList: { read: () => request(async () => ok(options.vms.read())) },
  };
}
