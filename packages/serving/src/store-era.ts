/**
 * Places in the history of the store. A store that was restored from a copy gives out revisions
 * again, so a revision names one change only within an era; each restoration begins a new era.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';

export interface StorePosition {
  /** Number of the era; 0 for a store that states none. */
  readonly era: number;
  readonly revision: number;
}

export const ORIGIN: StorePosition = { era: 0, revision: 0 };

/** Returns a negative number if `a` is before `b`, 0 if they are the same, else a positive one. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.era - b.era || a.revision - b.revision;
}

/** Returns the later of two positions, without other fields of its arguments. */
export function laterPosition(a: StorePosition, b: StorePosition): StorePosition {
  const { era, revision } = comparePositions(a, b) >= 0 ? a : b;
  return { era, revision };
}

/** Whether a value from a peer is a position. */
export function isPosition(value: unknown): value is StorePosition {
  const { era, revision } = (value ?? {}) as Partial<StorePosition>;
  return (
    typeof era === 'number' &&
    Number.isSafeInteger(era) &&
    era >= 0 &&
    typeof revision === 'number' &&
    Number.isSafeInteger(revision) &&
    revision >= 0
  );
}

/** The era of the store as far as this node knows, from any of its calls or from peers. */
export interface StoreEra {
  current(): number;
  /** Records the era of a response. Returns false for a response from before the current era. */
  observe(era: number): boolean;
  /** Calls the listener when an era begins. Returns a function that removes the listener. */
  onChange(listener: () => void): () => void;
  /** Returns the time since an era began, `Infinity` if this process knows only one. */
  sinceChangeMs(): number;
}

/** Creates the record of one node. */
export function createStoreEra(telemetry: Telemetry): StoreEra {
  let current: number | undefined;
  let changedAt = -Infinity;
  const listeners = new Set<() => void>();
  return {
    current: () => current ?? ORIGIN.era,
    observe: (era) => {
      const before = current;
      if (before !== undefined && era <= before) return era === before;
      current = era;
      if (before === undefined) return true;
      changedAt = monotonicMs();
      telemetry.metrics.storeEra.set(era);
      telemetry.log('storeRestored', { era, before });
      for (const listener of [...listeners]) listener();
      return true;
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    sinceChangeMs: () => monotonicMs() - changedAt,
  };
}
