/** Keeps the log lines of recent requests, so that operators can look up how one was routed. */
import type { LogSink } from '@hibiscusbank/core';

/** Maximum number of requests whose lines are kept. The oldest are dropped first. */
const MAX_REQUESTS = 1_000;
const MAX_LINES_PER_REQUEST = 40;
/** Fields left out of the lines, since the request is known and the VM implies the data centre. */
const IMPLIED_FIELDS = new Set(['request', 'dataCentre']);

export interface RecentRequestLogs {
  /** Receives every log event. */
  readonly record: LogSink;
  /** Returns the lines about a request, oldest first. */
  find(request: string): readonly string[];
}

function formatLine(context: Readonly<Record<string, unknown>>, text: string): string {
  const { event, vm, ...fields } = context;
  const details = Object.entries(fields)
    .filter(([name, value]) => value !== undefined && !IMPLIED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [new Date().toISOString(), String(vm), String(event), text, ...details].join(' ');
}

export function createRecentRequestLogs(): RecentRequestLogs {
  const linesByRequest = new Map<string, string[]>();
  return {
    record: (_level, context, text) => {
      const { request } = context;
      if (typeof request !== 'string') return;
      const lines = linesByRequest.get(request) ?? [];
      linesByRequest.set(request, lines);
      if (lines.length < MAX_LINES_PER_REQUEST) lines.push(formatLine(context, text));
      const [oldest] = linesByRequest.keys();
      if (linesByRequest.size > MAX_REQUESTS && oldest !== undefined) linesByRequest.delete(oldest);
    },
    find: (request) => linesByRequest.get(request) ?? [],
  };
}
