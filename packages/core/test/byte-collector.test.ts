import { expect, test } from 'vitest';
import { createByteCollector } from '../src/index.js';

// Memory that grows with the number of chunks exhausts the heap although the bytes are few.
test('the memory held is bounded by the bytes, not by the number of chunks', () => {
  const collector = createByteCollector();
  for (let count = 0; count < 100_000; count += 1) collector.append(Buffer.from('x'));
  expect(collector.length()).toBe(100_000);
  expect(collector.capacity()).toBeLessThanOrEqual(200_000);
  expect(collector.weight()).toBeGreaterThan(1_000_000);
});

test('bytes are returned in the order in which they arrived, and only once', () => {
  const collector = createByteCollector();
  collector.append(Buffer.from('ab'));
  collector.append(Buffer.alloc(3_000, 'c'));
  expect(collector.take().toString()).toBe(`ab${'c'.repeat(3_000)}`);
  expect(collector.length()).toBe(0);
  collector.append(Buffer.from('d'));
  expect(collector.take().toString()).toBe('d');
});

// The caller of `take` keeps the bytes while the next ones are collected.
test('bytes that were taken do not change afterwards', () => {
  const collector = createByteCollector();
  collector.append(Buffer.from('first'));
  const taken = collector.take();
  collector.append(Buffer.from('other'));
  expect(taken.toString()).toBe('first');
});
