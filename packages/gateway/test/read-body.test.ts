import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { setImmediate } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect, test } from 'vitest';
import { readBody } from '../src/index.js';

const MEBIBYTE = 1_024 * 1_024;

function createIncoming(chunks: Iterable<Buffer> | AsyncIterable<Buffer>): IncomingMessage {
  return Object.assign(Readable.from(chunks), { headers: {} }) as unknown as IncomingMessage;
}

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}

// A caller's body in very small chunks took many times its length of the heap, up to the end of the process.
test('a body in chunks of one byte takes no more heap than its length', async () => {
  let heapBytes = 0;
  async function* createChunks(): AsyncGenerator<Buffer> {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    for (let count = 0; count < 400_000; count += 1) {
      yield Buffer.from([count % 256]);
      // Garbage is found only between two turns of the event loop.
      if (count % 10_000 === 0) await setImmediate();
    }
    await setImmediate();
    collectGarbage();
    heapBytes = process.memoryUsage().heapUsed - before;
  }
  const body = await readBody(createIncoming(createChunks()), MEBIBYTE);
  expect(body._unsafeUnwrap()).toHaveLength(400_000);
  expect(heapBytes).toBeLessThan(8 * MEBIBYTE);
});

test('a body in small chunks beyond the limit is refused', async () => {
  const chunks = Array.from({ length: 11 }, () => Buffer.from('ab'));
  const body = await readBody(createIncoming(chunks), 20);
  expect(body._unsafeUnwrapErr().kind).toBe('body_too_large');
});
