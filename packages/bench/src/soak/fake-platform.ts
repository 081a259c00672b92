/** The object API and the VM list in memory, as one node sees them. */
import { createError, dataCentreId, sleep, vmId } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import type { ListedVm, ObjectApi, VmList, WriteOptions } from '@hibiscusbank/object-api';
import type { ObjectTable } from '@hibiscusbank/standins';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { unavailable } from './network-faults.js';
import type { NetworkFaults } from './network-faults.js';
import { runOutside } from './process.js';
import type { EmulatedProcess } from './process.js';

const LATENCY_MS = 3;
const UNAVAILABLE_AFTER_MS = 500;
/** Lag of the VM list. */
const LIST_LAG_MS = 5_000;

export interface PlatformClient {
  readonly objectApi: ObjectApi;
  readonly vmList: VmList;
}

/** The list of VMs that the platform publishes with a lag. */
export interface VmListBoard {
  set(vms: readonly ListedVm[]): void;
  read(): readonly ListedVm[];
}

/** Creates the list with the VMs of the fleet. */
export function createVmListBoard(vms: readonly ListedVm[]): VmListBoard {
  let visible = vms;
  return {
    set: (next) => {
      runOutside(() => {
        setTimeout(() => {
          visible = next;
        }, LIST_LAG_MS);
      });
    },
    read: () => visible,
  };
}

/** Describes a VM of the fleet as the platform lists it. */
export function listVm(id: string, dataCentre: string): ListedVm {
  return {
    id: vmId(id),
    dataCentre: dataCentreId(dataCentre),
    peerAddress: `${id}:7000`,
    state: 'live',
  };
}

export interface PlatformClientOptions {
  readonly table: ObjectTable;
  readonly vms: VmListBoard;
  readonly faults: NetworkFaults;
  readonly dataCentre: ListedVm['dataCentre'];
  readonly owner: EmulatedProcess;
}

type Call<T> = () => Promise<Result<T, RouterError>>;

/** Creates the access of one process to the platform. */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const { table, faults, owner, dataCentre } = options;

  const fail = async (): Promise<Result<never, RouterError>> => {
    await sleep(UNAVAILABLE_AFTER_MS);
    return err(unavailable());
  };
  const perform = async <T>(call: Call<T>): Promise<Result<T, RouterError>> => {
    if (!faults.reachesPlatform(dataCentre)) return fail();
    await sleep(LATENCY_MS);
    if (!faults.reachesPlatform(dataCentre)) return fail();
    const result = await call();
    return faults.reachesPlatform(dataCentre) ? result : fail();
  };
  const request = <T>(call: Call<T>): ResultAsync<T, RouterError> => {
    const run = async (): Promise<Result<T, RouterError>> => {
      await owner.whenRunning();
      const result = await runOutside(() => perform(call));
      await owner.whenRunning();
      return result;
    };
    return new ResultAsync(run());
  };
  const write = (key: string, value: unknown, deleted: boolean, conditions: WriteOptions) =>
    request(async () => {
      // The repeat of a deletion whose answer was lost succeeds.
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
      if (faults.takeLostAnswer()) return err(unavailable());
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
