/** Metrics of leases. */
import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

export interface LeaseMetrics {
  readonly failures: Counter<'kind'>;
}

const FAILURES_NAME = 'hibiscusbank_lease_call_failures_total';

/** Metrics of all leases of a node; the first call registers them. */
export function createLeaseMetrics(registry: Registry): LeaseMetrics {
  const existing = registry.getSingleMetric(FAILURES_NAME);
  if (existing !== undefined) return { failures: existing as Counter<'kind'> };
  return {
    failures: new Counter({
      name: FAILURES_NAME,
      help: 'Failed reads and writes of leases by error kind',
      labelNames: ['kind'],
      registers: [registry],
    }),
  };
}
