/** What happened in a run, as the checks need it. */

export interface Journal {
  /** Records a broken requirement. */
  fail(requirement: string, detail: string): void;
  failures(): readonly string[];
  /** Counts something that a run is to have exercised. */
  count(name: string): void;
  counts(): Readonly<Record<string, number>>;
}

const MAX_FAILURES = 50;

/** Creates an empty journal; failures carry the time of the run. */
export function createJournal(nowMs: () => number): Journal {
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
