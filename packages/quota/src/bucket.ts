/**
 * A token bucket whose capacity also covers tokens that left it but are not yet used: a hold keeps
 * their room until they are spent for certain. Balance and holds together never exceed the
 * capacity, so tokens in flight count towards the burst.
 */
import { monotonicMs } from '@hibiscusbank/core';
import { createRoomHistory } from './room-history.js';

/** Absorbs rounding of floating-point sums. */
export const TOKEN_EPSILON = 1e-6;

const MS_PER_S = 1_000;

/** Room kept for tokens in flight; `tokens` may shrink before the end. */
export interface Hold {
  tokens: number;
  readonly until: number;
}

export interface Bucket {
  ratePerS(): number;
  capacity(): number;
  /** Changes the limits from now on and drops what the new capacity cannot hold. */
  setLimits(ratePerS: number, capacity: number): void;
  balance(): number;
  /** Tokens that fit in without exceeding the capacity. */
  room(): number;
  /** Tokens in flight. */
  held(): number;
  /** Takes tokens and keeps their room for `holdMs`. The balance must suffice. */
  take(tokens: number, holdMs: number): Hold;
  /** Gives up part of the room that a hold keeps. */
  shrinkHold(hold: Hold, tokens: number): void;
  /** Adds what fits and returns it. */
  add(tokens: number): number;
  /**
   * Adds the part of the tokens that the bucket would still have if they had not been taken, and
   * returns it. `since` (monotonic ms) is the end of the hold that kept their room.
   */
  addBack(tokens: number, since: number): number;
  /** Removes and returns a part of the balance, from 0 to 1, without keeping room. */
  withdraw(part: number): number;
  /** Milliseconds until the balance reaches `tokens` by accrual; infinite while it has no room. */
  msUntil(tokens: number): number;
}

/** Creates an empty bucket. */
export function createBucket(ratePerS: number, capacity: number): Bucket {
  const state = { rate: ratePerS, capacity, tokens: 0, updatedAt: monotonicMs() };
  const history = createRoomHistory();
  let holds: Hold[] = [];
  let held = 0;

  const limit = (): number => Math.max(0, state.capacity - held);
  const roomNow = (): number => Math.max(0, limit() - state.tokens);

  const accrueTo = (time: number): void => {
    const accrued = (Math.max(0, time - state.updatedAt) / MS_PER_S) * state.rate;
    state.tokens = Math.max(
      Math.min(state.tokens, limit()),
      Math.min(limit(), state.tokens + accrued),
    );
    state.updatedAt = Math.max(state.updatedAt, time);
    history.record(state.updatedAt, roomNow());
  };

  const sumHolds = (): void => {
    held = holds.reduce((sum, hold) => sum + hold.tokens, 0);
  };

  const refill = (): number => {
    const now = monotonicMs();
    const expired = holds.filter((hold) => hold.until <= now);
    expired.sort((a, b) => a.until - b.until);
    for (const hold of expired) {
      accrueTo(hold.until);
      holds = holds.filter((other) => other !== hold);
      sumHolds();
    }
    accrueTo(now);
    return now;
  };

  const add = (tokens: number): number => {
    refill();
    const accepted = Math.max(0, Math.min(tokens, roomNow()));
    state.tokens += accepted;
    history.record(state.updatedAt, roomNow());
    return accepted;
  };

  return {
    ratePerS: () => state.rate,
    capacity: () => state.capacity,
    setLimits: (newRate, newCapacity) => {
      const now = refill();
      if (newRate === state.rate && newCapacity === state.capacity) return;
      state.rate = newRate;
      state.capacity = newCapacity;
      state.tokens = Math.min(state.tokens, limit());
      history.reset(now);
    },
    balance: () => {
      refill();
      return state.tokens;
    },
    room: () => {
      refill();
      return roomNow();
    },
    held: () => {
      refill();
      return held;
    },
    take: (tokens, holdMs) => {
      const now = refill();
      state.tokens = Math.max(0, state.tokens - tokens);
      const hold = { tokens, until: now + holdMs };
      holds.push(hold);
      sumHolds();
      return hold;
    },
    shrinkHold: (hold, tokens) => {
      refill();
      hold.tokens = Math.max(0, hold.tokens - tokens);
      if (hold.tokens <= TOKEN_EPSILON) holds = holds.filter((other) => other !== hold);
      sumHolds();
    },
    add,
    addBack: (tokens, since) => {
      refill();
      const accepted = Math.max(0, Math.min(tokens, roomNow(), history.leastSince(since)));
      state.tokens += accepted;
      history.lower(since, accepted);
      return accepted;
    },
    withdraw: (part) => {
      refill();
      const tokens = state.tokens * part;
      state.tokens -= tokens;
      return tokens;
    },
    msUntil: (tokens) => {
      refill();
      const missing = tokens - state.tokens;
      if (missing <= TOKEN_EPSILON) return 0;
      if (state.rate <= 0 || tokens > limit() + TOKEN_EPSILON) return Infinity;
      return (missing / state.rate) * MS_PER_S;
    },
  };
}
