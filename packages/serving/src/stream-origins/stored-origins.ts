/**
 * Keeps in the platform's store what a node knows of the versions of streams, so that it outlives the process.
 * Each node writes one entry, and reads it when it starts.
 */
import { sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { EntryStore, StoredEntry } from '../ports.js';
import type { StoreEra } from '../store-era.js';
import { decodeOrigins } from './origin-messages.js';
import type { OriginNotice, StoredOrigins } from './origin-messages.js';

/** Interval between two writes of a node in a small fleet. */
const MIN_WRITE_INTERVAL_MS = 250;
/** The same for each node of the fleet, so that all nodes together write 100 times a second at most. */
const WRITE_INTERVAL_PER_NODE_MS = 10;
/** Interval between two calls while the store is away. */
const RETRY_MS = 250;
/** Interval at which a node notices that versions or streams have become old. */
const CHECK_INTERVAL_MS = 5_000;

export interface StoredOriginsOptions {
  readonly self: string;
  readonly store: EntryStore;
  readonly era: Pick<StoreEra, 'onChange'>;
  readonly fleetSize: () => number;
  /** Returns what is to be stored now. */
  readonly toStored: () => StoredOrigins;
  readonly onRead: (stored: Pick<OriginNotice, 'origins' | 'versions'>) => void;
  readonly telemetry: Telemetry;
}

export interface StoredOriginsAccess {
  /** Whether the node has read what an earlier process stored, or that there is nothing. */
  isRead(): boolean;
  /** Whether an earlier process of this node stored something. */
  wasFound(): boolean;
  /** Writes after a change, as soon as the interval permits. */
  save(): void;
  /** Reads what another node stored. Resolves to whether the store answered. */
  readOf(node: string): Promise<boolean>;
  /** Removes the entry of a node that has gone for good. */
  forget(node: string): Promise<void>;
  run(signal: AbortSignal): Promise<void>;
}

/** Creates the access of one node. No calls are made before `run`. */
export function createStoredOrigins(options: StoredOriginsOptions): StoredOriginsAccess {
  const { self, store, era, telemetry } = options;
  let isRead = false;
  let wasFound = false;
  let hasChanged = false;
  let current: StoredEntry | undefined;
  let writtenText = '';
  let wake = (): void => {};

  /** Reads the own entry. Returns whether the store answered. */
  const read = async (): Promise<boolean> => {
    const result = await store.read(self);
    if (result.isErr() && result.error !== 'absent') return false;
    current = result.isOk() ? result.value : undefined;
    return true;
  };

  const restore = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted && !isRead) {
      if (await read()) {
        const stored = decodeOrigins(current?.value);
        wasFound = current !== undefined;
        writtenText = JSON.stringify(current?.value ?? null);
        options.onRead(stored);
        telemetry.log('streamOriginsRead', {
          streams: stored.origins.length,
          versions: stored.versions.length,
        });
        isRead = true;
      } else await sleep(RETRY_MS, signal);
    }
  };

  /** Returns whether the entry holds what this node knows now. */
  const write = async (): Promise<boolean> => {
    const value = options.toStored();
    const text = JSON.stringify(value);
    if (text === writtenText) return true;
    const written = await store.write(self, value, current);
    if (written.isOk()) {
      current = written.value;
      writtenText = text;
      return true;
    }
    telemetry.log('streamOriginsNotStored', { error: written.error });
    await read();
    return false;
  };

  const save = (): void => {
    hasChanged = true;
    wake();
  };

  const waitForChange = async (signal: AbortSignal): Promise<void> => {
    if (hasChanged) return;
    const waiting = new AbortController();
    const stop = (): void => waiting.abort();
    signal.addEventListener('abort', stop, { once: true });
    wake = stop;
    await sleep(CHECK_INTERVAL_MS, waiting.signal);
    signal.removeEventListener('abort', stop);
  };

  return {
    isRead: () => isRead,
    wasFound: () => wasFound,
    save,
    readOf: async (node) => {
      const result = await store.read(node);
      if (result.isErr()) return result.error === 'absent';
      options.onRead(decodeOrigins(result.value.value));
      return true;
    },
    forget: async (node) => {
      const result = await store.read(node);
      if (result.isOk()) await store.remove(node, result.value);
    },
    run: async (signal) => {
      await restore(signal);
      era.onChange(() => {
        writtenText = '';
        save();
      });
      while (!signal.aborted) {
        await waitForChange(signal);
        hasChanged = false;
        const isWritten = signal.aborted || (await write());
        if (!isWritten) hasChanged = true;
        await sleep(
          Math.max(MIN_WRITE_INTERVAL_MS, options.fleetSize() * WRITE_INTERVAL_PER_NODE_MS),
          signal,
        );
      }
    },
  };
}
