/** Independent random sequences of one seed. */
import { createRandom, hash32 } from '@hibiscusbank/core';
import type { Random } from '@hibiscusbank/core';

/**
 * Creates the sequence of a purpose. The seed is hashed because small seeds give sequences whose
 * first values are all close to 1.
 */
export function createSeededRandom(seed: number, purpose: string): Random {
  return createRandom(hash32(`${purpose}/${seed}`));
}
