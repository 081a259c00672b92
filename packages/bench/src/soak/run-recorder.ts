/** Records the failures and event counts of a run. */

export interface RunRecorder {
  /** Records a violated requirement with the current time of the run. */
  fail(requirement: string, detail: string): void;
  failures(): readonly string[];
  /** Counts an event; the counts show what a run exercised. */
  count(name: string): void;
  counts(): Readonly<Record<string, number>>;
}

const MAX_FAILURES = 50;

export function createRunRecorder(nowMs: () => number): RunRecorder {
  const failures: string[] = [];
  const counts = new Map<string, number>();
  return {
    fail: (requirement, detail) => {
      if (failures.length >= MAX_FAILURES) return;
      failures.push(`${requirement} at ${Math.round(nowMs())} ms: ${detail}`);
    },
    failures: () => failures,
    count: (name) => {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    },
    counts: () => Object.fromEntries(counts),
  };
}
