/** Judges upstreams by their answers, since health checks cost them capacity and can be wrong. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry, UpstreamId } from '@hibiscusbank/core';
import { createFailureBackoff } from '@hibiscusbank/scheduler';
import type { FailureBackoff } from '@hibiscusbank/scheduler';

/** Weight of the newest outcome in the failure rate. */
const RATE_WEIGHT = 0.2;
/** Time in which a failure rate halves while nothing is sent. */
const RATE_HALF_LIFE_MS = 4_000;

export interface UpstreamHealth {
  /** Recent failure rate, 0 to 1. */
  failureRate(upstream: UpstreamId): number;
  /** Whether it failed several times in a row a moment ago. */
  isEjected(upstream: UpstreamId): boolean;
  recordSuccess(upstream: UpstreamId): void;
  recordFailure(upstream: UpstreamId): void;
  /** Forgets upstreams that are gone. */
  retain(upstreams: ReadonlySet<UpstreamId>): void;
}

interface Record {
  readonly backoff: FailureBackoff;
  rate: number;
  updatedAt: number;
}

/** Creates the health of all upstreams as one node sees it. */
export function createUpstreamHealth(telemetry: Telemetry): UpstreamHealth {
  const records = new Map<UpstreamId, Record>();

  const read = (upstream: UpstreamId): Record => {
    let record = records.get(upstream);
    if (record === undefined) {
      record = { backoff: createFailureBackoff(), rate: 0, updatedAt: monotonicMs() };
      records.set(upstream, record);
    }
    return record;
  };

  const decayedRate = ({ rate, updatedAt }: Record): number =>
    rate * 0.5 ** ((monotonicMs() - updatedAt) / RATE_HALF_LIFE_MS);

  const update = (record: Record, outcome: 0 | 1): void => {
    record.rate = decayedRate(record) * (1 - RATE_WEIGHT) + outcome * RATE_WEIGHT;
    record.updatedAt = monotonicMs();
  };

  const isEjected = (upstream: UpstreamId): boolean =>
    records.get(upstream)?.backoff.state(monotonicMs()) === 'ejected';

  return {
    failureRate: (upstream) => {
      const record = records.get(upstream);
      return record === undefined ? 0 : decayedRate(record);
    },
    isEjected,
    recordSuccess: (upstream) => {
      const record = read(upstream);
      record.backoff.recordSuccess();
      update(record, 0);
    },
    recordFailure: (upstream) => {
      const record = read(upstream);
      const before = isEjected(upstream);
      record.backoff.recordFailure(monotonicMs());
      update(record, 1);
      if (!before && isEjected(upstream)) telemetry.log('upstreamFailing', { upstream });
    },
    retain: (upstreams) => {
      for (const upstream of records.keys()) {
        if (!upstreams.has(upstream)) records.delete(upstream);
      }
    },
  };
}
