/** Independent random sequences from one seed. */
import { createRandom, hash32 } from '@hibiscusbank/core';
import type { Random } from '@hibiscusbank/core';

/**
 * Creates the random sequence for one purpose. The seed is hashed because the generator's first
 * values are all close to 1 for small seeds.
 */
export function createSeededRandom(seed: number, purpose: string): Random {
  return createRandom(hash32(`${purpose}/${seed}`));
}
