/** `hibiscusbank explain-log`: prints the events of one request from the logs of nodes. */
import { readFile } from 'node:fs/promises';
import { createError, toError } from '@hibiscusbank/core';
import { command, option, restPositionals, string } from 'cmd-ts';
import type { CommandRunner } from './command-runner.js';
import { outputOptions } from './common-options.js';
import { printResult } from './output.js';

export interface LogEvent {
  /** Unix time in milliseconds, from the clock of the VM that wrote the line. */
  readonly time: number;
  readonly vm: string;
  readonly text: string;
  /** All fields of the line except time, VM, text, level, event and data centre. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Texts of node state events that can explain the outcome of a request. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'node started',
  'node draining',
  'node stopped',
  'configuration applied',
  'the store does not answer',
  'the store answers again',
  'upstream avoided after failures',
  'no upstream of a data centre answers; others are preferred',
]);

/** State events of a node are included from this time before the first event of the request. */
const CONTEXT_WINDOW_MS = 2_000;

/** Parses one line; text before the JSON, such as a log collector's prefix, is skipped. */
export function parseLogLine(line: string): LogEvent | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    const { time, vm, text, ...rest } = JSON.parse(line.slice(start)) as Record<string, unknown>;
    if (typeof time !== 'number' || typeof text !== 'string') return undefined;
    const { level, event, dataCentre, ...fields } = rest;
    return { time, vm: String(vm), text, fields };
  } catch {
    // The file may also contain log lines of other programs.
    return undefined;
  }
}

/**
 * Returns the events of a request, and the state events that its nodes logged shortly before and
 * during it, sorted by time.
 */
export function findRelatedEvents(
  events: readonly LogEvent[],
  request: string,
): readonly LogEvent[] {
  const requestEvents = events.filter(({ fields }) => fields.request === request);
  const vms = new Set(requestEvents.map(({ vm }) => vm));
  const times = requestEvents.map(({ time }) => time);
  const from = Math.min(...times) - CONTEXT_WINDOW_MS;
  const to = Math.max(...times);
  return events
    .filter((event) => {
      if (event.fields.request === request) return true;
      return (
        vms.has(event.vm) &&
        event.time >= from &&
        event.time <= to &&
        CONTEXT_EVENTS.has(event.text)
      );
    })
    .toSorted((a, b) => a.time - b.time);
}

function formatEvent({ time, vm, text, fields }: LogEvent, startedAt: number): string {
  const details = Object.entries(fields)
    .filter(([name]) => name !== 'request')
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
  return `${String(time - startedAt).padStart(7)} ms  ${vm}  ${text}  ${details}`.trimEnd();
}

async function readLog(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (thrown) {
    throw createError('invalid_request', `cannot read ${file}; check the path`, {
      cause: toError(thrown),
    });
  }
}

/** Creates `explain-log`. */
export function createExplainLogCommand(runner: CommandRunner) {
  return command({
    name: 'explain-log',
    description: 'Show the events of one request from the logs of the nodes.',
    args: {
      ...outputOptions,
      request: option({ type: string, long: 'request', description: 'id of the request' }),
      files: restPositionals({ type: string, displayName: 'file' }),
    },
    handler: (args) =>
      runner.run(args, async (output) => {
        if (args.files.length === 0) {
          throw createError('invalid_request', 'name at least one log file');
        }
        const texts = await Promise.all(args.files.map(readLog));
        const events = texts
          .flatMap((text) => text.split('\n'))
          .map(parseLogLine)
          .filter((event): event is LogEvent => event !== undefined);
        const relatedEvents = findRelatedEvents(events, args.request);
        if (relatedEvents.length === 0) {
          throw createError(
            'not_found',
            `no log line has request ${args.request}; give the logs of all nodes for the time of the request`,
          );
        }
        const startedAt =
          relatedEvents.find(({ fields }) => fields.request === args.request)?.time ?? 0;
        printResult(
          output,
          relatedEvents,
          relatedEvents.map((event) => formatEvent(event, startedAt)),
        );
      }),
  });
}
