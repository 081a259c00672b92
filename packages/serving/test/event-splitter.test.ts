import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createEventSplitter } from '../src/event-splitter.js';

/** Splits a text at the given positions. */
function cut(text: string, positions: readonly number[]): Buffer[] {
  const bounds = [0, ...positions.map((at) => at % (text.length + 1)), text.length];
  bounds.sort((a, b) => a - b);
  return bounds.slice(1).map((end, index) => Buffer.from(text.slice(bounds[index], end)));
}

// A chunk can end anywhere, also within the separator of two events.
test('events are passed on unchanged and whole, however their bytes are divided', () => {
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom('id: 1\ndata: a', 'data: b\ndata: c', ':', ''), { maxLength: 6 }),
      fc.constantFrom('', 'id: 9', 'id: 9\n'),
      fc.array(fc.nat(), { maxLength: 20 }),
      (events, rest, positions) => {
        const whole = events.map((event) => `${event}\n\n`).join('');
        const splitter = createEventSplitter();
        const passed = cut(whole + rest, positions).map((chunk) => splitter.push(chunk));
        const text = passed.map((block) => block?.bytes.toString() ?? '').join('');
        expect(passed.every((block) => block?.bytes.toString().endsWith('\n\n') ?? true)).toBe(
          true,
        );
        // Whether a newline after a separator begins an event depends on where the chunks end.
        expect((whole + rest).startsWith(text)).toBe(true);
        expect(splitter.hasPartialEvent()).toBe(text.length < (whole + rest).length);
        if (!whole.includes('\n\n\n')) expect(text).toBe(whole);
      },
    ),
    { seed: 1, numRuns: 2_000 },
  );
});

test('the last id of events that arrive byte by byte is known', () => {
  const splitter = createEventSplitter();
  const blocks = [...'id: 7\ndata: a\n\nid: 8\ndata: b\n\n'].map((letter) =>
    splitter.push(Buffer.from(letter)),
  );
  expect(blocks.filter((block) => block !== undefined).map(({ lastId }) => lastId)).toEqual([
    '7',
    '8',
  ]);
});

// Each chunk of an endless event copied and searched all bytes before it, which blocked the node.
test('an event without end in chunks of one byte is too long after few bytes', () => {
  const splitter = createEventSplitter();
  let pushed = 0;
  while (!splitter.isEventTooLong() && pushed < 1_048_576) {
    splitter.push(Buffer.from('x'));
    pushed += 1;
  }
  expect(pushed).toBeLessThan(20_000);
});
