// Writes the tables of docs/events.md and docs/metrics.md from the code. Usage, after a build:
// node docs/update-tables.js events|metrics
import { readFileSync, writeFileSync } from 'node:fs';
import process from 'node:process';
import { URL } from 'node:url';
import { createMetrics, events } from '@hibiscusbank/core';

const formatTable = (header, rows) =>
  [header, header.map(() => '---'), ...rows].map((row) => `| ${row.join(' | ')} |`).join('\n');

const formatEvents = () =>
  formatTable(
    ['number', 'level', 'event', 'text'],
    Object.entries(events)
      .sort(([, a], [, b]) => a.id - b.id)
      .map(([name, { id, level, text }]) => [id, level, name, text]),
  );

const formatMetrics = () =>
  formatTable(
    ['metric', 'type', 'labels', 'meaning'],
    createMetrics()
      .registry.getMetricsAsArray()
      .map(({ name, type, labelNames, help }) => [
        `\`${name}\``,
        type,
        labelNames.join(', ') || '-',
        help,
      ]),
  );

const [, , page] = process.argv;
const formatters = { events: formatEvents, metrics: formatMetrics };
const path = new URL(`${page}.md`, import.meta.url);
const text = readFileSync(path, 'utf8');
const table = /(<!-- table -->\n)[\s\S]*(\n<!-- end of table -->)/;
if (!table.test(text)) throw new Error(`${page}.md lacks the marks of its table`);
writeFileSync(
  path,
  text.replace(table, (_, before, after) => `${before}\n${formatters[page]()}\n${after}`),
);
