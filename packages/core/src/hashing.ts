/** Stable hashing: rendezvous ranks and prompt prefixes give the same result on every node. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** 32-bit hash of a text. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/**
 * Orders candidates by rendezvous hash for a key, highest weight first. Removing a candidate moves
 * only the keys that it held.
 */
export function rankByRendezvous<T extends string>(key: string, candidates: readonly T[]): T[] {
  const weighted = candidates.map((candidate) => ({
    candidate,
    weight: hash32(`${key}\u0000${candidate}`),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1));
  return weighted.map((entry) => entry.candidate);
}

/** Returns the first candidate by rendezvous hash, or `undefined` when there is none. */
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

/** Characters of a prompt covered by one prefix hash: one block of about 1,000 tokens. */
export const PREFIX_BLOCK_CHARS = 4_000;

/** Prefix hashes cover at most this many blocks, which bounds the size of a placement request. */
export const MAX_PREFIX_BLOCKS = 32;

/** Hashes of the prompt's prefixes, one per whole block, each covering all text before its end. */
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
