import { PassThrough } from 'node:stream';
import type { IncomingMessage } from 'node:http';
import { createTelemetry } from '@hibiscusbank/core';
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createCallerMemory } from '../src/memory/index.js';
import { createBodySegments } from '../src/memory/body-segments.js';
import { createSegmentPool } from '../src/memory/segment-pool.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
  vi.restoreAllMocks();
});

const MEMORY_BYTES = 200 * 1_048_576;
const BODY_BYTES = 4_194_304;
const PIECE = Buffer.alloc(65_536, 'x');

test('a body is what was sent, whatever the chunks and the segments that it shares in turn', () => {
  const pool = createSegmentPool(1_000_000);
  const sizes = fc.array(fc.integer({ min: 0, max: 90_000 }), { maxLength: 12 });
  fc.assert(
    fc.property(sizes, fc.boolean(), (lengths, isStated) => {
      const chunks = lengths.map((length, index) => Buffer.alloc(length, index + 1));
      const sent = Buffer.concat(chunks);
      const refused = createBodySegments(pool, 0);
      refused.append(PIECE);
      const body = createBodySegments(pool, isStated ? sent.length : 0);
      chunks.forEach(body.append);
      refused.discard();
      expect(body.length()).toBe(sent.length);
      const taken = body.take();
      const next = createBodySegments(pool, 0);
      next.append(Buffer.alloc(300_000, 'n'));
      expect(taken.equals(sent)).toBe(true);
      next.discard();
    }),
    { seed: 6, numRuns: 200 },
  );
});

test('a body takes no memory before its bytes arrive', () => {
  const body = createBodySegments(createSegmentPool(1_000_000), BODY_BYTES);
  expect(body.capacity()).toBe(0);
  body.append(PIECE);
  expect(body.capacity()).toBe(65_536);
});

// Guards against bodies that stop short of their end, come back, and leave a buffer each to be collected.
test('bodies that never end use the same memory one after the other', async () => {
  let allocated = 0;
  const { allocUnsafeSlow } = Buffer;
  vi.spyOn(Buffer, 'allocUnsafeSlow').mockImplementation((size) => {
    allocated += size;
    return allocUnsafeSlow(size);
  });
  const machine = { memoryBytes: MEMORY_BYTES, maxDescriptors: 4_100 };
  const { bodies } = createCallerMemory(
    machine,
    createTelemetry({}, () => {}),
  );
  const refusals = Array.from({ length: 100 }, async () => {
    const incoming = Object.assign(new PassThrough(), {
      headers: { 'content-length': String(BODY_BYTES) },
    });
    const read = bodies.read(incoming as unknown as IncomingMessage, {
      maxBytes: BODY_BYTES,
      timeLimitMs: 14_000,
    });
    for (let left = BODY_BYTES - PIECE.length; left > 0; left -= PIECE.length)
      incoming.write(PIECE);
    return (await read).isErr();
  });
  for (let second = 0; second < 20; second += 1) await vi.advanceTimersByTimeAsync(1_000);
  expect((await Promise.all(refusals)).every(Boolean)).toBe(true);
  expect(allocated).toBeLessThan(0.12 * MEMORY_BYTES);
});
