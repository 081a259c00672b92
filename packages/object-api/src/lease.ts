/** Leases on the object API: time-limited exclusive ownership, fenced by the lease object's version. */
import { randomUUID } from 'node:crypto';
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { RouterError, Telemetry } from '@hibiscusbank/core';
import { createLeaseMetrics } from './metrics.js';
import type { ObjectApi, StoredObject } from './types.js';

/** How long a lease stays valid after its last renewal. */
export const LEASE_VALIDITY_MS = 15_000;
const RENEWAL_INTERVAL_MS = 5_000;
/** The holder stops this long before the expiry, since the clocks of two VMs can differ. */
const SAFETY_MARGIN_MS = 3_000;
const RETRY_INTERVAL_MS = 1_000;

/** What is known of a store that may lose the writes of its last seconds. */
export interface LeaseHistory {
  /** Whether a version belongs to the history that the store has now. */
  isCurrent(version: number): boolean;
  /** Returns the time since the store was found to have lost writes; `Infinity` if it never was. */
  lostWritesAgoMs(): number;
}

const COMPLETE_HISTORY: LeaseHistory = {
  isCurrent: () => true,
  lostWritesAgoMs: () => Infinity,
};

export interface LeaseOptions {
  readonly objectApi: Pick<ObjectApi, 'get' | 'put'>;
  /** Key of the lease object, such as `leases/<cell>`. */
  readonly key: string;
  /** Name of the holder, such as its VM id. A restarted process counts as another holder. */
  readonly holder: string;
  readonly telemetry: Telemetry;
  /** Without it the store loses no writes. */
  readonly history?: LeaseHistory;
  /** Called with the epoch after the lease was acquired, with `undefined` after it was lost or released. */
  readonly onChange?: (epoch: number | undefined) => void;
}

export interface Lease {
  /** Starts to acquire the lease, then renews it until `release`. */
  acquire(): void;
  /**
   * Returns the epoch, which serves as fencing token, or `undefined` if the lease is not held at the
   * time of the call. The epoch is the version of the write that acquired the lease: renewals keep it,
   * and every later holder has a higher one.
   */
  epochIfHeld(): number | undefined;
  /** Gives up the lease at once and lets another holder acquire it without waiting for its expiry. */
  release(): Promise<void>;
}

interface LeaseValue {
  readonly holder: string;
  /** Random id of the process that wrote the value. */
  readonly instance: string;
  /** `null` in the write that acquires the lease: the version of that write becomes the epoch. */
  readonly epoch: number | null;
  readonly released: boolean;
}

interface Held {
  readonly epoch: number;
  readonly version: number;
  readonly validUntilMonotonicMs: number;
  readonly renewedAtMonotonicMs: number;
  /** Expiry by the wall clock, because the monotonic clock stands still while a VM is suspended. */
  readonly validUntilWallClockMs: number;
}

/** Time at which a write was sent, by both clocks. */
interface SentTime {
  readonly monotonicMs: number;
  readonly wallClockMs: number;
}

interface LeaseState {
  held: Held | undefined;
  /** Version last read from another holder, and the monotonic time at which it was first read. */
  lastSeen: { readonly version: number; readonly since: number } | undefined;
  /** Monotonic time until which this process holds, or last held, the lease. */
  ownUntilMonotonicMs: number;
  /** Epoch last passed to `onChange`. */
  announcedEpoch: number | undefined;
  stopController: AbortController | undefined;
  /** Set during a release, so that a write which completes meanwhile does not revive the lease. */
  isReleasing: boolean;
  loop: Promise<void>;
}

/** Creates a lease. Nothing is written before `acquire`. */
export function createLease(options: LeaseOptions): Lease {
  const { objectApi, key, holder, telemetry } = options;
  const history = options.history ?? COMPLETE_HISTORY;
  const metrics = createLeaseMetrics(telemetry.metrics.registry);
  const instance = randomUUID();
  /** Send times by write id. Timed-out writes are kept too, because they can still take effect. */
  const sentTimes = new Map<string, SentTime>();
  const state: LeaseState = {
    held: undefined,
    lastSeen: undefined,
    ownUntilMonotonicMs: -Infinity,
    announcedEpoch: undefined,
    stopController: undefined,
    isReleasing: false,
    loop: Promise.resolve(),
  };

  const epochIfHeld = (): number | undefined => {
    const { held } = state;
    if (held === undefined || monotonicMs() >= held.validUntilMonotonicMs) return undefined;
    if (!history.isCurrent(held.version)) return undefined;
    return Date.now() < held.validUntilWallClockMs ? held.epoch : undefined;
  };

  const announceChange = (): void => {
    const epoch = epochIfHeld();
    if (epoch === state.announcedEpoch) return;
    if (state.announcedEpoch !== undefined)
      telemetry.log('leaseLost', { key, epoch: state.announcedEpoch });
    if (epoch !== undefined) telemetry.log('leaseAcquired', { key, epoch });
    state.announcedEpoch = epoch;
    options.onChange?.(epoch);
  };

  const reportFailure = (error: RouterError): void => {
    metrics.failures.inc({ kind: error.kind });
    telemetry.log('leaseCallFailed', { key, error: error.message });
  };

  /** Records the lease as held if this process wrote the object and is not releasing it. */
  const adoptIfOwnWrite = (object: StoredObject): void => {
    const sent = sentTimes.get(object.writeId);
    const value = object.value as LeaseValue;
    if (sent === undefined || value.released || state.isReleasing) return;
    // A write from before the store lost writes may have been followed by another holder's.
    if (monotonicMs() - sent.monotonicMs > history.lostWritesAgoMs()) return;
    state.held = {
      epoch: value.epoch ?? object.version,
      version: object.version,
      validUntilMonotonicMs: sent.monotonicMs + LEASE_VALIDITY_MS - SAFETY_MARGIN_MS,
      validUntilWallClockMs: sent.wallClockMs + LEASE_VALIDITY_MS - SAFETY_MARGIN_MS,
      renewedAtMonotonicMs: sent.monotonicMs,
    };
    state.ownUntilMonotonicMs = state.held.validUntilMonotonicMs;
    for (const [writeId, time] of sentTimes) {
      if (time.monotonicMs < sent.monotonicMs) sentTimes.delete(writeId);
    }
  };

  const write = async (epoch: number | null, ifVersion: number | undefined): Promise<boolean> => {
    const writeId = randomUUID();
    const value: LeaseValue = { holder, instance, epoch, released: false };
    const condition = ifVersion === undefined ? { ifAbsent: true } : { ifVersion };
    sentTimes.set(writeId, { monotonicMs: monotonicMs(), wallClockMs: Date.now() });
    const result = await objectApi.put(key, value, { ...condition, writeId });
    result.match(adoptIfOwnWrite, reportFailure);
    return result.isOk();
  };

  const mayAcquire = (current: StoredObject): boolean => {
    const value = current.value as LeaseValue;
    if (value.released || value.instance === instance) return true;
    if (state.lastSeen?.version !== current.version) {
      state.lastSeen = { version: current.version, since: monotonicMs() };
    }
    return monotonicMs() - state.lastSeen.since >= LEASE_VALIDITY_MS;
  };

  /** Whether another process may hold the lease by a write that the store has lost. */
  const mayBeHeldElsewhere = (): boolean =>
    history.lostWritesAgoMs() < LEASE_VALIDITY_MS && monotonicMs() >= state.ownUntilMonotonicMs;

  const readAndAcquire = async (): Promise<void> => {
    const read = await objectApi.get(key);
    if (read.isErr()) {
      reportFailure(read.error);
      return;
    }
    if (mayBeHeldElsewhere()) return;
    const current = read.value;
    if (current === undefined) {
      await write(null, undefined);
      return;
    }
    adoptIfOwnWrite(current);
    if (epochIfHeld() === undefined && mayAcquire(current)) await write(null, current.version);
  };

  /** Reads the object back after a failed renewal: its write id shows whether the write took effect. */
  const resolveRenewal = async (held: Held): Promise<void> => {
    const read = await objectApi.get(key);
    if (read.isErr()) return;
    const current = read.value;
    if (current !== undefined && sentTimes.has(current.writeId)) adoptIfOwnWrite(current);
    else if (current?.version !== held.version) {
      state.held = undefined;
      if (history.isCurrent(held.version)) state.ownUntilMonotonicMs = -Infinity;
    }
  };

  const renew = async (held: Held): Promise<void> => {
    if (!(await write(held.epoch, held.version))) await resolveRenewal(held);
  };

  const step = async (): Promise<void> => {
    const { held } = state;
    if (held !== undefined && epochIfHeld() !== undefined) await renew(held);
    else {
      state.held = undefined;
      await readAndAcquire();
    }
    announceChange();
  };

  const nextStepDelayMs = (): number => {
    if (state.held === undefined) return RETRY_INTERVAL_MS;
    const due = state.held.renewedAtMonotonicMs + RENEWAL_INTERVAL_MS - monotonicMs();
    return due > 0 ? due : RETRY_INTERVAL_MS;
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await step();
      await sleep(nextStepDelayMs(), signal);
    }
  };

  const markReleased = async (): Promise<void> => {
    const read = await objectApi.get(key);
    const current = read.isOk() ? read.value : undefined;
    const value = current?.value as LeaseValue | undefined;
    if (current === undefined || value?.instance !== instance || value.released) return;
    const released: LeaseValue = { ...value, released: true };
    const writeId = randomUUID();
    const result = await objectApi.put(key, released, { ifVersion: current.version, writeId });
    result.match(() => telemetry.log('leaseReleased', { key }), reportFailure);
  };

  const writeRelease = async (): Promise<void> => {
    await markReleased();
    state.isReleasing = false;
  };

  return {
    acquire: () => {
      if (state.stopController !== undefined) return;
      const stopController = new AbortController();
      state.stopController = stopController;
      state.loop = state.loop.then(() => run(stopController.signal));
    },
    epochIfHeld,
    release: async () => {
      if (state.stopController === undefined) return;
      state.stopController.abort();
      state.stopController = undefined;
      state.isReleasing = true;
      state.held = undefined;
      state.ownUntilMonotonicMs = -Infinity;
      announceChange();
      state.loop = state.loop.then(writeRelease);
      await state.loop;
    },
  };
}
