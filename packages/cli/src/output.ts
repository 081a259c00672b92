/** Output of commands: lines for people or one JSON value for scripts. */
import { RouterError } from '@hibiscusbank/core';

/** Where a command writes. */
export interface Output {
  /** Whether results are printed as JSON. */
  readonly json: boolean;
  /** Whether errors are printed with stacks and causes. */
  readonly debug: boolean;
  print(line: string): void;
  printError(line: string): void;
}

/** Prints a result: `value` as JSON, or the lines. */
export function present(output: Output, value: unknown, lines: readonly string[]): void {
  if (output.json) {
    output.print(JSON.stringify(value));
    return;
  }
  for (const line of lines) output.print(line);
}

/** Formats rows in columns under a header, two spaces apart. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (row: readonly string[]): string =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return [formatRow(header), ...rows.map(formatRow)];
}

/** Prints an error; stacks appear only with `--debug`. */
export function presentError(output: Output, error: RouterError): void {
  if (output.json) {
    const { kind, message } = error;
    output.printError(JSON.stringify({ error: { kind, message, ...RouterError.info(error) } }));
  } else {
    output.printError(error.message);
  }
  if (output.debug) output.printError(RouterError.fullStack(error));
}
