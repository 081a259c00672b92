/** Reads the values of a section by its fields and collects faults. */
import * as v from 'valibot';
import type { SettingsFault } from './faults.js';
import type { Fields, Values } from './fields.js';
import { findNearest } from './nearest-name.js';
import type { IniFile, IniSection } from './read-ini.js';

/** Faults of one file found so far. */
export interface FaultReport {
  readonly file: string;
  readonly faults: SettingsFault[];
}

/** Creates a report that starts with the syntax faults of the file. */
export function createFaultReport(ini: IniFile): FaultReport {
  return { file: ini.file, faults: [...ini.faults] };
}

/** Reports a fault of a key at its line, or at the line of the section when the key is missing. */
export function reportKeyFault(
  report: FaultReport,
  section: IniSection,
  key: string,
  allowed: string,
  isSecret = false,
): void {
  const value = section.values.get(key);
  report.faults.push({
    file: report.file,
    line: value?.line ?? section.line,
    section: section.title,
    key,
    // An address can contain a password before the @.
    found: isSecret ? undefined : value?.text.replace(/.*@/s, '(hidden)@'),
    allowed: value === undefined ? `missing; ${allowed}` : allowed,
  });
}

/** Reports a fault of a whole section. */
export function reportSectionFault(
  report: FaultReport,
  section: IniSection,
  allowed: string,
): void {
  report.faults.push({
    file: report.file,
    line: section.line,
    section: section.title,
    key: undefined,
    found: undefined,
    allowed,
  });
}

/** Reports unknown keys without their values, since a misspelt key can hold a secret. */
function reportUnknownKeys(
  report: FaultReport,
  section: IniSection,
  known: readonly string[],
): void {
  for (const key of section.values.keys()) {
    if (known.includes(key)) continue;
    const nearest = findNearest(key, known) ?? '';
    reportKeyFault(
      report,
      section,
      key,
      `unknown key; the nearest known key is "${nearest}"`,
      true,
    );
  }
}

/** Reads the values of a section. Reports all faults and returns `undefined` if a field has one. */
export function readFields<F extends Fields>(
  report: FaultReport,
  section: IniSection,
  fields: F,
): Values<F> | undefined {
  const keys = Object.keys(fields);
  reportUnknownKeys(report, section, keys);
  const values: Record<string, unknown> = {};
  let isValid = true;
  for (const key of keys) {
    const field = fields[key]!;
    const parsed = v.safeParse(field.schema, section.values.get(key)?.text);
    if (parsed.success) {
      values[key] = parsed.output;
    } else {
      isValid = false;
      reportKeyFault(report, section, key, field.allowed, field.isSecret);
    }
  }
  return isValid ? (values as Values<F>) : undefined;
}
