/**
 * A token bucket that reserves capacity for tokens in flight, which were taken from it but may not
 * be used yet. A hold reserves this capacity until the tokens are certainly used or dropped. The
 * balance plus all holds never exceeds the capacity, so tokens in flight count towards the burst.
 */
import { monotonicMs } from '@hibiscusbank/core';
import { createFreeCapacityHistory } from './free-capacity-history.js';

/** Tolerance for rounding errors of floating-point sums. */
export const TOKEN_EPSILON = 1e-6;

const MS_PER_S = 1_000;

/** Capacity reserved for tokens in flight. `tokens` may be reduced before the hold expires. */
export interface Hold {
  tokens: number;
  readonly expiresAt: number;
}

export interface Bucket {
  ratePerS(): number;
  capacity(): number;
  /** Applies the limits from now on and drops the tokens that exceed the new capacity. */
  setLimits(ratePerS: number, capacity: number): void;
  balance(): number;
  /** Returns the number of tokens that can be added without exceeding the capacity. */
  freeCapacity(): number;
  /** Returns the sum of all holds. */
  inFlightTokens(): number;
  /** Takes tokens and holds their capacity for `holdMs`. The balance must suffice. */
  take(tokens: number, holdMs: number): Hold;
  /** Releases part of the capacity that a hold reserves. */
  reduceHold(hold: Hold, tokens: number): void;
  /** Adds the tokens that fit and returns their number. */
  add(tokens: number): number;
  /**
   * Adds those of the tokens that the bucket would still contain if they had not been taken, and
   * returns their number. `since` (monotonic ms) is the expiry of their hold.
   */
  refund(tokens: number, since: number): number;
  /** Removes a fraction of the balance, from 0 to 1, without a hold and returns the tokens. */
  withdrawFraction(fraction: number): number;
  /** Returns the milliseconds until the balance accrues to `tokens`; Infinity when it cannot. */
  msUntil(tokens: number): number;
}

/** Creates an empty bucket. */
export function createBucket(ratePerS: number, capacity: number): Bucket {
  const state = { rate: ratePerS, capacity, tokens: 0, updatedAt: monotonicMs() };
  const history = createFreeCapacityHistory();
  let holds: Hold[] = [];
  let inFlight = 0;

  const maxBalance = (): number => Math.max(0, state.capacity - inFlight);
  const freeCapacityNow = (): number => Math.max(0, maxBalance() - state.tokens);

  const accrueTo = (time: number): void => {
    const accrued = (Math.max(0, time - state.updatedAt) / MS_PER_S) * state.rate;
    state.tokens = Math.max(
      Math.min(state.tokens, maxBalance()),
      Math.min(maxBalance(), state.tokens + accrued),
    );
    state.updatedAt = Math.max(state.updatedAt, time);
    history.record(state.updatedAt, freeCapacityNow());
  };

  const updateInFlight = (): void => {
    inFlight = holds.reduce((sum, hold) => sum + hold.tokens, 0);
  };

  const refill = (): number => {
    const now = monotonicMs();
    const expired = holds.filter((hold) => hold.expiresAt <= now);
    expired.sort((a, b) => a.expiresAt - b.expiresAt);
    for (const hold of expired) {
      accrueTo(hold.expiresAt);
      holds = holds.filter((other) => other !== hold);
      updateInFlight();
    }
    accrueTo(now);
    return now;
  };

  const add = (tokens: number): number => {
    refill();
    const accepted = Math.max(0, Math.min(tokens, freeCapacityNow()));
    state.tokens += accepted;
    history.record(state.updatedAt, freeCapacityNow());
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
      state.tokens = Math.min(state.tokens, maxBalance());
      history.markFull(now);
    },
    balance: () => {
      refill();
      return state.tokens;
    },
    freeCapacity: () => {
      refill();
      return freeCapacityNow();
    },
    inFlightTokens: () => {
      refill();
      return inFlight;
    },
    take: (tokens, holdMs) => {
      const now = refill();
      state.tokens = Math.max(0, state.tokens - tokens);
      const hold = { tokens, expiresAt: now + holdMs };
      holds.push(hold);
      updateInFlight();
      return hold;
    },
    reduceHold: (hold, tokens) => {
      refill();
      hold.tokens = Math.max(0, hold.tokens - tokens);
      if (hold.tokens <= TOKEN_EPSILON) holds = holds.filter((other) => other !== hold);
      updateInFlight();
    },
    add,
    refund: (tokens, since) => {
      refill();
      const accepted = Math.max(
        0,
        Math.min(tokens, freeCapacityNow(), history.minimumSince(since)),
      );
      state.tokens += accepted;
      history.subtractSince(since, accepted);
      return accepted;
    },
    withdrawFraction: (fraction) => {
      refill();
      const tokens = state.tokens * fraction;
      state.tokens -= tokens;
      return tokens;
    },
    msUntil: (tokens) => {
      refill();
      const missing = tokens - state.tokens;
      if (missing <= TOKEN_EPSILON) return 0;
      if (state.rate <= 0 || tokens > maxBalance() + TOKEN_EPSILON) return Infinity;
      return (missing / state.rate) * MS_PER_S;
    },
  };
}
