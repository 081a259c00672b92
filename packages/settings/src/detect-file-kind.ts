/** Detects from the section titles whether an INI file holds settings, routes or pools. */
import { readIni } from './read-ini.js';

export type FileKind = 'settings' | 'routes' | 'pools';

const FILE_KIND_BY_SECTION_KIND: Readonly<Record<string, FileKind>> = {
  node: 'settings',
  platform: 'settings',
  limits: 'settings',
  operator: 'settings',
  route: 'routes',
  pool: 'pools',
  upstream: 'pools',
};

/** Returns the kind of file that most sections belong to, or `undefined` if no section is known. */
export function detectFileKind(text: string): FileKind | undefined {
  const sectionCounts = new Map<FileKind, number>();
  for (const { title } of readIni(text, '').sections) {
    const sectionKind = title.split(' ')[0] ?? '';
    const fileKind = Object.hasOwn(FILE_KIND_BY_SECTION_KIND, sectionKind)
      ? FILE_KIND_BY_SECTION_KIND[sectionKind]
      : undefined;
    if (fileKind !== undefined) sectionCounts.set(fileKind, (sectionCounts.get(fileKind) ?? 0) + 1);
  }
  return [...sectionCounts].sort((a, b) => b[1] - a[1])[0]?.[0];
}
