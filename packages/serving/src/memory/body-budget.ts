/**
 * Bounds the memory of all bodies that callers are sending to this node. Designed for clients that are
 * not trusted: many large bodies at once that stop short of their end and stay open. A body reserves
 * its memory before it is read, so that the first bodies can always end; while memory is short, bodies
 * that stall are given up for others, the largest first.
 */
import { monotonicMs } from '@hibiscusbank/core';

/** Bodies up to this size use a part of the budget that larger ones cannot take. */
export const SMALL_BODY_BYTES = 65_536;
/** Fraction of the budget that is only for small bodies. */
const SMALL_SHARE = 0.25;
/** Time without a byte after which a body may be given up. */
const STALL_MS = 1_000;
/** Rate below which a body may be given up, once it has had time to show it. */
const MIN_BYTES_PER_S = 4_096;
const MIN_RATE_AFTER_MS = 2_000;
/** Memory that a body takes while it waits: one read of its socket. */
const WAITING_BYTES = 65_536;
const MS_PER_S = 1_000;

/** The memory of one body. */
export interface BodyHold {
  /** Extends the reservation to `bytes`. Returns false if there is no room now. */
  reserve(bytes: number): boolean;
  /** Records bytes that arrived. */
  recordProgress(bytes: number): void;
  /** Records that the body has arrived: it keeps its length, and is no longer given up for others. */
  complete(): void;
  release(): void;
}

export interface BodyBudget {
  /** Registers a body. `onGiveUp` is called once if it is given up for others. */
  open(onGiveUp: () => void): BodyHold;
  /** Begins a wait for room. Returns a function that ends it, `undefined` if too many wait. */
  beginWait(): (() => void) | undefined;
  reservedBytes(): number;
}

interface Held {
  bytes: number;
  received: number;
  readonly since: number;
  progressAt: number;
  isComplete: boolean;
  readonly onGiveUp: () => void;
}

function isStalled({ received, since, progressAt, isComplete }: Held): boolean {
  if (isComplete) return false;
  const now = monotonicMs();
  if (now - progressAt >= STALL_MS) return true;
  const ageMs = now - since;
  return ageMs >= MIN_RATE_AFTER_MS && (received * MS_PER_S) / ageMs < MIN_BYTES_PER_S;
}

/** Creates a budget of `totalBytes`. */
export function createBodyBudget(totalBytes: number): BodyBudget {
  const all = new Set<Held>();
  const reserved = { small: 0, large: 0 };
  let waiting = 0;
  const maxWaiting = Math.floor((totalBytes * SMALL_SHARE) / WAITING_BYTES);
  const limits = { small: totalBytes * SMALL_SHARE, large: totalBytes * (1 - SMALL_SHARE) };

  const classOf = (bytes: number): 'small' | 'large' =>
    bytes <= SMALL_BODY_BYTES ? 'small' : 'large';

  const resize = (held: Held, bytes: number): void => {
    reserved[classOf(held.bytes)] -= held.bytes;
    held.bytes = bytes;
    reserved[classOf(bytes)] += bytes;
  };

  const remove = (held: Held): void => {
    if (!all.delete(held)) return;
    reserved[classOf(held.bytes)] -= held.bytes;
  };

  /** Gives up stalled bodies, the largest first, until `bytes` more fit into their class. */
  const makeRoom = (bodyClass: 'small' | 'large', bytes: number, requester: Held): boolean => {
    const hasRoom = (): boolean => reserved[bodyClass] + bytes <= limits[bodyClass];
    if (hasRoom()) return true;
    const stalled = [...all]
      .filter((held) => held !== requester && classOf(held.bytes) === bodyClass && isStalled(held))
      .sort((a, b) => b.bytes - a.bytes);
    for (const held of stalled) {
      remove(held);
      held.onGiveUp();
      if (hasRoom()) return true;
    }
    return false;
  };

  return {
    open: (onGiveUp) => {
      const now = monotonicMs();
      const held: Held = {
        bytes: 0,
        received: 0,
        since: now,
        progressAt: now,
        isComplete: false,
        onGiveUp,
      };
      all.add(held);
      return {
        reserve: (bytes) => {
          if (bytes <= held.bytes) return true;
          if (!all.has(held)) return false;
          const bodyClass = classOf(bytes);
          const own = classOf(held.bytes) === bodyClass ? held.bytes : 0;
          if (!makeRoom(bodyClass, bytes - own, held)) return false;
          resize(held, bytes);
          return true;
        },
        recordProgress: (bytes) => {
          held.received += bytes;
          held.progressAt = monotonicMs();
        },
        complete: () => {
          held.isComplete = true;
          if (all.has(held)) resize(held, held.received);
        },
        release: () => remove(held),
      };
    },
    beginWait: () => {
      if (waiting >= maxWaiting) return undefined;
      waiting += 1;
      let isOver = false;
      return () => {
        if (!isOver) waiting -= 1;
        isOver = true;
      };
    },
    reservedBytes: () => reserved.small + reserved.large,
  };
}
