/** Metrics of leases. */
import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

export interface LeaseMetrics {
  readonly failures: Counter<'kind'>;
}

const FAILURES_METRIC_NAME = 'hibiscusbank_lease_call_failures_total';

/** Returns the metrics that all leases of a node share. The first call registers them. */
export function createLeaseMetrics(registry: Registry): LeaseMetrics {
  const existing = registry.getSingleMetric(FAILURES_METRIC_NAME);
  if (existing !== undefined) return { failures: existing as Counter<'kind'> };
  return {
    failures: new Counter({
      name: FAILURES_METRIC_NAME,
      help: 'Failed reads and writes of leases by error kind',
      labelNames: ['kind'],
      registers: [registry],
    }),
  };
}
