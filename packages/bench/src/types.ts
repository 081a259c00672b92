/** Options and results of a bench. */

export interface BenchOptions {
  readonly seed: number;
  /** Target duration of the bench. */
  readonly seconds: number;
  /** Prints a line of human-readable output. */
  readonly print: (line: string) => void;
}

export interface BenchResult {
  /** Fields of the JSON object in the last line of output. */
  readonly fields: Readonly<Record<string, unknown>>;
  /** Violated invariants with details; empty when all held. */
  readonly broken: readonly string[];
}

export type Bench = (options: BenchOptions) => Promise<BenchResult>;
