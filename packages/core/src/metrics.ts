/** Metrics of one node. Each node has its own registry, so several nodes can run in one process. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_S = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
const OUTAGE_BUCKETS_S = [1, 2, 3, 5, 8, 12, 20, 60, 300];

/** Creates the metrics that docs/metrics.md lists. */
export function createMetrics() {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'hibiscusbank_requests_total',
      help: 'Requests by route and outcome',
      labelNames: ['route', 'outcome'],
      registers,
    }),
    refusals: new Counter({
      name: 'hibiscusbank_refusals_total',
      help: 'Requests refused by error kind',
      labelNames: ['kind'],
      registers,
    }),
    firstTokenSeconds: new Histogram({
      name: 'hibiscusbank_first_token_seconds',
      help: 'Time from the request to its first token',
      labelNames: ['pool'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    attempts: new Counter({
      name: 'hibiscusbank_attempts_total',
      help: 'Attempts by pool and result',
      labelNames: ['pool', 'result'],
      registers,
    }),
    wastedPrefills: new Counter({
      name: 'hibiscusbank_wasted_prefills_total',
      help: 'Prefills whose result no decode engine imported',
      labelNames: ['pool'],
      registers,
    }),
    activeRequests: new Gauge({
      name: 'hibiscusbank_active_requests',
      help: 'Requests in progress on this node',
      registers,
    }),
    configurationRevision: new Gauge({
      name: 'hibiscusbank_configuration_revision',
      help: 'Configuration revision in force on this node',
      registers,
    }),
    liveMembers: new Gauge({
      name: 'hibiscusbank_live_members',
      help: 'Live VMs by data centre as this node sees them',
      labelNames: ['data_centre'],
      registers,
    }),
    peerBytes: new Counter({
      name: 'hibiscusbank_peer_bytes_total',
      help: 'Bytes sent to peers by class of message',
      labelNames: ['class'],
      registers,
    }),
    platformCalls: new Counter({
      name: 'hibiscusbank_platform_calls_total',
      help: 'Calls to the object API by operation and result',
      labelNames: ['operation', 'result'],
      registers,
    }),
    storeSilenceSeconds: new Histogram({
      name: 'hibiscusbank_store_silence_seconds',
      help: 'Time without a response of the store, observed when it answers again, by kind of entries',
      labelNames: ['kind'],
      buckets: OUTAGE_BUCKETS_S,
      registers,
    }),
    storeEra: new Gauge({
      name: 'hibiscusbank_store_era',
      help: 'Era of the store after it was restored; 0 if this process has seen no restoration',
      registers,
    }),
    upstreamEnds: new Counter({
      name: 'hibiscusbank_upstream_ends_total',
      help: 'Upstreams that ended while they ran requests of this node, by pool',
      labelNames: ['pool'],
      registers,
    }),
    quarantinedParts: new Gauge({
      name: 'hibiscusbank_quarantined_parts',
      help: 'Requests and prompt parts in quarantine because upstreams ended under them',
      registers,
    }),
    resumedStreams: new Counter({
      name: 'hibiscusbank_resumed_streams_total',
      help: 'Streams that callers resumed, by pool and by where the version that began them was known from (node, peer, store, only_version, no_versions or unknown)',
      labelNames: ['pool', 'origin'],
      registers,
    }),
    refusedBodies: new Counter({
      name: 'hibiscusbank_refused_bodies_total',
      help: 'Bodies of callers that were refused, by reason (memory, small_chunks, time or size)',
      labelNames: ['reason'],
      registers,
    }),
    droppedConnections: new Counter({
      name: 'hibiscusbank_dropped_connections_total',
      help: 'Connections of callers that were closed at once, since too many were open',
      registers,
    }),
    allocations: new Counter({
      name: 'hibiscusbank_allocations_total',
      help: 'Requests for capacity that this node decided for the fleet, by pool and outcome (granted or refused)',
      labelNames: ['pool', 'outcome'],
      registers,
    }),
    versionAnswers: new Counter({
      name: 'hibiscusbank_version_answers_total',
      help: 'Answers during roll-outs, by pool, version (new or in_service) and result (answered or failed)',
      labelNames: ['pool', 'version', 'result'],
      registers,
    }),
    rolloutShare: new Gauge({
      name: 'hibiscusbank_rollout_share',
      help: 'Fraction of the requests of a pool that the new version gets during a roll-out',
      labelNames: ['pool'],
      registers,
    }),
    limitedUpstreams: new Gauge({
      name: 'hibiscusbank_limited_upstreams',
      help: 'Upstreams that limit the requests of all nodes together, by pool',
      labelNames: ['pool'],
      registers,
    }),
    quotaAsks: new Counter({
      name: 'hibiscusbank_quota_asks_total',
      help: 'Debits that another node decided in the first quota window of this process, by outcome',
      labelNames: ['outcome'],
      registers,
    }),
    permits: new Counter({
      name: 'hibiscusbank_permits_total',
      help: 'Requests for a permit of a limited upstream, by pool and outcome',
      labelNames: ['pool', 'outcome'],
      registers,
    }),
    invariantViolations: new Counter({
      name: 'hibiscusbank_invariant_violations_total',
      help: 'Violated invariants by name',
      labelNames: ['invariant'],
      registers,
    }),
  };
}

export type Metrics = ReturnType<typeof createMetrics>;
