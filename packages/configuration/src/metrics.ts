/** Metrics of the configuration replica. */
import type { Telemetry } from '@hibiscusbank/core';
import { Counter, Gauge } from 'prom-client';

/** Creates the metrics of one node's replica and registers them with the telemetry. */
export function createReplicaMetrics(telemetry: Telemetry, readPlatformAgeMs: () => number) {
  const registers = [telemetry.metrics.registry];
  return {
    entries: new Counter({
      name: 'hibiscusbank_configuration_entries_total',
      help: 'Configuration entries applied by source (list, watch, push, pull, snapshot)',
      labelNames: ['source'],
      registers,
    }),
    snapshots: new Counter({
      name: 'hibiscusbank_configuration_snapshots_sent_total',
      help: 'Snapshots sent to peers whose position was not in the log',
      registers,
    }),
    watching: new Gauge({
      name: 'hibiscusbank_configuration_watching',
      help: '1 while this node watches the platform for its data centre',
      registers,
    }),
    watchFailures: new Counter({
      name: 'hibiscusbank_configuration_watch_failures_total',
      help: 'Lists and watches that failed or stalled',
      registers,
    }),
    platformAge: new Gauge({
      name: 'hibiscusbank_configuration_platform_age_seconds',
      help: 'Seconds since any reachable node had an answer from the object API',
      registers,
      collect() {
        this.set(readPlatformAgeMs() / 1_000);
      },
    }),
    pendingWithdrawals: new Gauge({
      name: 'hibiscusbank_key_withdrawals_pending',
      help: 'Withdrawn keys that the platform does not have as withdrawn yet',
      registers,
    }),
  };
}

export type ReplicaMetrics = ReturnType<typeof createReplicaMetrics>;
export type EntrySource = 'list' | 'watch' | 'push' | 'pull' | 'snapshot';
