/** Seeded random numbers, so that a randomised run replays from its seed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { hash32 } from './hashing.js';

/** Source of random numbers passed to whatever makes random choices. */
export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
  /** Uniform integer in [0, bound). */
  below(bound: number): number;
  /** A random element, or `undefined` of an empty list. */
  pick<T>(items: readonly T[]): T | undefined;
}

const UNIT_STEPS = 2 ** 30;

/** Creates a generator; equal seeds give equal sequences. */
export function createRandom(seed: number): Random {
  // The generator's first numbers repeat the bits of a small seed, so the seed is hashed first.
  const generator = xoroshiro128plus(hash32(String(seed)));
  const below = (bound: number): number => uniformInt(generator, 0, bound - 1);
  return {
    next: () => below(UNIT_STEPS) / UNIT_STEPS,
    below,
    pick: (items) => (items.length === 0 ? undefined : items[below(items.length)]),
  };
}
