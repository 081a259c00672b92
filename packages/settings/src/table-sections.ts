/** Splits the sections of a table into kinds and names. */
import { ALLOWED_NAME, NAME } from './fields.js';
import { findNearest } from './nearest-name.js';
import type { IniFile, IniSection } from './read-ini.js';
import { reportSection } from './read-section.js';
import type { FaultReport } from './read-section.js';

export interface NamedSection {
  readonly kind: string;
  readonly name: string;
  readonly section: IniSection;
}

function describeKinds(kinds: readonly string[]): string {
  return kinds.map((kind) => `[${kind} NAME]`).join(' or ');
}

/** Returns the sections titled `KIND NAME`; others are reported. */
export function listNamedSections(
  report: FaultReport,
  ini: IniFile,
  kinds: readonly string[],
): NamedSection[] {
  const named: NamedSection[] = [];
  for (const section of ini.sections) {
    const [kind = '', name = '', ...rest] = section.title.split(' ');
    if (!kinds.includes(kind)) {
      const nearest = findNearest(kind, kinds) ?? '';
      reportSection(
        report,
        section,
        `unknown section; allowed is ${describeKinds(kinds)}; the nearest is [${nearest} NAME]`,
      );
    } else if (rest.length > 0 || !NAME.test(name)) {
      reportSection(report, section, `write [${kind} NAME] with a name of ${ALLOWED_NAME}`);
    } else {
      named.push({ kind, name, section });
    }
  }
  return named;
}
