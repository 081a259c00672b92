/** Seeded random numbers, so that a randomised run can be repeated from its seed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { hash32 } from './hashing.js';

/** Source of random numbers. */
export interface Random {
  /** Returns a number uniformly distributed in [0, 1). */
  next(): number;
  /** Returns an integer uniformly distributed in [0, bound). */
  nextInt(bound: number): number;
  /** Returns a random element, or `undefined` for an empty list. */
  pick<T>(items: readonly T[]): T | undefined;
}

/** Number of distinct values that `next` can return. */
const FLOAT_STEPS = 2 ** 30;

/** Creates a generator; equal seeds give equal sequences. */
export function createRandom(seed: number): Random {
  // The first outputs of the generator repeat the bits of small seeds, so the seed is hashed.
  const generator = xoroshiro128plus(hash32(String(seed)));
  const below = (bound: number): number => uniformInt(generator, 0, bound - 1);
  return {
    next: () => below(FLOAT_STEPS) / FLOAT_STEPS,
    nextInt: below,
    pick: (items) => (items.length === 0 ? undefined : items[below(items.length)]),
  };
}
