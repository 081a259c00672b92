/** Exit codes of the command. */
import type { ErrorKind } from '@hibiscusbank/core';

export const exitCodes = {
  success: 0,
  /** The command failed for a reason that has no specific exit code. */
  failed: 1,
  /** Wrong arguments, settings, tables or names. */
  usageError: 2,
  /** Another operator changed the same object. */
  conflict: 3,
  /** The object API or the VM list does not respond. */
  platformUnavailable: 4,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const codesByKind: Partial<Record<ErrorKind, ExitCode>> = {
  invalid_settings: exitCodes.usageError,
  invalid_request: exitCodes.usageError,
  not_found: exitCodes.usageError,
  conflict: exitCodes.conflict,
  platform_unavailable: exitCodes.platformUnavailable,
};

/** Returns the exit code for an error kind. */
export function getExitCode(kind: ErrorKind): ExitCode {
  return codesByKind[kind] ?? exitCodes.failed;
}
