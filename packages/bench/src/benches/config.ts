/** Concurrent edits and key withdrawals while nodes restart and the platform is unavailable. */
import { createRandom, organisationId, sleep } from '@hibiscusbank/core';
import type { KeyDigest } from '@hibiscusbank/core';
import { request } from 'undici';
import { runSchedule } from '../harness/schedule.js';
import type { ScheduledFault } from '../harness/schedule.js';
import { tenantKeyOf, startSite, writeTables } from '../harness/site.js';
import type { Site, SiteNode } from '../harness/site.js';
import {
  BENCH_ORGANISATION,
  createPoolEntry,
  createRouteEntry,
  createUpstreamEntry,
} from '../harness/tables.js';
import { collectViolations } from '../harness/violations.js';
import type { Bench, BenchOptions } from '../types.js';
import { formatCounterModel, startEdits } from './config-edits.js';
import { computePropagation, watchNodes } from './config-watch.js';

const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c'];
const NODES = 6;
const LIMITS_ORGANISATION = organisationId('spare');
const SETTLE_MS = 3_000;
/** Time for which nodes are still polled after the last edit, so that all can apply it. */
const FINAL_POLL_MS = 6_000;
const OVERHEAD_S = 12;
const MIN_EDIT_S = 15;
const OUTAGE_MS = 8_000;
const RESTART_DELAY_MS = 1_500;
const LOST_RESPONSES_MS = 1_500;
const LOST_RESPONSE_RATE = 0.5;
const HTTP_OK = 200;
const MAX_IN_FORCE_MS = 18_000;
const MAX_WITHDRAWN_USE_MS = 5_000;
const LIMITS = { ratePerS: 10_000, burst: 100_000 };

const counterPool = {
  ...createPoolEntry('counter', 'model', [
    createUpstreamEntry('p1', 'counter', { role: 'prefill', address: 'http://127.0.0.1:9' }),
  ]),
  model: formatCounterModel(0),
};

async function writeConfigTables(site: Site): Promise<void> {
  await writeTables(site.objectApi, {
    routes: [createRouteEntry('chat', 'counter', [BENCH_ORGANISATION])],
    pools: [counterPool],
    organisations: [
      { id: BENCH_ORGANISATION, ...LIMITS },
      { id: LIMITS_ORGANISATION, ...LIMITS },
    ],
  });
}

function createSchedule(
  site: Site,
  editS: number,
  beforeKill: () => Promise<void>,
): readonly ScheduledFault[] {
  const { objectStandin, vmList } = site;
  const restart = (node: SiteNode | undefined) => async (): Promise<void> => {
    if (node === undefined) return;
    await beforeKill();
    node.process.signal('SIGKILL');
    await node.process.exited;
    await sleep(RESTART_DELAY_MS);
    site.restart(node);
  };
  const outageStartS = editS * 0.4;
  const outageEndS = outageStartS + OUTAGE_MS / 1_000;
  const loseResponses = (): void =>
    objectStandin.setFaults({ loseAnswerRate: LOST_RESPONSE_RATE }, LOST_RESPONSES_MS);
  const startOutage = (): void => {
    objectStandin.setFaults({ outage: 'refuse' }, OUTAGE_MS);
    vmList.setFaults({ outage: 'refuse' }, OUTAGE_MS);
  };
  return [
    { atS: editS * 0.1, name: 'node restarts', run: restart(site.nodes[0]) },
    { atS: editS * 0.25, name: 'node restarts', run: restart(site.nodes[1]) },
    {
      atS: outageStartS - LOST_RESPONSES_MS / 1_000,
      name: 'responses of the platform lost',
      run: loseResponses,
    },
    { atS: outageStartS, name: 'platform unavailable', run: startOutage },
    { atS: outageStartS + 2, name: 'node restarts', run: restart(site.nodes[3]) },
    { atS: outageEndS, name: 'responses of the platform lost', run: loseResponses },
    { atS: editS * 0.85, name: 'node restarts', run: restart(site.nodes[4]) },
  ];
}

async function withdrawOnNode(node: SiteNode | undefined, digest: KeyDigest): Promise<boolean> {
  try {
    const res = await request(`${node?.adminUrl}/keys/withdraw`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ digest }),
    });
    await res.body.dump();
    return res.statusCode === HTTP_OK;
  } catch {
    return false;
  }
}

const percentile = (values: readonly number[], fraction: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0);
};

const maxOf = (values: readonly number[]): number =>
  values.reduce((max, value) => Math.max(max, Math.round(value)), 0);

async function runEdits(site: Site, { seed, print }: BenchOptions, editS: number) {
  const violations = collectViolations(site.nodes);
  const stopEdits = new AbortController();
  const stopWatch = new AbortController();
  const nodeRandom = createRandom(seed + 1);
  const edits = startEdits({
    objectApi: site.objectApi,
    pool: counterPool,
    organisation: BENCH_ORGANISATION,
    limitsOrganisation: LIMITS_ORGANISATION,
    random: createRandom(seed),
    signal: stopEdits.signal,
    withdrawOnNode: (digest) => withdrawOnNode(nodeRandom.pick(site.nodes), digest),
  });
  const { log } = edits;
  const permanentKey = tenantKeyOf(BENCH_ORGANISATION);
  const watch = watchNodes(site.nodes, log, permanentKey, stopWatch.signal);
  const faults = runSchedule(createSchedule(site, editS, violations.collect), print);
  await sleep(editS * 1_000);
  stopEdits.abort();
  await Promise.all([edits.done, faults]);
  await sleep(FINAL_POLL_MS);
  const endMs = performance.now();
  stopWatch.abort();
  await Promise.all([watch.done, violations.stop()]);
  const { histories } = watch;
  return {
    log,
    propagation: computePropagation(log.counter, histories, endMs),
    reverts: histories.flatMap((history) => history.reverts),
    lateUses: histories.flatMap((history) => history.lateUses),
    violations: [...violations.seen],
  };
}

export const runConfig: Bench = async (options) => {
  const editS = Math.max(MIN_EDIT_S, options.seconds - OVERHEAD_S);
  const site = await startSite({ dataCentres: DATA_CENTRES, nodes: NODES });
  try {
    await writeConfigTables(site);
    await site.waitUntilReady();
    await sleep(SETTLE_MS);
    const { log, propagation, reverts, lateUses, violations } = await runEdits(
      site,
      options,
      editS,
    );
    const maxInForceMs = maxOf(propagation.inForceMs);
    const lastWithdrawnUseMs = maxOf(lateUses);
    return {
      fields: {
        edits_accepted: log.accepted,
        edits_per_s: Number((log.accepted / editS).toFixed(2)),
        conflicts: log.conflicts,
        unavailable: log.unavailable,
        counter_edits: log.counter.length,
        keys_withdrawn: log.keys.filter((key) => key.withdrawnAtMs !== undefined).length,
        keys_withdrawn_on_node: log.withdrawnOnNode,
        in_force_p50_ms: percentile(propagation.inForceMs, 0.5),
        in_force_p99_ms: percentile(propagation.inForceMs, 0.99),
        in_force_max_ms: maxInForceMs,
        in_force_restarted_max_ms: maxOf(propagation.restartedMs),
        reverts: reverts.length,
        withdrawn_key_last_use_ms: lastWithdrawnUseMs,
      },
      broken: [
        ...(maxInForceMs > MAX_IN_FORCE_MS ? [`in_force_max_ms: ${maxInForceMs}`] : []),
        ...(lastWithdrawnUseMs > MAX_WITHDRAWN_USE_MS
          ? [`withdrawn_key_last_use_ms: ${lastWithdrawnUseMs}`]
          : []),
        ...reverts.map((revert) => `reverts: ${revert}`),
        ...violations,
      ],
    };
  } finally {
    await site.stop();
  }
};
