/**
 * Follows the requests of a node by the version that runs them: counts those in progress, and records
 * how they end as evidence on a running order.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId, RouteId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import { createEvidenceRecord, toBucket } from './evidence.js';
import type { EvidenceRecord, Metric, NodeEvidence } from './evidence.js';
import type { RolloutKey, RolloutOrder, UpstreamVersion, VersionedUpstream } from './types.js';

/** Time in which an upstream that just appeared is slower than usual. */
const WARM_UP_MS = 3_000;

/** Pauses between the first events of a stream from which its pace is measured. */
const PACE_PAUSES = 4;

/**
 * How a run ended: `answered` with a status below 500, `failed` with another or cut off; `none` says
 * nothing of the version, since the request did not run or its caller ended it.
 */
export type RunResult = 'answered' | 'failed' | 'none';

/** The prompt of a request counts as evidence, but not as a request of its own. */
export type RunKind = 'request' | 'prefill';

export interface VersionRun {
  /** Records that the response or its first event arrived. */
  recordFirst(): void;
  /** Records a pause between two events. The first ones tell the pace of the stream. */
  recordPause(ms: number): void;
  end(result: RunResult): void;
}

export interface RunningUpstream extends VersionedUpstream {
  readonly startedAt: number;
  /** Monotonic time until which the upstream is cold. */
  readonly coldUntil: number;
}

export interface VersionRuns {
  /** Counts a request that was admitted to a pool. */
  countRequest(pool: PoolId, route: RouteId): void;
  /** Records that a request is sent, or its prompt to be prefilled. */
  begin(upstream: RunningUpstream, route: RouteId, kind: RunKind): VersionRun;
  /** Returns the evidence of this node on an order. */
  report(order: RolloutOrder): NodeEvidence;
  setUpstreams(upstreams: readonly RunningUpstream[]): void;
  /** Drops the evidence on all orders except the given ones. */
  retain(orders: readonly RolloutOrder[]): void;
}

/** Creates the runs of one node. `findRunning` returns the order of a pool that has not ended. */
export function createVersionRuns(
  findRunning: (pool: PoolId) => RolloutOrder | undefined,
  telemetry: Telemetry,
): VersionRuns {
  const records = new Map<RolloutKey, EvidenceRecord>();
  const running = new Map<PoolId, Map<UpstreamVersion, number>>();
  const seenSince = new Map<UpstreamId, { readonly startedAt: number; readonly at: number }>();

  const recordOf = (order: RolloutOrder): EvidenceRecord => {
    const record = records.get(order.key) ?? createEvidenceRecord();
    records.set(order.key, record);
    return record;
  };

  const changeRunning = ({ pool, version }: VersionedUpstream, change: 1 | -1): void => {
    const counts = running.get(pool) ?? new Map<UpstreamVersion, number>();
    running.set(pool, counts);
    const count = (counts.get(version) ?? 0) + change;
    if (count === 0) counts.delete(version);
    else counts.set(version, count);
  };

  const isWarm = ({ id, startedAt, coldUntil }: RunningUpstream): boolean => {
    const seen = seenSince.get(id);
    const now = monotonicMs();
    return seen?.startedAt === startedAt && now - seen.at >= WARM_UP_MS && coldUntil <= now;
  };

  return {
    countRequest: (pool, route) => {
      const order = findRunning(pool);
      if (order !== undefined) recordOf(order).countRequest(route);
    },
    begin: (upstream, route, kind) => {
      const order = findRunning(upstream.pool);
      const isCandidate = upstream.version === order?.to;
      const wasWarm = isWarm(upstream);
      changeRunning(upstream, 1);
      if (order !== undefined && isCandidate && kind === 'request') recordOf(order).countSend();
      const beganAt = monotonicMs();
      let pauses = 0;
      let pausedMs = 0;
      let hasEnded = false;
      const record = (metric: Metric, bucket: number): void => {
        if (order === undefined || !records.has(order.key)) return;
        recordOf(order).record(route, isCandidate ? upstream.id : undefined, metric, bucket);
      };
      return {
        recordFirst: () => {
          if (wasWarm) record('first', toBucket(monotonicMs() - beganAt));
        },
        recordPause: (ms) => {
          pauses += 1;
          pausedMs += ms;
          if (wasWarm && pauses === PACE_PAUSES) record('pace', toBucket(pausedMs / PACE_PAUSES));
        },
        end: (result) => {
          if (hasEnded) return;
          hasEnded = true;
          changeRunning(upstream, -1);
          if (result === 'none') return;
          record('failure', result === 'failed' ? 1 : 0);
          if (order === undefined) return;
          const version = isCandidate ? 'new' : 'in_service';
          telemetry.metrics.versionAnswers.inc({ pool: upstream.pool, version, result });
        },
      };
    },
    report: (order) => {
      let inService = 0;
      for (const [version, count] of running.get(order.pool) ?? [])
        if (version !== order.to) inService += count;
      return recordOf(order).report(inService);
    },
    setUpstreams: (upstreams) => {
      const ids = new Set(upstreams.map(({ id }) => id));
      for (const id of seenSince.keys()) if (!ids.has(id)) seenSince.delete(id);
      for (const { id, startedAt } of upstreams) {
        if (seenSince.get(id)?.startedAt !== startedAt)
          seenSince.set(id, { startedAt, at: monotonicMs() });
      }
    },
    retain: (orders) => {
      const keys = new Set(orders.map(({ key }) => key));
      for (const key of records.keys()) if (!keys.has(key)) records.delete(key);
    },
  };
}
