/** Differences of two tables as readable lines. */
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

/** Lines `- [removed]`, `+ [added]` and `~ [changed] key: from -> to`; none for equal tables. */
export function diffSections(
  before: readonly SectionText[],
  after: readonly SectionText[],
): string[] {
  const previous = new Map(before.map((section) => [section.title, section]));
  const titles = new Set(after.map(({ title }) => title));
  const removed = before.filter(({ title }) => !titles.has(title));
  return [
    ...removed.map(({ title }) => `- [${title}]`),
    ...after.flatMap((section) => {
      const earlier = previous.get(section.title);
      return earlier === undefined ? [`+ [${section.title}]`] : diffValues(earlier, section);
    }),
  ];
}

/** Differences of two routes tables. The order of routes has no meaning. */
export function diffRoutes(before: readonly RouteEntry[], after: readonly RouteEntry[]): string[] {
  return diffSections(before.map(formatRouteSection), after.map(formatRouteSection));
}

/** Differences of two pools tables with their upstreams. */
export function diffPools(before: readonly PoolEntry[], after: readonly PoolEntry[]): string[] {
  return diffSections(before.flatMap(formatPoolSections), after.flatMap(formatPoolSections));
}
