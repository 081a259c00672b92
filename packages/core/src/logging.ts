/** Logs of numbered events through roarr. */
import { Roarr } from 'roarr';
import { events } from './events.js';
import type { EventName, LogLevel } from './events.js';

export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Logs one catalogued event with its fields. */
export type Log = (event: EventName, fields?: LogFields) => void;

/** Receives each event; the default writes through roarr to standard output. */
export type LogSink = (
  level: LogLevel,
  context: Readonly<Record<string, unknown>>,
  text: string,
) => void;

/** Writes through roarr to standard output. */
export const writeToRoarr: LogSink = (level, context, text) => {
  Roarr[level](context as never, text);
};

/** Creates a logger whose lines all carry `context` (VM, data centre). */
export function createLog(context: LogFields, sink: LogSink = writeToRoarr): Log {
  return (event, fields = {}) => {
    const definition = events[event];
    sink(definition.level, { event: definition.id, ...context, ...fields }, definition.text);
  };
}

/** A logger that drops everything. */
export const silentLog: Log = () => {};
