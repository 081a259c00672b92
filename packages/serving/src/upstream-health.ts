/**
 * Passive health checks: judges upstreams by their responses, since active health checks cost
 * upstream capacity and can be wrong. Calls without any response also count against the data
 * centre: when a data centre is partitioned, requests must not discover this at each of its
 * upstreams.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { DataCentreId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import { createFailureBackoff } from '@hibiscusbank/scheduler';
import type { FailureBackoff } from '@hibiscusbank/scheduler';

/** Weight of the newest outcome in the moving average of the failure rate. */
const RATE_WEIGHT = 0.2;
/** Half-life of the failure rate while nothing is sent. */
const RATE_HALF_LIFE_MS = 4_000;

export interface UpstreamHealth {
  /** Returns the recent failure rate, 0 to 1. */
  failureRate(upstream: UpstreamId): number;
  /**
   * Whether the upstream or its data centre is avoided after several recent consecutive failures.
   */
  isEjected(upstream: PlacedUpstream): boolean;
  recordSuccess(upstream: PlacedUpstream): void;
  /** Records a failed call; `no_response` counts against the data centre too. */
  recordFailure(upstream: PlacedUpstream, how: 'answered' | 'silent'): void;
  /** Drops the records of all upstreams except the given ones. */
  retain(upstreams: ReadonlySet<UpstreamId>): void;
}

/** An upstream and its data centre. */
export interface PlacedUpstream {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
}

interface Record {
  readonly backoff: FailureBackoff;
  rate: number;
  updatedAt: number;
}

/** Creates the health records of one node. */
export function createUpstreamHealth(telemetry: Telemetry): UpstreamHealth {
  const records = new Map<UpstreamId, Record>();
  const dataCentres = new Map<DataCentreId, FailureBackoff>();

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

  const readDataCentre = (dataCentre: DataCentreId): FailureBackoff => {
    const known = dataCentres.get(dataCentre) ?? createFailureBackoff();
    dataCentres.set(dataCentre, known);
    return known;
  };

  const isAvoided = (backoff: FailureBackoff | undefined): boolean =>
    backoff?.state(monotonicMs()) === 'ejected';

  return {
    failureRate: (upstream) => {
      const record = records.get(upstream);
      return record === undefined ? 0 : decayedRate(record);
    },
    isEjected: ({ id, dataCentre }) =>
      isAvoided(records.get(id)?.backoff) || isAvoided(dataCentres.get(dataCentre)),
    recordSuccess: ({ id, dataCentre }) => {
      const record = read(id);
      record.backoff.recordSuccess();
      readDataCentre(dataCentre).recordSuccess();
      update(record, 0);
    },
    recordFailure: ({ id, dataCentre }, how) => {
      const record = read(id);
      const place = readDataCentre(dataCentre);
      const wasAvoided = isAvoided(record.backoff);
      const wasCutOff = isAvoided(place);
      record.backoff.recordFailure(monotonicMs());
      update(record, 1);
      if (how === 'silent') place.recordFailure(monotonicMs());
      else place.recordSuccess();
      if (!wasAvoided && isAvoided(record.backoff)) {
        telemetry.log('upstreamFailing', { upstream: id });
      }
      if (!wasCutOff && isAvoided(place)) telemetry.log('dataCentreSilent', { place: dataCentre });
    },
    retain: (upstreams) => {
      for (const upstream of records.keys()) {
        if (!upstreams.has(upstream)) records.delete(upstream);
      }
    },
  };
}
