/** Updates slow start, latency and failure state of upstreams from reports. */
import type { Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { CellState, GrantRecord } from './cell-state.js';
import { slotUpstream } from './cell-state.js';
import type { ReleaseReport } from './types.js';
import type { UpstreamState } from './upstream-state.js';

export interface HealthRecorder {
  recordPrefill(record: GrantRecord, report: ReleaseReport, now: number): void;
  recordRelease(record: GrantRecord, report: ReleaseReport, now: number): void;
  /** Applies that an upstream is in or out of service. */
  setOut(state: UpstreamState, out: boolean, now: number): void;
}

/** Time of one unit of work, so that long and short requests compare. */
function unitLatency(report: ReleaseReport): number | undefined {
  if (report.latencyMs !== undefined) return report.latencyMs;
  const { decodeMs, decodedTokens = 0 } = report;
  return decodeMs === undefined || decodedTokens === 0 ? undefined : decodeMs / decodedTokens;
}

/** Creates the recorder of one cell. */
export function createHealthRecorder(cell: CellState, telemetry: Telemetry): HealthRecorder {
  const turnCold = (state: UpstreamState, reason: string, now: number, atLeast = 0): void => {
    state.slowStart.restart(now, atLeast);
    telemetry.log('upstreamTurnedCold', { upstream: state.entry.id, reason });
  };

  const recordSuccess = (
    state: UpstreamState | undefined,
    latency: number | undefined,
    now: number,
  ): void => {
    if (state === undefined) return;
    const wasCold = state.slowStart.isCold();
    state.backoff.recordSuccess();
    state.slowStart.recordSuccess(now);
    if (latency !== undefined && state.latency.record(latency, state.active.size)) {
      turnCold(state, 'latency', now);
    }
    if (wasCold && !state.slowStart.isCold()) {
      telemetry.log('upstreamWarm', { upstream: state.entry.id });
    }
  };

  const recordFailure = (upstream: UpstreamId, now: number): void => {
    const state = cell.upstream(upstream);
    if (state === undefined) return;
    const before = state.backoff.state(now);
    state.backoff.recordFailure(now);
    if (before === 'healthy' && state.backoff.state(now) !== 'healthy') {
      telemetry.log('upstreamFailing', { upstream });
    }
  };

  return {
    recordPrefill: ({ filed }, report, now) => {
      const { target } = filed.grant;
      if (target.kind !== 'model') return;
      const tokens = (report.prefilledTokens ?? 0) - (report.cachedTokens ?? 0);
      const latency =
        report.prefillMs === undefined || tokens <= 0 ? undefined : report.prefillMs / tokens;
      // An engine in both roles counts one success per request, at the release.
      if (target.prefill.upstream === target.decode.upstream) return;
      recordSuccess(cell.upstream(target.prefill.upstream), latency, now);
    },
    recordRelease: ({ filed }, report, now) => {
      const upstream = report.upstream ?? slotUpstream(filed.grant.target);
      if (report.outcome === 'completed') {
        const served = slotUpstream(filed.grant.target);
        recordSuccess(cell.upstream(served), unitLatency(report), now);
      }
      if (report.outcome === 'failed' || report.outcome === 'refused') recordFailure(upstream, now);
      const state = cell.upstream(upstream);
      if (report.outcome === 'cold' && state !== undefined) turnCold(state, 'reported', now);
    },
    setOut: (state, out, now) => {
      if (state.out === out) return;
      state.out = out;
      if (out) return;
      const ranBefore = !state.slowStart.isCold();
      // The process stayed warm and only its caches are cold, so half the capacity is safe.
      turnCold(state, 'returned', now, ranBefore ? Math.floor(state.entry.capacity / 2) : 0);
    },
  };
}
