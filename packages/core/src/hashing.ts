/** Hash functions whose results are the same on every node. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Returns the 32-bit xxHash of a text. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** Returns the 64-bit xxHash of a text as 16 hexadecimal digits. */
export function hash64(text: string): string {
  return hasher.h64ToString(text).padStart(16, '0');
}

/** The hasher copies its input into memory that never shrinks, so large inputs are passed in chunks. */
const HASH_CHUNK_BYTES = 65_536;

/** Returns the 64-bit xxHash of bytes as 16 hexadecimal digits. */
export function hashBytes64(bytes: Uint8Array): string {
  const hash = hasher.create64();
  for (let start = 0; start < bytes.length; start += HASH_CHUNK_BYTES)
    hash.update(bytes.subarray(start, start + HASH_CHUNK_BYTES));
  return hash.digest().toString(16).padStart(16, '0');
}

/**
 * Returns the candidates ordered by their rendezvous hash for a key, highest weight first. When a
 * candidate is removed, only the keys that ranked it first get another first candidate.
 */
export function rankByRendezvous<T extends string>(key: string, candidates: readonly T[]): T[] {
  const weighted = candidates.map((candidate) => ({
    candidate,
    weight: hash32(`${key}\u0000${candidate}`),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1));
  return weighted.map((entry) => entry.candidate);
}

/** Returns the highest-ranked candidate for a key, or `undefined` when there are no candidates. */
export function pickByRendezvous<T extends string>(
  key: string,
  candidates: readonly T[],
): T | undefined {
  let best: T | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const weight = hash32(`${key}\u0000${candidate}`);
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && candidate < best)) {
      best = candidate;
      bestWeight = weight;
    }
  }
  return best;
}

/** Characters per block of a prompt, which is about 1,000 tokens. */
export const PREFIX_BLOCK_CHARS = 4_000;

/** Maximum number of prefix hashes per prompt, which limits the size of a placement request. */
export const MAX_PREFIX_BLOCKS = 32;

/**
 * Returns one hash per complete block of the prompt, up to `MAX_PREFIX_BLOCKS`. Each hash covers
 * the text from the start of the prompt to the end of its block.
 */
export function hashPrefixes(prompt: string): number[] {
  const hashes: number[] = [];
  let previous = 0;
  const blocks = Math.min(Math.floor(prompt.length / PREFIX_BLOCK_CHARS), MAX_PREFIX_BLOCKS);
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_CHARS;
    previous = hash32(prompt.slice(start, start + PREFIX_BLOCK_CHARS), previous);
    hashes.push(previous);
  }
  return hashes;
}
