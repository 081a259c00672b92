/**
 * Verifies a streamed answer without parsing its JSON: each event must contain the next tokens of
 * the expected text, and the last one a finish reason.
 */
import { countRemaining, tokenText } from '../engine/answer-text.js';

export interface EventScanner {
  /** Scans the next piece of the stream and returns the number of tokens that it completes. */
  feed(piece: string): number;
  /** Discards a partial event, before the stream continues on another connection. */
  reconnect(): void;
  /** Returns the number of tokens received so far. */
  tokens(): number;
  /** Returns the id of the last event with a token. */
  lastEventId(): string | undefined;
  /** Returns why the answer is wrong, or `undefined`. */
  fault(): string | undefined;
  /** Returns the outcome that an error event gave. */
  errorOutcome(): 'not_run' | 'unknown' | undefined;
  /** Returns whether the answer is complete and correct. */
  isComplete(): boolean;
}

const ANY_TOKEN = /" [0-9a-f]{8}\.\d+/;
const FINISH_MARK = '"finish_reason":"';
const ERROR_EVENT = 'event: error';
const DONE_EVENT = 'data: [DONE]';
const ID_PREFIX = 'id: ';

/** Returns the number of tokens that an answer with this finish reason must have. */
function countExpected(tag: string, maxTokens: number, finishReason: string): number {
  if (finishReason === 'length') return maxTokens;
  return countRemaining({ tag, nextIndex: 0 }, maxTokens, true);
}

/** Creates the scanner for one answer. */
export function createEventScanner(tag: string, maxTokens: number): EventScanner {
  let partialEvent = '';
  let count = 0;
  let token = tokenText(tag, 0);
  let quotedToken = `"${token}`;
  let lastTokenEvent = '';
  let finishReason: string | undefined;
  let done = false;
  let fault: string | undefined;
  let errorOutcome: 'not_run' | 'unknown' | undefined;

  const recordFault = (description: string): void => {
    fault ??= `${description} at token ${count}`;
  };
  /** Returns the position after the last token in the event, or 0. */
  const scanTokens = (event: string): number => {
    let at = event.indexOf(quotedToken) + 1;
    if (at === 0) {
      if (ANY_TOKEN.test(event)) recordFault('unexpected token');
      return 0;
    }
    while (event.startsWith(token, at)) {
      at += token.length;
      count += 1;
      token = tokenText(tag, count);
    }
    quotedToken = `"${token}`;
    if (event[at] !== '"') recordFault('malformed token');
    lastTokenEvent = event;
    return at;
  };
  const scanEnd = (event: string, from: number): void => {
    const at = event.indexOf(FINISH_MARK, from);
    if (at === -1) return;
    const start = at + FINISH_MARK.length;
    finishReason = event.slice(start, event.indexOf('"', start));
    if (count !== countExpected(tag, maxTokens, finishReason))
      recordFault(`finish reason ${finishReason}`);
  };
  const scanEvent = (event: string): void => {
    if (event.startsWith(ERROR_EVENT)) {
      errorOutcome = event.includes('"outcome":"not_run"') ? 'not_run' : 'unknown';
      return;
    }
    if (event.startsWith(DONE_EVENT)) {
      done = true;
      return;
    }
    if (finishReason !== undefined && ANY_TOKEN.test(event)) recordFault('token after the end');
    scanEnd(event, scanTokens(event));
  };

  return {
    feed: (piece) => {
      const before = count;
      const text = partialEvent + piece;
      let start = 0;
      for (let end = text.indexOf('\n\n'); end !== -1; end = text.indexOf('\n\n', start)) {
        scanEvent(text.slice(start, end));
        start = end + 2;
      }
      partialEvent = text.slice(start);
      return count - before;
    },
    reconnect: () => {
      partialEvent = '';
    },
    tokens: () => count,
    lastEventId: () => {
      const at = lastTokenEvent.indexOf(ID_PREFIX);
      if (at === -1) return undefined;
      return lastTokenEvent.slice(at + ID_PREFIX.length, lastTokenEvent.indexOf('\n', at));
    },
    fault: () => fault,
    errorOutcome: () => errorOutcome,
    isComplete: () => done && finishReason !== undefined && fault === undefined,
  };
}
