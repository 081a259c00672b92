import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { createMetrics, events } from '@hibiscusbank/core';

/** Returns the cells of each row of the table on a page, without the header. */
function readTable(page: string): string[][] {
  const text = readFileSync(new URL(`../../../docs/${page}`, import.meta.url), 'utf8');
  const rows = text
    .split('\n')
    .filter((line) => line.startsWith('|'))
    .map((line) =>
      line
        .slice(1, -1)
        .split('|')
        .map((cell) => cell.trim()),
    );
  return rows.slice(2);
}

test('docs/events.md lists exactly the events in the code; if not, run npm run docs:events', () => {
  const expected = Object.entries(events)
    .sort(([, a], [, b]) => a.id - b.id)
    .map(([name, { id, level, text }]) => [String(id), level, name, text]);
  expect(readTable('events.md')).toEqual(expected);
});

test('no two events have the same number', () => {
  const ids = Object.values(events).map(({ id }) => id);
  expect(new Set(ids).size).toBe(ids.length);
});

test('docs/metrics.md lists exactly the metrics in the code; if not, run npm run docs:metrics', () => {
  const metrics = createMetrics().registry.getMetricsAsArray() as unknown as {
    name: string;
    type: string;
    labelNames: readonly string[];
    help: string;
  }[];
  const expected = metrics.map(({ name, type, labelNames, help }) => [
    `\`${name}\``,
    type,
    labelNames.join(', ') || '-',
    help,
  ]);
  expect(readTable('metrics.md')).toEqual(expected);
});
