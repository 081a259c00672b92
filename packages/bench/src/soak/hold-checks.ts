/** Checks that engines release the holds of ended requests in time. */
import type { FaultHistory } from './fault-history.js';
import type { FakeEngine, FakeEngines } from './fake-engines.js';
import type { RunRecorder } from './run-recorder.js';
import type { WorkChecks } from './work-checks.js';

const MAX_ORPHANED_HOLD_MS = 10_000;

export interface HoldChecks {
  check(): void;
}

export interface HoldCheckOptions {
  readonly nowMs: () => number;
  readonly recorder: RunRecorder;
  readonly engines: FakeEngines;
  readonly work: WorkChecks;
  readonly faultHistory: FaultHistory;
}

/** Creates the check; it must run every second. */
export function createHoldChecks(options: HoldCheckOptions): HoldChecks {
  const { nowMs, recorder, engines, work, faultHistory } = options;
  const lastEngineFaultMs = new Map<FakeEngine, number>();
  const reported = new Set<string>();

  const checkHold = (engine: FakeEngine, requestId: string, description: string): void => {
    const call = work.findCall(requestId);
    if (call === undefined || call.connection !== undefined) return;
    const orphanedSinceMs = Math.max(
      call.endedAtMs ?? nowMs(),
      faultHistory.lastPartitionOrPauseMs(),
      lastEngineFaultMs.get(engine) ?? 0,
    );
    if (nowMs() - orphanedSinceMs <= MAX_ORPHANED_HOLD_MS || reported.has(description)) return;
    reported.add(description);
    recorder.fail('no_orphaned_hold', `${description}, call ${call.id} (${call.state}) has ended`);
  };

  return {
    check: () => {
      for (const engine of engines.list()) {
        if (!engine.isUp || engine.refusing || engine.core.gate.isClosed()) {
          lastEngineFaultMs.set(engine, nowMs());
        }
        if (engine.isUp) {
          for (const hold of engine.core.holds()) {
            const description = `${engine.entry.id} ${hold.kind} ${hold.requestId}/${hold.attempt}`;
            checkHold(engine, hold.requestId, description);
          }
        }
      }
    },
  };
}
