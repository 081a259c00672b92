/** Writes log events as JSON lines without blocking on a slow reader. */
import type { LogSink } from '@hibiscusbank/core';

const FLUSH_INTERVAL_MS = 200;
/** Maximum number of lines buffered for a slow reader; further lines are dropped and counted. */
const MAX_BUFFERED_LINES = 2_000;
/**
 * Levels that are not written. Debug events occur in every step of a request; the other levels
 * suffice to trace it.
 */
const OMITTED_LEVELS: ReadonlySet<string> = new Set(['debug']);

export interface LineLog {
  readonly sink: LogSink;
  flush(): void;
}

export interface LineStream {
  write(text: string): boolean;
  readonly writableNeedDrain: boolean;
}

/** Creates a log that writes batches of lines to a stream. */
export function createLineLog(stream: LineStream): LineLog {
  let lines: string[] = [];
  let dropped = 0;
  // The timer runs only while lines are buffered, so that an idle process is not woken.
  let timer: NodeJS.Timeout | undefined;

  const write = (): void => {
    if (lines.length === 0 || stream.writableNeedDrain) return;
    if (dropped > 0) {
      lines.push(
        JSON.stringify({ time: Date.now(), level: 'warn', text: 'log lines dropped', dropped }),
      );
      dropped = 0;
    }
    stream.write(`${lines.join('\n')}\n`);
    lines = [];
  };

  const startTimer = (): void => {
    timer ??= setTimeout(() => {
      timer = undefined;
      write();
      if (lines.length > 0) startTimer();
    }, FLUSH_INTERVAL_MS).unref();
  };

  return {
    flush: write,
    sink: (level, context, text) => {
      if (OMITTED_LEVELS.has(level)) return;
      if (lines.length >= MAX_BUFFERED_LINES) {
        dropped += 1;
        return;
      }
      lines.push(JSON.stringify({ time: Date.now(), level, text, ...context }));
      startTimer();
    },
  };
}
