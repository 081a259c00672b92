/** Splits the section titles of a table into kind and name. */
import { ALLOWED_NAME, NAME_PATTERN } from './fields.js';
import { findNearest } from './nearest-name.js';
import type { IniFile, IniSection } from './read-ini.js';
import { reportSectionFault } from './read-section.js';
import type { FaultReport } from './read-section.js';

export interface NamedSection {
  readonly kind: string;
  readonly name: string;
  readonly section: IniSection;
}

function describeKinds(kinds: readonly string[]): string {
  return kinds.map((kind) => `[${kind} NAME]`).join(' or ');
}

/** Returns the sections with a title `KIND NAME` of the given kinds and reports all others. */
export function listNamedSections(
  report: FaultReport,
  ini: IniFile,
  kinds: readonly string[],
): NamedSection[] {
  const namedSections: NamedSection[] = [];
  for (const section of ini.sections) {
    const [kind = '', name = '', ...extraWords] = section.title.split(' ');
    if (!kinds.includes(kind)) {
      const nearest = findNearest(kind, kinds) ?? '';
      reportSectionFault(
        report,
        section,
        `unknown section; allowed is ${describeKinds(kinds)}; the nearest is [${nearest} NAME]`,
      );
    } else if (extraWords.length > 0 || !NAME_PATTERN.test(name)) {
      reportSectionFault(report, section, `write [${kind} NAME] with a name of ${ALLOWED_NAME}`);
    } else {
      namedSections.push({ kind, name, section });
    }
  }
  return namedSections;
}
