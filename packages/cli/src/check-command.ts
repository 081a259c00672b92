/** `hibiscusbank check`: checks settings and tables without contacting the platform. */
import { createError, unwrap } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import {
  createFaultsError,
  listFaults,
  parseNodeSettings,
  parseOperatorSettings,
  parsePools,
  parseRoutes,
  detectFileKind,
} from '@hibiscusbank/settings';
import type { FileKind, PoolEntry } from '@hibiscusbank/settings';
import type { Result } from 'neverthrow';
import { printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

export interface CheckArgs {
  readonly files: readonly string[];
  /** Kind of all files; detected from the sections of each file when `undefined`. */
  readonly kind: FileKind | undefined;
}

interface FileToCheck {
  readonly file: string;
  readonly text: string;
  readonly kind: FileKind;
}

async function readFileToCheck(
  file: string,
  args: CheckArgs,
  ports: Pick<CliPorts, 'readFile'>,
): Promise<FileToCheck> {
  const text = unwrap(await ports.readFile(file));
  const kind = args.kind ?? detectFileKind(text);
  if (kind === undefined) {
    throw createError(
      'invalid_settings',
      `${file}: no known section; add --as settings, --as routes or --as pools`,
    );
  }
  return { file, text, kind };
}

function checkFile(
  { file, text, kind }: FileToCheck,
  pools: readonly PoolEntry[] | undefined,
): Result<unknown, RouterError> {
  if (kind === 'pools') return parsePools(text, file);
  if (kind === 'routes')
    return parseRoutes(text, { file, ...(pools === undefined ? {} : { pools }) });
  return /^\s*\[\s*node\s*\]/m.test(text)
    ? parseNodeSettings(text, file)
    : parseOperatorSettings(text, file);
}

/**
 * Checks all files. Routes are also checked against the pools if pools files are given and valid.
 * Rejects with an error that lists the faults of all files.
 */
export async function checkFiles(
  args: CheckArgs,
  ports: Pick<CliPorts, 'readFile'>,
  output: Output,
): Promise<void> {
  const files: FileToCheck[] = [];
  for (const file of args.files) files.push(await readFileToCheck(file, args, ports));
  const poolsFiles = files.filter(({ kind }) => kind === 'pools');
  const parsed = poolsFiles.map(({ file, text }) => parsePools(text, file));
  const arePoolsValid = parsed.length > 0 && parsed.every((result) => result.isOk());
  const pools = arePoolsValid ? parsed.flatMap((result) => result.unwrapOr([])) : undefined;
  const faults = files
    .map((file) => checkFile(file, pools))
    .flatMap((result) => (result.isErr() ? listFaults(result.error) : []));
  if (faults.length > 0) throw createFaultsError(faults);
  printResult(
    output,
    files.map(({ file, kind }) => ({ file, kind })),
    files.map(({ file, kind }) => `${file}: ${kind}, no faults`),
  );
}
