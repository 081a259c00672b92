/** Leases on the object API: exclusive for a time, fenced by the version of their object. */
import { randomUUID } from 'node:crypto';
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { RouterError, Telemetry } from '@hibiscusbank/core';
import { createLeaseMetrics } from './metrics.js';
import type { ObjectApi, StoredObject } from './types.js';

/** How long a lease stays valid after its last renewal. */
export const LEASE_VALIDITY_MS = 15_000;
const RENEWAL_INTERVAL_MS = 5_000;
/** The holder stops this long before expiry, which covers differences between clocks. */
const SAFETY_MARGIN_MS = 3_000;
const RETRY_INTERVAL_MS = 1_000;

export interface LeaseOptions {
  readonly objectApi: Pick<ObjectApi, 'get' | 'put'>;
  /** Key of the lease's object, such as `leases/<cell>`. */
  readonly key: string;
  /** Name of the holder, such as its VM id. A restarted process counts as another holder. */
  readonly holder: string;
  readonly telemetry: Telemetry;
  /** Called after the lease was acquired (with its epoch) and after it was lost or released. */
  readonly onChange?: (epoch: number | undefined) => void;
}

export interface Lease {
  /** Starts to acquire the lease and to keep it until `release`. */
  acquire(): void;
  /**
   * The fencing token while the lease is held, by the clock at the time of the call. It is the
   * version of the write that acquired the lease, so it stays the same over renewals and every
   * later holder has a higher one.
   */
  epochIfHeld(): number | undefined;
  /** Stops acting as holder at once and lets another holder take over without waiting. */
  release(): Promise<void>;
}

interface LeaseValue {
  readonly holder: string;
  /** Process that wrote the value. */
  readonly instance: string;
  readonly epoch: number | null;
  readonly released: boolean;
}

interface Held {
  readonly epoch: number;
  readonly version: number;
  readonly validUntil: number;
  readonly renewedAt: number;
  /** Time of day at which it lapses; a suspended VM's monotonic clock does not count the pause. */
  readonly lapsesAt: number;
}

/** When a write was sent, by both clocks. */
interface SentTime {
  readonly monotonic: number;
  readonly timeOfDay: number;
}

interface LeaseState {
  held: Held | undefined;
  /** Last object of another holder, and when it was first seen by this clock. */
  seen: { readonly version: number; readonly since: number } | undefined;
  announced: number | undefined;
  contending: AbortController | undefined;
  /** A write that completes during the release must not revive the lease. */
  releasing: boolean;
  running: Promise<void>;
}

/** Creates a lease; nothing is written before `acquire`. */
export function createLease(options: LeaseOptions): Lease {
  const { objectApi, key, holder, telemetry } = options;
  const metrics = createLeaseMetrics(telemetry.metrics.registry);
  const instance = randomUUID();
  /** Times at which writes were sent, by write id: a write can take effect after its timeout. */
  const sentAt = new Map<string, SentTime>();
  const state: LeaseState = {
    held: undefined,
    seen: undefined,
    announced: undefined,
    contending: undefined,
    releasing: false,
    running: Promise.resolve(),
  };

  const epochIfHeld = (): number | undefined => {
    const { held } = state;
    if (held === undefined || monotonicMs() >= held.validUntil) return undefined;
    return Date.now() < held.lapsesAt ? held.epoch : undefined;
  };

  const announce = (): void => {
    const epoch = epochIfHeld();
    if (epoch === state.announced) return;
    if (state.announced !== undefined) telemetry.log('leaseLost', { key, epoch: state.announced });
    if (epoch !== undefined) telemetry.log('leaseAcquired', { key, epoch });
    state.announced = epoch;
    options.onChange?.(epoch);
  };

  const reportFailure = (error: RouterError): void => {
    metrics.failures.inc({ kind: error.kind });
    telemetry.log('leaseCallFailed', { key, error: error.message });
  };

  /** Takes an object that this process wrote as proof that it holds the lease. */
  const adopt = (object: StoredObject): void => {
    const sent = sentAt.get(object.writeId);
    const value = object.value as LeaseValue;
    if (sent === undefined || value.released || state.releasing) return;
    state.held = {
      epoch: value.epoch ?? object.version,
      version: object.version,
      validUntil: sent.monotonic + LEASE_VALIDITY_MS - SAFETY_MARGIN_MS,
      lapsesAt: sent.timeOfDay + LEASE_VALIDITY_MS - SAFETY_MARGIN_MS,
      renewedAt: sent.monotonic,
    };
    for (const [writeId, time] of sentAt) {
      if (time.monotonic < sent.monotonic) sentAt.delete(writeId);
    }
  };

  const write = async (epoch: number | null, ifVersion: number | undefined): Promise<boolean> => {
    const writeId = randomUUID();
    const value: LeaseValue = { holder, instance, epoch, released: false };
    const condition = ifVersion === undefined ? { ifAbsent: true } : { ifVersion };
    sentAt.set(writeId, { monotonic: monotonicMs(), timeOfDay: Date.now() });
    const result = await objectApi.put(key, value, { ...condition, writeId });
    result.match(adopt, reportFailure);
    return result.isOk();
  };

  const mayTakeOver = (current: StoredObject): boolean => {
    const value = current.value as LeaseValue;
    if (value.released || value.instance === instance) return true;
    if (state.seen?.version !== current.version) {
      state.seen = { version: current.version, since: monotonicMs() };
    }
    return monotonicMs() - state.seen.since >= LEASE_VALIDITY_MS;
  };

  const readAndTakeOver = async (): Promise<void> => {
    const read = await objectApi.get(key);
    if (read.isErr()) {
      reportFailure(read.error);
      return;
    }
    const current = read.value;
    if (current === undefined) {
      await write(null, undefined);
      return;
    }
    adopt(current);
    if (epochIfHeld() === undefined && mayTakeOver(current)) await write(null, current.version);
  };

  /** A renewal that failed may have taken effect; the object tells by its write id. */
  const resolveRenewal = async (expired: Held): Promise<void> => {
    const read = await objectApi.get(key);
    if (read.isErr()) return;
    const current = read.value;
    if (current !== undefined && sentAt.has(current.writeId)) adopt(current);
    else if (current?.version !== expired.version) state.held = undefined;
  };

  const renew = async (held: Held): Promise<void> => {
    if (!(await write(held.epoch, held.version))) await resolveRenewal(held);
  };

  const step = async (): Promise<void> => {
    const { held } = state;
    if (held !== undefined && epochIfHeld() !== undefined) await renew(held);
    else {
      state.held = undefined;
      await readAndTakeOver();
    }
    announce();
  };

  const nextPauseMs = (): number => {
    if (state.held === undefined) return RETRY_INTERVAL_MS;
    const due = state.held.renewedAt + RENEWAL_INTERVAL_MS - monotonicMs();
    return due > 0 ? due : RETRY_INTERVAL_MS;
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await step();
      await sleep(nextPauseMs(), signal);
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
    state.releasing = false;
  };

  return {
    acquire: () => {
      if (state.contending !== undefined) return;
      const contending = new AbortController();
      state.contending = contending;
      state.running = state.running.then(() => run(contending.signal));
    },
    epochIfHeld,
    release: async () => {
      if (state.contending === undefined) return;
      state.contending.abort();
      state.contending = undefined;
      state.releasing = true;
      state.held = undefined;
      announce();
      state.running = state.running.then(writeRelease);
      await state.running;
    },
  };
}
