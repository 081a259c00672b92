/** Splits a stream of server-sent events at event boundaries, without decoding the events. */

const EVENT_SEPARATOR = '\n\n';
const ID_LINE = /^id:[ ]?(.*)$/gm;

/** Maximum size of an event; events of a few tokens have some hundred bytes. */
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

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let partial: Buffer | undefined;
  return {
    push: (chunk) => {
      const bytes = partial === undefined ? chunk : Buffer.concat([partial, chunk]);
      const end = bytes.lastIndexOf(EVENT_SEPARATOR);
      if (end < 0) {
        partial = bytes;
        return undefined;
      }
      const completeLength = end + EVENT_SEPARATOR.length;
      partial = completeLength < bytes.length ? bytes.subarray(completeLength) : undefined;
      const complete = bytes.subarray(0, completeLength);
      return { bytes: complete, lastId: findLastId(complete) };
    },
    hasPartialEvent: () => partial !== undefined,
    isEventTooLong: () => partial !== undefined && partial.length > MAX_EVENT_BYTES,
  };
}
