/** Invariants asserted at run time: a violation is logged, counted and kept for tests. */
import type { Log } from './logging.js';
import type { Metrics } from './metrics.js';

export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

export interface Invariants {
  /** Records a violation unless `holds`. `detail` runs only then, so that a check stays cheap. */
  check(holds: boolean, invariant: string, detail: () => string): void;
  /** The violations so far, oldest first, at most `MAX_KEPT_VIOLATIONS`. */
  violations(): readonly Violation[];
}

/** Violations kept in memory for tests and the status page. */
export const MAX_KEPT_VIOLATIONS = 100;

/** Creates the checker of one node. */
export function createInvariants(log: Log, metrics: Metrics): Invariants {
  const kept: Violation[] = [];
  return {
    check: (holds, invariant, detail) => {
      if (holds) return;
      const violation = { invariant, detail: detail() };
      log('invariantViolated', violation);
      metrics.invariantViolations.inc({ invariant });
      if (kept.length < MAX_KEPT_VIOLATIONS) kept.push(violation);
    },
    violations: () => kept,
  };
}
