/** Splits a stream of server-sent events at event boundaries, without decoding the events. */

import { createByteCollector } from '@hibiscusbank/core';

const EVENT_SEPARATOR = '\n\n';
const NEWLINE = 0x0a;
const ID_LINE = /^id:[ ]?(.*)$/gm;

/** Maximum weight of an event; events of a few tokens have some hundred bytes. */
const MAX_EVENT_BYTES = 1_048_576;

export interface EventBlock {
  /** One or more complete events. */
  readonly bytes: Buffer;
  /** Last event id in the block, if any. */
  readonly lastId: string | undefined;
}

export interface EventSplitter {
  /** Returns the events that a chunk completes, or `undefined` when it completes none. */
  push(chunk: Buffer): EventBlock | undefined;
  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean;
  /** Whether the incomplete event is longer than any event, so that it may never end. */
  isEventTooLong(): boolean;
}

function findLastId(bytes: Buffer): string | undefined {
  let last: string | undefined;
  for (const match of bytes.toString('latin1').matchAll(ID_LINE)) [, last] = match;
  return last?.trimEnd();
}

/** Creates a splitter for one stream. Each byte is copied and searched a bounded number of times. */
export function createEventSplitter(): EventSplitter {
  const partial = createByteCollector();
  let endsWithNewline = false;

  /** Returns the length of the part of a chunk that ends the last complete event, 0 for none. */
  const findEnd = (chunk: Buffer): number => {
    const last = chunk.lastIndexOf(EVENT_SEPARATOR);
    if (last >= 0) return last + EVENT_SEPARATOR.length;
    return endsWithNewline && chunk[0] === NEWLINE ? 1 : 0;
  };

  return {
    push: (chunk) => {
      if (chunk.length === 0) return undefined;
      const end = findEnd(chunk);
      endsWithNewline = end < chunk.length && chunk.at(-1) === NEWLINE;
      if (end === 0) {
        partial.append(chunk);
        return undefined;
      }
      let complete = chunk.subarray(0, end);
      if (partial.length() > 0) {
        partial.append(complete);
        complete = partial.take();
      }
      if (end < chunk.length) partial.append(chunk.subarray(end));
      return { bytes: complete, lastId: findLastId(complete) };
    },
    hasPartialEvent: () => partial.length() > 0,
    isEventTooLong: () => partial.weight() > MAX_EVENT_BYTES,
  };
}
