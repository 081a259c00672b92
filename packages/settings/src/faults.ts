/** Faults in settings and tables, with their location and how to correct them. */
import { createError, RouterError } from '@hibiscusbank/core';

/** One fault. `key` is `undefined` when the fault concerns a whole section or line. */
export interface SettingsFault {
  readonly file: string;
  /** Line number, starting at 1; `undefined` when the fault has no line. */
  readonly line: number | undefined;
  /** Section title without brackets; empty for lines before the first section. */
  readonly section: string;
  readonly key: string | undefined;
  /** Value in the file; `undefined` when it is missing or must not be shown. */
  readonly found: string | undefined;
  /** Allowed values, or how to correct the fault. */
  readonly allowed: string;
}

/** Longer values are cut in messages. */
const MAX_SHOWN_CHARS = 80;

const shorten = (text: string): string =>
  text.length > MAX_SHOWN_CHARS ? `${text.slice(0, MAX_SHOWN_CHARS)}...` : text;

/** Formats a fault as one line: `FILE:LINE: [section] key = "found": allowed`. */
export function formatFault(fault: SettingsFault): string {
  const location = fault.line === undefined ? fault.file : `${fault.file}:${fault.line}`;
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === undefined ? '' : ` ${fault.key}`;
  const found = fault.found === undefined ? '' : ` = ${JSON.stringify(shorten(fault.found))}`;
  return `${location}:${section}${key}${found}: ${fault.allowed}`;
}

/** Creates an `invalid_settings` error that lists all faults, one per line. */
export function createFaultsError(faults: readonly SettingsFault[]): RouterError {
  return createError('invalid_settings', faults.map(formatFault).join('\n'), {
    info: { faults },
  });
}

/** Returns the faults of an error from `createFaultsError`, or an empty list for other errors. */
export function listFaults(error: RouterError): readonly SettingsFault[] {
  const info = RouterError.info(error) as { faults?: readonly SettingsFault[] };
  return info.faults ?? [];
}
