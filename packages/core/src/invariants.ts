/** Runtime checks of invariants. Violations are logged, counted and kept in memory. */
import type { Log } from './logging.js';
import type { Metrics } from './metrics.js';

export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

export interface Invariants {
  /**
   * Records a violation when `holds` is false. `detail` is called only in that case, so a check
   * that holds costs no formatting.
   */
  check(holds: boolean, invariant: string, detail: () => string): void;
  /** Returns the first `MAX_KEPT_VIOLATIONS` violations since the start, oldest first. */
  violations(): readonly Violation[];
}

/** Maximum number of violations kept in memory for tests and the status page. */
export const MAX_KEPT_VIOLATIONS = 100;

/** Creates the invariant checks of one node. */
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
