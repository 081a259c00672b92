/** Checks a section against its fields. */
import * as v from 'valibot';
import type { SettingsFault } from './faults.js';
import type { Fields, Values } from './fields.js';
import { findNearest } from './nearest-name.js';
import type { IniFile, IniSection } from './read-ini.js';

/** Collects faults of one file. */
export interface FaultReport {
  readonly file: string;
  readonly faults: SettingsFault[];
}

/** Starts a report with the faults of the INI syntax. */
export function createFaultReport(ini: IniFile): FaultReport {
  return { file: ini.file, faults: [...ini.faults] };
}

/** Reports a fault of a key, at the key's line when it is there. */
export function reportKey(
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
    // An address can hold a password before its @.
    found: isSecret ? undefined : value?.text.replace(/.*@/s, '(hidden)@'),
    allowed: value === undefined ? `missing; ${allowed}` : allowed,
  });
}

/** Reports a fault of a whole section. */
export function reportSection(report: FaultReport, section: IniSection, allowed: string): void {
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
    reportKey(report, section, key, `unknown key; the nearest known key is "${nearest}"`, true);
  }
}

/** Reads a section. Returns `undefined` when a field is at fault; all faults are reported. */
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
      reportKey(report, section, key, field.allowed, field.isSecret);
    }
  }
  return isValid ? (values as Values<F>) : undefined;
}
