/** Structured logging of the events in the catalogue. */
import { Roarr } from 'roarr';
import { events } from './events.js';
import type { EventName, LogLevel } from './events.js';

export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Logs one event of the catalogue with its fields. */
export type Log = (event: EventName, fields?: LogFields) => void;

/** Receives each logged event. `context` holds the event number and all fields. */
export type LogSink = (
  level: LogLevel,
  context: Readonly<Record<string, unknown>>,
  text: string,
) => void;

/** Writes events through roarr to standard output; the default sink. */
export const writeToRoarr: LogSink = (level, context, text) => {
  Roarr[level](context as never, text);
};

/** Creates a logger that adds the fields of `context`, such as the VM, to each event. */
export function createLog(context: LogFields, sink: LogSink = writeToRoarr): Log {
  return (event, fields = {}) => {
    const definition = events[event];
    sink(definition.level, { event: definition.id, ...context, ...fields }, definition.text);
  };
}

/** A logger that discards all events. */
export const silentLog: Log = () => {};
