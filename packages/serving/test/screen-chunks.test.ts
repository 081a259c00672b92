import { createTelemetry } from '@hibiscusbank/core';
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createCallerMemory } from '../src/memory/index.js';
import { classifyChunks } from '../src/memory/screen-chunks.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const limits = { chunks: 2_000, meanBytes: 64 };
const CHUNKED_HEAD =
  'POST /book/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n';
const LENGTH_HEAD = 'POST /book/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9000\r\n\r\n';
const createChunk = (size: number): string => `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
const tiny = createChunk(1);

const requests = [
  { name: '3,000 chunks of one byte', text: CHUNKED_HEAD + tiny.repeat(3_000), expected: 'small' },
  { name: 'a few chunks of one byte', text: CHUNKED_HEAD + tiny.repeat(10), expected: 'unknown' },
  {
    name: 'a whole body in chunks of one byte',
    text: `${CHUNKED_HEAD}${tiny.repeat(600)}0\r\n\r\n`,
    expected: 'other',
  },
  { name: 'chunks of 4 KiB', text: CHUNKED_HEAD + createChunk(4_096).repeat(4), expected: 'other' },
  { name: 'the head alone', text: CHUNKED_HEAD, expected: 'unknown' },
  { name: 'half a head', text: CHUNKED_HEAD.slice(0, 40), expected: 'unknown' },
  { name: 'a stated length', text: LENGTH_HEAD + tiny.repeat(3_000), expected: 'other' },
  { name: 'no chunk sizes', text: `${CHUNKED_HEAD}hello\r\nworld\r\n`, expected: 'other' },
  { name: 'a size line without end', text: CHUNKED_HEAD + '1'.repeat(70_000), expected: 'other' },
  { name: 'half a head without end', text: 'x'.repeat(70_000), expected: 'other' },
];

test.each(requests)('$name: $expected', ({ text, expected }) => {
  expect(classifyChunks(Buffer.from(text, 'latin1'), limits)).toBe(expected);
});

test('no body of larger chunks counts as one in small chunks, wherever its bytes are cut', () => {
  const sizes = fc.array(fc.integer({ min: 64, max: 200 }), { minLength: 1, maxLength: 400 });
  fc.assert(
    fc.property(sizes, fc.nat(60_000), (lengths, end) => {
      const text = CHUNKED_HEAD + lengths.map(createChunk).join('');
      expect(classifyChunks(Buffer.from(text.slice(0, end), 'latin1'), limits)).not.toBe('small');
    }),
    { seed: 10, numRuns: 300 },
  );
});

// Guards against bodies in small chunks that hold up ordinary callers by being parsed.
test('bodies in small chunks are accepted one at a time, and refused ones get a time of their own', () => {
  const { bodies } = createCallerMemory(
    undefined,
    createTelemetry({}, () => {}),
  );
  const first = Buffer.from(CHUNKED_HEAD + tiny.repeat(3_000));
  expect(bodies.screen(first)).toBe('accept');
  const answers = [bodies.screen(first), bodies.screen(first)].map((screening) =>
    typeof screening === 'object' ? screening.answer : screening,
  );
  expect(answers[0]).toMatch(/^HTTP\/1\.1 503 Service Unavailable\r\n/);
  expect(answers[0]).toContain('"outcome":"not_run"');
  const delays = answers.map((answer) => /\r\nretry-after: ([\d.]+)\r\n/.exec(answer)?.[1]);
  expect(delays).toEqual(['1.00', '1.25']);
  expect(bodies.screen(Buffer.from(LENGTH_HEAD))).toBe('accept');
  vi.advanceTimersByTime(250);
  expect(bodies.screen(first)).toBe('accept');
});
