/** Updates the slow start, latency and failure state of upstreams from release reports. */
import type { Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { CellState, GrantRecord } from './cell-state.js';
import { slotUpstream } from './cell-state.js';
import type { ReleaseReport } from './types.js';
import type { UpstreamState } from './upstream-state.js';

export interface HealthRecorder {
  recordPrefill(record: GrantRecord, report: ReleaseReport, now: number): void;
  recordRelease(record: GrantRecord, report: ReleaseReport, now: number): void;
  /** Takes an upstream out of service or returns it; a returned upstream restarts slow start. */
  setOutOfService(state: UpstreamState, outOfService: boolean, now: number): void;
}

/** Returns the latency per response or decoded token, so that requests of any length compare. */
function unitLatency(report: ReleaseReport): number | undefined {
  if (report.latencyMs !== undefined) return report.latencyMs;
  const { decodeMs, decodedTokens = 0 } = report;
  return decodeMs === undefined || decodedTokens === 0 ? undefined : decodeMs / decodedTokens;
}

/** Creates the recorder of one cell. */
export function createHealthRecorder(cell: CellState, telemetry: Telemetry): HealthRecorder {
  const restartSlowStart = (
    state: UpstreamState,
    reason: string,
    now: number,
    minLevel = 0,
  ): void => {
    state.slowStart.restart(now, minLevel);
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
      restartSlowStart(state, 'latency', now);
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
    recordPrefill: ({ allocation }, report, now) => {
      const { target } = allocation.grant;
      if (target.kind !== 'model') return;
      const tokens = (report.prefilledTokens ?? 0) - (report.cachedTokens ?? 0);
      const latency =
        report.prefillMs === undefined || tokens <= 0 ? undefined : report.prefillMs / tokens;
      // On an engine in both roles, a request is one success, which its release records.
      if (target.prefill.upstream === target.decode.upstream) return;
      recordSuccess(cell.upstream(target.prefill.upstream), latency, now);
    },
    recordRelease: ({ allocation }, report, now) => {
      const upstream = report.upstream ?? slotUpstream(allocation.grant.target);
      if (report.outcome === 'completed') {
        const server = slotUpstream(allocation.grant.target);
        recordSuccess(cell.upstream(server), unitLatency(report), now);
      }
      if (report.outcome === 'failed' || report.outcome === 'refused') recordFailure(upstream, now);
      const state = cell.upstream(upstream);
      if (report.outcome === 'cold' && state !== undefined)
        restartSlowStart(state, 'reported', now);
    },
    setOutOfService: (state, outOfService, now) => {
      if (state.outOfService === outOfService) return;
      state.outOfService = outOfService;
      if (outOfService) return;
      const wasWarm = !state.slowStart.isCold();
      // If the upstream was warm, only its caches are cold, so half the capacity is safe.
      restartSlowStart(state, 'returned', now, wasWarm ? Math.floor(state.entry.capacity / 2) : 0);
    },
  };
}
