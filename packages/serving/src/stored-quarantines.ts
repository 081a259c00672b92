/**
 * Keeps quarantines in the platform's store, so that they outlive the processes. One entry holds all of
 * them; a node reads it when it starts, and few nodes write it when a quarantine changes.
 */
import { monotonicMs, rankByRendezvous, sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { isNonNegative } from './message-values.js';
import type { PartQuarantine } from './part-quarantine.js';
import type { EntryStore, StoredEntry } from './ports.js';
import { isQuarantine } from './quarantine-notices.js';
import type { QuarantinedParts } from './quarantine-notices.js';
import type { StoreEra } from './store-era.js';

const ENTRY_NAME = 'prompt-parts';
/** Nodes that write a change: the first at once, the others in case that it is gone. */
const WRITERS = 3;
const WRITER_DELAY_MS = 500;
/** Interval between two calls while the store is away. */
const RETRY_MS = 250;
/** Interval at which the first writer compares the entry with what it knows. */
const CHECK_INTERVAL_MS = 30_000;
/** Time for which a starting node waits for the store or a peer before it sends prompts to engines. */
const RESTORE_LIMIT_MS = 3_000;
/** Maximum size of the entry; the quarantines that were needed last are kept. */
const MAX_ENTRY_BYTES = 500_000;
/** Maximum number of ends that are stored for a quarantine. */
const MAX_STORED_ENDS = 3;

interface StoredQuarantine {
  readonly parts: readonly string[];
  readonly ends: readonly string[];
  readonly lengthMs: number;
  /** Start of the quarantine in Unix milliseconds, by the clock of the node that wrote it. */
  readonly startedAt: number;
}

export interface StoredQuarantinesOptions {
  readonly self: string;
  readonly store: EntryStore;
  readonly era: Pick<StoreEra, 'onChange'>;
  readonly quarantine: Pick<PartQuarantine, 'list' | 'adopt'>;
  /** Returns the names of the live peers. */
  readonly peers: () => readonly string[];
  readonly telemetry: Telemetry;
}

export interface StoredQuarantines {
  /** Whether this node knows what earlier processes stored. */
  isKnown(): boolean;
  /** Whether prompts must wait, since this node may still learn what was stored. */
  isWaiting(): boolean;
  /** Records that a peer which knows the stored quarantines has told this node of them. */
  markKnown(): void;
  /** Writes the quarantines after a change. */
  save(): void;
  run(signal: AbortSignal): Promise<void>;
}

interface ReadEntry {
  /** `undefined` before the first write. */
  readonly entry: StoredEntry | undefined;
  readonly stored: readonly QuarantinedParts[];
}

/** Text that differs when what is stored differs in more than the passing of time. */
function toSignature(quarantines: readonly Pick<QuarantinedParts, 'parts' | 'lengthMs'>[]): string {
  return quarantines
    .map(({ parts, lengthMs }) => `${[...parts].sort().join()} ${lengthMs}`)
    .sort()
    .join('\n');
}

function toStored({ parts, ends, lengthMs, ageMs }: QuarantinedParts): StoredQuarantine {
  return {
    parts,
    ends: ends.slice(-MAX_STORED_ENDS),
    lengthMs,
    startedAt: Math.round(Date.now() - ageMs),
  };
}

/** Returns the quarantines that fit into the entry. */
function selectStored(quarantines: readonly QuarantinedParts[]): readonly StoredQuarantine[] {
  let size = 0;
  return [...quarantines]
    .sort((a, b) => a.idleMs - b.idleMs)
    .map(toStored)
    .filter((stored) => {
      size += Buffer.byteLength(JSON.stringify(stored));
      return size <= MAX_ENTRY_BYTES;
    });
}

/**
 * Reads the quarantines of an entry. Nothing that is stored counts as forgotten, and a part whose age is
 * wrong because a clock was stepped is tried by one request at a time all the same.
 */
function decodeEntry({ value }: StoredEntry): readonly QuarantinedParts[] {
  const { quarantines } = (value ?? {}) as { readonly quarantines?: unknown };
  if (!Array.isArray(quarantines)) return [];
  return quarantines.flatMap((stored: Partial<StoredQuarantine> | null) => {
    const { parts, ends, lengthMs, startedAt } = stored ?? {};
    if (!isNonNegative(lengthMs) || !isNonNegative(startedAt)) return [];
    const ageMs = Math.max(0, Date.now() - startedAt);
    const decoded = { parts, ends, lengthMs, ageMs, idleMs: 0 };
    return isQuarantine(decoded) ? [decoded] : [];
  });
}

/** Creates the access of one node. No calls are made before `run`. */
export function createStoredQuarantines(options: StoredQuarantinesOptions): StoredQuarantines {
  const { self, store, era, quarantine, telemetry } = options;
  const startedAt = monotonicMs();
  let hasRead = false;
  let isToldByPeer = false;
  let isSaving = false;
  let hasChanged = false;
  let isAdopting = false;
  let stopping: AbortSignal | undefined;

  const rank = (): number => rankByRendezvous(ENTRY_NAME, [self, ...options.peers()]).indexOf(self);

  /** Reads the entry and applies it. Returns `undefined` if the store is away. */
  const read = async (): Promise<ReadEntry | undefined> => {
    const result = await store.read(ENTRY_NAME);
    if (result.isErr() && result.error !== 'absent') return undefined;
    const entry = result.isOk() ? result.value : undefined;
    const stored = entry === undefined ? [] : decodeEntry(entry);
    isAdopting = true;
    stored.forEach(quarantine.adopt);
    isAdopting = false;
    if (!hasRead) telemetry.log('quarantinesRead', { quarantines: stored.length });
    hasRead = true;
    return { entry, stored };
  };

  /** Returns whether the entry holds what this node knows now. */
  const write = async (): Promise<boolean> => {
    const current = await read();
    if (current === undefined) return false;
    const { entry, stored } = current;
    const quarantines = selectStored(quarantine.list());
    if (toSignature(stored) === toSignature(quarantines)) return true;
    const written = await store.write(ENTRY_NAME, { quarantines }, entry);
    telemetry.log('quarantinesStored', {
      quarantines: quarantines.length,
      error: written.isErr() ? written.error : undefined,
    });
    return written.isOk();
  };

  /** Writes until the entry holds the last change, unless other nodes are to do so. */
  const saveChanges = async (): Promise<void> => {
    isSaving = true;
    await sleep(rank() * WRITER_DELAY_MS, stopping);
    while (hasChanged && stopping?.aborted !== true && rank() < WRITERS) {
      hasChanged = false;
      if (await write()) continue;
      hasChanged = true;
      await sleep(RETRY_MS, stopping);
    }
    isSaving = false;
  };

  const save = (): void => {
    if (isAdopting || rank() >= WRITERS) return;
    hasChanged = true;
    if (!isSaving && stopping !== undefined) void saveChanges();
  };

  const restore = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted && !hasRead) {
      if ((await read()) === undefined) await sleep(RETRY_MS, signal);
    }
  };

  const isKnown = (): boolean => hasRead || isToldByPeer;

  return {
    isKnown,
    isWaiting: () => !isKnown() && monotonicMs() - startedAt < RESTORE_LIMIT_MS,
    markKnown: () => {
      isToldByPeer = true;
    },
    save,
    run: async (signal) => {
      stopping = signal;
      era.onChange(save);
      await restore(signal);
      while (!signal.aborted) {
        await sleep(CHECK_INTERVAL_MS, signal);
        if (rank() === 0 && quarantine.list().length > 0) save();
      }
    },
  };
}
