/** Checks that engines hold nothing for requests that are long gone. */
import type { Disturbances } from './disturbances.js';
import type { FakeEngine, FakeEngines } from './fake-engines.js';
import type { Journal } from './journal.js';
import type { WorkChecks } from './work-checks.js';

const MAX_ORPHAN_MS = 10_000;

export interface HoldChecks {
  check(): void;
}

export interface HoldCheckOptions {
  readonly nowMs: () => number;
  readonly journal: Journal;
  readonly engines: FakeEngines;
  readonly work: WorkChecks;
  readonly disturbances: Disturbances;
}

/** Creates the check, which is to run every second. */
export function createHoldChecks(options: HoldCheckOptions): HoldChecks {
  const { nowMs, journal, engines, work, disturbances } = options;
  const lastFault = new Map<FakeEngine, number>();
  const reported = new Set<string>();

  const checkHold = (engine: FakeEngine, requestId: string, what: string): void => {
    const call = work.findCall(requestId);
    if (call === undefined || call.connection !== undefined) return;
    const goneAt = Math.max(
      call.endedAtMs ?? nowMs(),
      disturbances.lastSplitMs(),
      lastFault.get(engine) ?? 0,
    );
    if (nowMs() - goneAt <= MAX_ORPHAN_MS || reported.has(what)) return;
    reported.add(what);
    journal.fail('no_orphaned_hold', `${what}, call ${call.id} (${call.state}) is gone`);
  };

  return {
    check: () => {
      for (const engine of engines.list()) {
        if (!engine.up || engine.refusing || engine.core.gate.isClosed()) {
          lastFault.set(engine, nowMs());
        }
        if (engine.up) {
          for (const hold of engine.core.holds()) {
            const what = `${engine.entry.id} ${hold.kind} ${hold.requestId}/${hold.attempt}`;
            checkHold(engine, hold.requestId, what);
          }
        }
      }
    },
  };
}
