/** What a bench gives. */

export interface BenchOptions {
  readonly seed: number;
  /** Time of measurement. */
  readonly seconds: number;
  /** Prints a line for people. */
  readonly print: (line: string) => void;
}

export interface BenchResult {
  /** Fields of the last line of output. */
  readonly fields: Readonly<Record<string, unknown>>;
  /** Names of invariants that broke; empty when all held. */
  readonly broken: readonly string[];
}

export type Bench = (options: BenchOptions) => Promise<BenchResult>;
