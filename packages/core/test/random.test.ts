import { createRandom } from '@hibiscusbank/core';
import { expect, test } from 'vitest';

test('first numbers for seeds 1 to 100 are spread over both halves of the range', () => {
  const firsts = Array.from({ length: 100 }, (_, i) => createRandom(i + 1).next());
  const lower = firsts.filter((first) => first < 0.5).length;
  expect(lower).toBeGreaterThan(25);
  expect(lower).toBeLessThan(75);
});

test('equal seeds give equal sequences', () => {
  const [a, b] = [createRandom(7), createRandom(7)];
  expect([a.next(), a.nextInt(9), a.next()]).toEqual([b.next(), b.nextInt(9), b.next()]);
});
