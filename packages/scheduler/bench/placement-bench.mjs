/**
 * Measures the placements per second of one owner with 32 engines, 300 queued requests and 200
 * organisations.
 * Run after `npx tsc -b`: node packages/scheduler/bench/placement-bench.mjs [placements]
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers/promises';
import { createTelemetry } from '@hibiscusbank/core';
import { createCell } from '../dist/cell.js';
import { createSchedulerMetrics } from '../dist/metrics.js';
import { partitionPool } from '../dist/partition.js';

const ENGINES = 32;
const QUEUED = 300;
const ORGANISATIONS = 200;
const PLACEMENTS = Number(process.argv[2] ?? 20_000);

const upstreams = Array.from({ length: ENGINES }, (_, i) => ({
  id: `u${i}`,
  pool: 'pool',
  role: i < 12 ? 'prefill' : 'decode',
  dataCentre: 'a',
  address: `http://u${i}`,
  capacity: 20,
  memoryBlocks: 400,
  coldLimit: 20,
  coldStepMs: 1,
  linkBytesPerMs: 1e9,
  checksOrders: true,
}));
const pool = {
  id: 'pool',
  kind: 'model',
  model: 'm',
  adapters: [],
  blockTokens: 1_000,
  kvBytesPerToken: 1,
  // Prefills are so fast that only free decode slots, hence releases, limit the dispatch rate.
  prefillTokensPerMs: 1e6,
  decodeMsPerToken: 10,
  balanceRoles: false,
  upstreams,
};
const telemetry = createTelemetry({ vm: 'bench' }, () => {});
const [plan] = partitionPool(pool);
let nextGrant = 0;
const cell = createCell(plan, {
  self: 'a1',
  telemetry,
  metrics: createSchedulerMetrics(telemetry),
  rights: () => ({ holdsLease: true, hasColdShare: false }),
  epoch: () => 1,
  isOutOfService: () => false,
  mayGrant: () => true,
  nextGrantId: () => {
    nextGrant += 1;
    return `g${nextGrant}`;
  },
  findCachedTokens: () => 0,
  onAbandoned: () => {},
});
cell.update(plan);

let nextRequest = 0;
const granted = [];
const send = () => {
  nextRequest += 1;
  const req = {
    requestId: `r${nextRequest}`,
    attempt: 1,
    organisation: `org${nextRequest % ORGANISATIONS}`,
    pool: 'pool',
    promptTokens: 1_000,
    expectedTokens: 300,
    maxTokens: 300,
    prefixHashes: [1],
    urgency: nextRequest % 4 === 0 ? 'patient' : 'urgent',
    firstTokenTargetMs: 1_000,
    patienceMs: 1e9,
    timeLimitMs: 1e9,
    exclude: [],
  };
  void cell.place({ cell: plan.id, req, mayOverflow: false }, 'a1').then((reply) => {
    if (reply.kind === 'granted') granted.push(reply.filed.grant);
  });
};
const releaseOldest = () => {
  const grant = granted.shift();
  cell.finishPrefill(grant.id, { outcome: 'completed' });
  cell.release(grant.id, { outcome: 'completed', decodeMs: 10, decodedTokens: 1 });
};

for (let i = 0; i < 20 * 20 + QUEUED; i += 1) send();
await setTimeout(10);
const run = async (count) => {
  const before = nextGrant;
  const started = performance.now();
  while (nextGrant - before < count) {
    if (granted.length > 0) {
      releaseOldest();
      send();
    }
    // Lets the microtasks run that deliver the replies.
    await Promise.resolve();
  }
  return { us: ((performance.now() - started) * 1_000) / (nextGrant - before) };
};
await run(PLACEMENTS / 4);
const queued = cell.waiting.queue.size();
const { us } = await run(PLACEMENTS);
const result = {
  engines: ENGINES,
  queued,
  organisations: ORGANISATIONS,
  placements: PLACEMENTS,
  microsecondsPerPlacement: Math.round(us * 10) / 10,
  placementsPerSecond: Math.round(1e6 / us),
  violations: telemetry.invariants.violations().length,
};
process.stdout.write(`${JSON.stringify(result)}\n`);
process.exit(0);
