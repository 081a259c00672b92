/** Counts how often each attempt ran. */
import { attemptKey } from './types.js';
import type { AttemptRef } from './types.js';

/** The oldest attempts above this number are removed, which bounds the memory of long runs. */
const MAX_ATTEMPTS_KEPT = 50_000;

export interface RunLog {
  record(kind: 'prefill' | 'decode', ref: AttemptRef): void;
  read(): Readonly<Record<string, number>>;
  /** Returns the number of attempts that ran more than once. */
  repeated(): number;
}

/** Creates an empty log. */
export function createRunLog(): RunLog {
  const counts = new Map<string, number>();
  let repeated = 0;
  return {
    record: (kind, ref) => {
      const key = `${kind}/${attemptKey(ref)}`;
      const count = (counts.get(key) ?? 0) + 1;
      if (count === 2) repeated += 1;
      counts.set(key, count);
      const [oldest] = counts.keys();
      if (counts.size > MAX_ATTEMPTS_KEPT && oldest !== undefined) counts.delete(oldest);
    },
    read: () => Object.fromEntries(counts),
    repeated: () => repeated,
  };
}
