import {
  hash64,
  hashBytes64,
  hashPrefixes,
  PREFIX_BLOCK_CHARS,
  rankByRendezvous,
} from '@hibiscusbank/core';
import { expect, test } from 'vitest';

test('removing a candidate changes the first rank only of keys that ranked it first', () => {
  const candidates = ['a', 'b', 'c', 'd'];
  const keys = Array.from({ length: 200 }, (_, i) => `key-${i}`);
  for (const key of keys) {
    const before = rankByRendezvous(key, candidates)[0];
    const after = rankByRendezvous(
      key,
      candidates.filter((candidate) => candidate !== 'c'),
    )[0];
    if (before !== 'c') expect(after).toBe(before);
  }
});

test('prompts that differ in one block share only the hashes of earlier blocks', () => {
  const shared = 'x'.repeat(PREFIX_BLOCK_CHARS);
  const first = hashPrefixes(shared + 'a'.repeat(PREFIX_BLOCK_CHARS));
  const second = hashPrefixes(shared + 'b'.repeat(PREFIX_BLOCK_CHARS));
  expect(first).toHaveLength(2);
  expect(first[0]).toBe(second[0]);
  expect(first[1]).not.toBe(second[1]);
});

// Guards against bodies above the size of a chunk that differ only behind it and get the same hash.
test('bytes have the hash of the text that they encode, whatever their length', () => {
  for (const length of [0, 1, 65_535, 65_536, 65_537, 200_000]) {
    const text = 'x'.repeat(length);
    expect(hashBytes64(Buffer.from(text))).toBe(hash64(text));
  }
});
