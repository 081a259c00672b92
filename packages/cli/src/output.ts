/** Output of commands: text lines for operators or one JSON value for scripts. */
import { RouterError } from '@hibiscusbank/core';

/** Output settings and sinks of a command. */
export interface Output {
  /** Whether results are printed as JSON. */
  readonly json: boolean;
  /** Whether errors are printed with stack traces and causes. */
  readonly debug: boolean;
  print(line: string): void;
  printError(line: string): void;
}

/** Prints a result: `value` as one line of JSON with `--json`, otherwise the lines. */
export function printResult(output: Output, value: unknown, lines: readonly string[]): void {
  if (output.json) {
    output.print(JSON.stringify(value));
    return;
  }
  for (const line of lines) output.print(line);
}

/** Formats rows as left-aligned columns under a header, separated by two spaces. */
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

/** Prints an error; stack traces are printed only with `--debug`. */
export function printErrorReport(output: Output, error: RouterError): void {
  if (output.json) {
    const { kind, message } = error;
    output.printError(JSON.stringify({ error: { kind, message, ...RouterError.info(error) } }));
  } else {
    output.printError(error.message);
  }
  if (output.debug) output.printError(RouterError.fullStack(error));
}
