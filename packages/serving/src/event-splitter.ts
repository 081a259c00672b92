/** Splits a stream of server-sent events into whole events, without decoding them. */

const EVENT_END = '\n\n';
const ID_LINE = /^id:[ ]?(.*)$/gm;

export interface EventBlock {
  /** One or more whole events. */
  readonly bytes: Buffer;
  /** Id of the last of them, if it has one. */
  readonly lastId: string | undefined;
}

export interface EventSplitter {
  /** Returns the whole events that a chunk completes. */
  push(chunk: Buffer): EventBlock | undefined;
  /** Whether bytes of an unfinished event are left. */
  hasRest(): boolean;
}

function findLastId(bytes: Buffer): string | undefined {
  let last: string | undefined;
  for (const match of bytes.toString('latin1').matchAll(ID_LINE)) [, last] = match;
  return last?.trimEnd();
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer | undefined;
  return {
    push: (chunk) => {
      const bytes = rest === undefined ? chunk : Buffer.concat([rest, chunk]);
      const end = bytes.lastIndexOf(EVENT_END);
      if (end < 0) {
        rest = bytes;
        return undefined;
      }
      const cut = end + EVENT_END.length;
      rest = cut < bytes.length ? bytes.subarray(cut) : undefined;
      const whole = bytes.subarray(0, cut);
      return { bytes: whole, lastId: findLastId(whole) };
    },
    hasRest: () => rest !== undefined,
  };
}
