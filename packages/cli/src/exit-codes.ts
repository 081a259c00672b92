/** Exit codes of the command. */
import type { ErrorKind } from '@hibiscusbank/core';

export const exitCodes = {
  done: 0,
  /** The command failed for a reason without a code of its own. */
  failed: 1,
  /** Wrong arguments, settings, tables or names. */
  wrongUsage: 2,
  /** Another operator changed the same object. */
  conflict: 3,
  /** The object API or the VM list does not answer. */
  platformUnavailable: 4,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const codesByKind: Partial<Record<ErrorKind, ExitCode>> = {
  invalid_settings: exitCodes.wrongUsage,
  invalid_request: exitCodes.wrongUsage,
  not_found: exitCodes.wrongUsage,
  conflict: exitCodes.conflict,
  platform_unavailable: exitCodes.platformUnavailable,
};

/** The exit code of an error. */
export function findExitCode(kind: ErrorKind): ExitCode {
  return codesByKind[kind] ?? exitCodes.failed;
}
