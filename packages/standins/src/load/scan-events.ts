/**
 * Verifies a streamed answer without parsing its JSON: each event has to hold the next tokens of the
 * expected text, and the last one a finish reason.
 */
import { countRemaining, tokenText } from '../engine/answer-text.js';

export interface EventScanner {
  /** Scans a piece of the stream; returns the number of tokens in it. */
  feed(piece: string): number;
  /** Forgets a partial event, before the stream continues on another connection. */
  reconnect(): void;
  /** Tokens seen so far. */
  tokens(): number;
  /** Id of the last event with a token. */
  lastEventId(): string | undefined;
  /** Why the answer is wrong, or `undefined`. */
  fault(): string | undefined;
  /** Outcome given by an error event. */
  errorOutcome(): 'not_run' | 'unknown' | undefined;
  /** Whether the answer is whole. */
  isWhole(): boolean;
}

const ANY_TOKEN = /" [0-9a-f]{8}\.\d+/;
const FINISH_MARK = '"finish_reason":"';
const ERROR_EVENT = 'event: error';
const DONE_EVENT = 'data: [DONE]';
const ID_PREFIX = 'id: ';

/** The number of tokens that an answer with a finish reason has to have. */
function countExpected(tag: string, maxTokens: number, reason: string): number {
  if (reason === 'length') return maxTokens;
  return countRemaining({ tag, nextIndex: 0 }, maxTokens, true);
}

/** Creates the scanner of one answer. */
export function createEventScanner(tag: string, maxTokens: number): EventScanner {
  let rest = '';
  let count = 0;
  let token = tokenText(tag, 0);
  let quotedToken = `"${token}`;
  let lastTokenEvent = '';
  let reason: string | undefined;
  let done = false;
  let fault: string | undefined;
  let errorOutcome: 'not_run' | 'unknown' | undefined;

  const blame = (what: string): void => {
    fault ??= `${what} at token ${count}`;
  };
  /** Returns the position after the last token in the event, or 0. */
  const scanTokens = (event: string): number => {
    let at = event.indexOf(quotedToken) + 1;
    if (at === 0) {
      if (ANY_TOKEN.test(event)) blame('unexpected token');
      return 0;
    }
    while (event.startsWith(token, at)) {
      at += token.length;
      count += 1;
      token = tokenText(tag, count);
    }
    quotedToken = `"${token}`;
    if (event[at] !== '"') blame('malformed token');
    lastTokenEvent = event;
    return at;
  };
  const scanEnd = (event: string, from: number): void => {
    const at = event.indexOf(FINISH_MARK, from);
    if (at === -1) return;
    const start = at + FINISH_MARK.length;
    reason = event.slice(start, event.indexOf('"', start));
    if (count !== countExpected(tag, maxTokens, reason)) blame(`finish reason ${reason}`);
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
    if (reason !== undefined && ANY_TOKEN.test(event)) blame('token after the end');
    scanEnd(event, scanTokens(event));
  };

  return {
    feed: (piece) => {
      const before = count;
      const text = rest + piece;
      let start = 0;
      for (let end = text.indexOf('\n\n'); end !== -1; end = text.indexOf('\n\n', start)) {
        scanEvent(text.slice(start, end));
        start = end + 2;
      }
      rest = text.slice(start);
      return count - before;
    },
    reconnect: () => {
      rest = '';
    },
    tokens: () => count,
    lastEventId: () => {
      const at = lastTokenEvent.indexOf(ID_PREFIX);
      if (at === -1) return undefined;
      return lastTokenEvent.slice(at + ID_PREFIX.length, lastTokenEvent.indexOf('\n', at));
    },
    fault: () => fault,
    errorOutcome: () => errorOutcome,
    isWhole: () => done && reason !== undefined && fault === undefined,
  };
}
