/** Metrics of the scheduler. */
import type { Telemetry } from '@hibiscusbank/core';
import { Counter, Gauge, Histogram } from 'prom-client';

const WAIT_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

/** Registers the scheduler's metrics in the registry of the node. */
export function createSchedulerMetrics(telemetry: Telemetry) {
  const registers = [telemetry.metrics.registry];
  return {
    placements: new Counter({
      name: 'hibiscusbank_placements_total',
      help: 'Answers of cell owners by pool and kind',
      labelNames: ['pool', 'kind'],
      registers,
    }),
    waitSeconds: new Histogram({
      name: 'hibiscusbank_placement_wait_seconds',
      help: 'Time in the queue of a cell before the grant',
      labelNames: ['pool'],
      buckets: WAIT_BUCKETS_S,
      registers,
    }),
    queued: new Gauge({
      name: 'hibiscusbank_queued_requests',
      help: 'Requests waiting in the cells of this VM',
      labelNames: ['cell'],
      registers,
    }),
    coldUpstreams: new Gauge({
      name: 'hibiscusbank_cold_upstreams',
      help: 'Upstreams in slow start in the cells of this VM',
      labelNames: ['cell'],
      registers,
    }),
    droppedGrants: new Counter({
      name: 'hibiscusbank_dropped_grants_total',
      help: 'Grants that ended without a release, by reason',
      labelNames: ['reason'],
      registers,
    }),
    takeovers: new Counter({
      name: 'hibiscusbank_cell_takeovers_total',
      help: 'Cells whose state this VM collected',
      registers,
    }),
    pendingReleases: new Gauge({
      name: 'hibiscusbank_pending_releases',
      help: 'Releases of this node that no owner has acknowledged yet',
      registers,
    }),
  };
}

export type SchedulerMetrics = ReturnType<typeof createSchedulerMetrics>;
