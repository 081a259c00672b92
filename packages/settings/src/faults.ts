/** Faults of settings and tables, each with its place and the remedy. */
import { createError, RouterError } from '@hibiscusbank/core';

/** One fault. `key` is absent when the whole section or line is at fault. */
export interface SettingsFault {
  readonly file: string;
  /** Line number from 1, when the fault belongs to a line. */
  readonly line: number | undefined;
  /** Section title without brackets; empty for lines before the first section. */
  readonly section: string;
  readonly key: string | undefined;
  /** Value found; `undefined` when it is missing or must not be shown. */
  readonly found: string | undefined;
  /** What is allowed there, or what to do. */
  readonly allowed: string;
}

/** Longest value shown in a message, in characters. */
const MAX_SHOWN_CHARS = 80;

const shorten = (text: string): string =>
  text.length > MAX_SHOWN_CHARS ? `${text.slice(0, MAX_SHOWN_CHARS)}...` : text;

/** Formats a fault as one line: `FILE:LINE: [section] key = "found": allowed`. */
export function formatFault(fault: SettingsFault): string {
  const place = fault.line === undefined ? fault.file : `${fault.file}:${fault.line}`;
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === undefined ? '' : ` ${fault.key}`;
  const found = fault.found === undefined ? '' : ` = ${JSON.stringify(shorten(fault.found))}`;
  return `${place}:${section}${key}${found}: ${fault.allowed}`;
}

/** An `invalid_settings` error that lists all faults, one a line. */
export function createFaultsError(faults: readonly SettingsFault[]): RouterError {
  return createError('invalid_settings', faults.map(formatFault).join('\n'), {
    info: { faults },
  });
}

/** The faults of an error made by `createFaultsError`; empty for other errors. */
export function listFaults(error: RouterError): readonly SettingsFault[] {
  const info = RouterError.info(error) as { faults?: readonly SettingsFault[] };
  return info.faults ?? [];
}
