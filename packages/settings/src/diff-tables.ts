/** Lists the differences between two tables as lines of text for operators. */
import { formatPoolSections } from './pools-table.js';
import { formatRouteSection } from './routes-table.js';
import type { PoolEntry, RouteEntry } from './types.js';
import type { SectionText } from './write-ini.js';

const ABSENT = '(none)';

function diffValues(before: SectionText, after: SectionText): string[] {
  const keys = [...new Set([...Object.keys(before.values), ...Object.keys(after.values)])];
  return keys
    .filter((key) => before.values[key] !== after.values[key])
    .map((key) => {
      const from = before.values[key] ?? ABSENT;
      const to = after.values[key] ?? ABSENT;
      return `~ [${before.title}] ${key}: ${from} -> ${to}`;
    });
}

/**
 * Returns the lines `- [removed]`, `+ [added]` and `~ [changed] key: from -> to`, or no lines for
 * equal tables.
 */
export function diffSections(
  before: readonly SectionText[],
  after: readonly SectionText[],
): string[] {
  const beforeByTitle = new Map(before.map((section) => [section.title, section]));
  const titles = new Set(after.map(({ title }) => title));
  const removed = before.filter(({ title }) => !titles.has(title));
  return [
    ...removed.map(({ title }) => `- [${title}]`),
    ...after.flatMap((section) => {
      const earlier = beforeByTitle.get(section.title);
      return earlier === undefined ? [`+ [${section.title}]`] : diffValues(earlier, section);
    }),
  ];
}

/** Returns the differences between two routes tables. The order of routes is ignored. */
export function diffRoutes(before: readonly RouteEntry[], after: readonly RouteEntry[]): string[] {
  return diffSections(before.map(formatRouteSection), after.map(formatRouteSection));
}

/** Returns the differences between two pools tables, including their upstreams. */
export function diffPools(before: readonly PoolEntry[], after: readonly PoolEntry[]): string[] {
  return diffSections(before.flatMap(formatPoolSections), after.flatMap(formatPoolSections));
}
