/**
 * Passive health checks: judges upstreams by their responses, since active health checks cost
 * upstream capacity and can be wrong. Calls without any response also count against the data
 * centre, so that all upstreams of a partitioned data centre are avoided without a failed request to
 * each of them.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { DataCentreId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import { createFailureBackoff } from '@hibiscusbank/scheduler';
import type { FailureBackoff } from '@hibiscusbank/scheduler';

/** Weight of the newest outcome in the moving average of the failure rate. */
const NEWEST_OUTCOME_WEIGHT = 0.2;
/** Half-life of the failure rate while nothing is sent. */
const RATE_HALF_LIFE_MS = 4_000;
/**
 * Time after which another call may probe a failing upstream although the previous probe has not
 * ended. It is longer than the time-outs of prefills and reservations.
 */
const PROBE_LIMIT_MS = 2_000;

export interface UpstreamHealth {
  /** Returns the recent failure rate, 0 to 1. */
  failureRate(upstream: UpstreamId): number;
  /**
   * Whether the upstream or its data centre is avoided after several recent consecutive failures.
   */
  isEjected(upstream: LocatedUpstream): boolean;
  /** Records that a call is being sent; while it probes a failing upstream, others avoid it. */
  recordSend(upstream: LocatedUpstream): void;
  recordSuccess(upstream: LocatedUpstream): void;
  /** Records a failed call; `no_response` counts against the data centre too. */
  recordFailure(upstream: LocatedUpstream, response: 'answered' | 'no_response'): void;
  /** Drops the records of all upstreams except the given ones. */
  retain(upstreams: ReadonlySet<UpstreamId>): void;
}

/** An upstream and its data centre. */
export interface LocatedUpstream {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
}

interface HealthRecord {
  readonly backoff: FailureBackoff;
  rate: number;
  updatedAt: number;
}

/** Creates the health records of one node. */
export function createUpstreamHealth(telemetry: Telemetry): UpstreamHealth {
  const records = new Map<UpstreamId, HealthRecord>();
  const dataCentres = new Map<DataCentreId, FailureBackoff>();
  /** Start of the last probe of a failing upstream or data centre. */
  const probes = new WeakMap<FailureBackoff, number>();

  const recordOf = (upstream: UpstreamId): HealthRecord => {
    let record = records.get(upstream);
    if (record === undefined) {
      record = { backoff: createFailureBackoff(), rate: 0, updatedAt: monotonicMs() };
      records.set(upstream, record);
    }
    return record;
  };

  const decayedRate = ({ rate, updatedAt }: HealthRecord): number =>
    rate * 0.5 ** ((monotonicMs() - updatedAt) / RATE_HALF_LIFE_MS);

  const update = (record: HealthRecord, outcome: 0 | 1): void => {
    record.rate =
      decayedRate(record) * (1 - NEWEST_OUTCOME_WEIGHT) + outcome * NEWEST_OUTCOME_WEIGHT;
    record.updatedAt = monotonicMs();
  };

  const backoffOf = (dataCentre: DataCentreId): FailureBackoff => {
    const known = dataCentres.get(dataCentre) ?? createFailureBackoff();
    dataCentres.set(dataCentre, known);
    return known;
  };

  const isEjectedNow = (backoff: FailureBackoff | undefined): boolean => {
    const state = backoff?.state(monotonicMs());
    if (backoff === undefined || state !== 'probing') return state === 'ejected';
    return monotonicMs() < (probes.get(backoff) ?? -Infinity) + PROBE_LIMIT_MS;
  };

  const startProbe = (backoff: FailureBackoff | undefined): void => {
    if (backoff?.state(monotonicMs()) === 'probing') probes.set(backoff, monotonicMs());
  };

  return {
    failureRate: (upstream) => {
      const record = records.get(upstream);
      return record === undefined ? 0 : decayedRate(record);
    },
    isEjected: ({ id, dataCentre }) =>
      isEjectedNow(records.get(id)?.backoff) || isEjectedNow(dataCentres.get(dataCentre)),
    recordSend: ({ id, dataCentre }) => {
      startProbe(records.get(id)?.backoff);
      startProbe(dataCentres.get(dataCentre));
    },
    recordSuccess: ({ id, dataCentre }) => {
      const record = recordOf(id);
      record.backoff.recordSuccess();
      backoffOf(dataCentre).recordSuccess();
      update(record, 0);
    },
    recordFailure: ({ id, dataCentre }, response) => {
      const record = recordOf(id);
      const dataCentreBackoff = backoffOf(dataCentre);
      const wasEjected = isEjectedNow(record.backoff);
      const wasDataCentreEjected = isEjectedNow(dataCentreBackoff);
      record.backoff.recordFailure(monotonicMs());
      update(record, 1);
      if (response === 'no_response') dataCentreBackoff.recordFailure(monotonicMs());
      else dataCentreBackoff.recordSuccess();
      if (!wasEjected && isEjectedNow(record.backoff)) {
        telemetry.log('upstreamFailing', { upstream: id });
      }
      if (!wasDataCentreEjected && isEjectedNow(dataCentreBackoff))
        telemetry.log('dataCentreSilent', { place: dataCentre });
    },
    retain: (upstreams) => {
      for (const upstream of records.keys()) {
        if (!upstreams.has(upstream)) records.delete(upstream);
      }
    },
  };
}
