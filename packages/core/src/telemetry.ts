/** Log, metrics and invariant checks of one node, passed to its modules as one object. */
import { createInvariants } from './invariants.js';
import type { Invariants } from './invariants.js';
import { createLog } from './logging.js';
import type { Log, LogFields, LogSink } from './logging.js';
import { createMetrics } from './metrics.js';
import type { Metrics } from './metrics.js';

export interface Telemetry {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly invariants: Invariants;
}

/** Creates the telemetry of one node. `context` holds the fields that all its events share. */
export function createTelemetry(context: LogFields, sink?: LogSink): Telemetry {
  const log = createLog(context, sink);
  const metrics = createMetrics();
  return { log, metrics, invariants: createInvariants(log, metrics) };
}
