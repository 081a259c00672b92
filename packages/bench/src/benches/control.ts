/**
 * Control-plane cost per node at several fleet sizes, without load, with and without membership
 * churn.
 */
import { sleep } from '@hibiscusbank/core';
import { request } from 'undici';
import { startSite } from '../harness/site.js';
import type { Site, SiteNode } from '../harness/site.js';
import type { Bench } from '../types.js';

const FLEET_SIZES = [6, 24, 60, 120];
const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c', 'dc-d', 'dc-e', 'dc-f'];
const SETTLE_MS = 15_000;
const MS_PER_S = 1_000;
const PERCENT = 100;
const BYTES_PER_MB = 1_000_000;
/** Fraction of the fleet that is restarted in a churn phase. */
const CHURN_FRACTION = 0.1;
const BYTES_METRIC = /^hibiscusbank_peer_bytes_total\{[^}]*class="([a-z]+)"[^}]*\} (\d+)/gm;

interface Sample {
  readonly cpuS: number;
  readonly rssBytes: number;
  readonly peerBytes: number;
}

interface Phase {
  readonly cpu_percent_of_core: number;
  readonly rss_above_idle_mb: number;
  readonly bytes_per_s: number;
  readonly platform_reads_per_s: number;
  readonly platform_writes_per_s: number;
}

interface SizeResult extends Phase {
  readonly nodes: number;
  readonly churn: Phase;
}

async function readPeerBytes(node: SiteNode): Promise<number> {
  const res = await request(`${node.adminUrl}/metrics`);
  const text = await res.body.text();
  let sum = 0;
  for (const [, kind, count] of text.matchAll(BYTES_METRIC)) {
    if (kind !== 'request') sum += Number(count);
  }
  return sum;
}

async function sample(node: SiteNode): Promise<Sample> {
  const [usage, peerBytes] = await Promise.all([node.process.readUsage(), readPeerBytes(node)]);
  return { ...usage, peerBytes };
}

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const round = (value: number, digits = 2): number => Number(value.toFixed(digits));

async function measurePhase(
  site: Site,
  seconds: number,
  idleRssBytes: number,
  stable: readonly SiteNode[],
): Promise<Phase> {
  const before = await Promise.all(stable.map(sample));
  const platformBefore = site.objectStandin.readState();
  const startedAt = performance.now();
  await sleep(seconds * MS_PER_S);
  const elapsedS = (performance.now() - startedAt) / MS_PER_S;
  const after = await Promise.all(stable.map(sample));
  const platformAfter = site.objectStandin.readState();
  const perNode = (readValue: (s: Sample) => number): number =>
    mean(after.map((s, i) => (readValue(s) - readValue(before[i] ?? s)) / elapsedS));
  return {
    cpu_percent_of_core: round(perNode((s) => s.cpuS) * PERCENT),
    rss_above_idle_mb: round((mean(after.map((s) => s.rssBytes)) - idleRssBytes) / BYTES_PER_MB),
    bytes_per_s: round(perNode((s) => s.peerBytes)),
    platform_reads_per_s: round((platformAfter.reads - platformBefore.reads) / elapsedS),
    platform_writes_per_s: round((platformAfter.writes - platformBefore.writes) / elapsedS),
  };
}

/** Kills and restarts the nodes one after another, spread over the given time. */
async function churn(site: Site, nodes: readonly SiteNode[], seconds: number): Promise<void> {
  const waitMs = (seconds * MS_PER_S) / Math.max(1, nodes.length) / 2;
  for (const node of nodes) {
    node.process.signal('SIGKILL');
    await node.process.exited;
    await sleep(waitMs);
    site.restart(node);
    await sleep(waitMs);
  }
}

/** Returns the resident memory of a fleet of one node, which is that of the program itself. */
async function measureIdleRss(): Promise<number> {
  const site = await startSite({ dataCentres: ['dc-a'], nodes: 1 });
  try {
    await site.waitUntilReady();
    await sleep(SETTLE_MS);
    const usage = await site.nodes[0]?.process.readUsage();
    return usage?.rssBytes ?? 0;
  } finally {
    await site.stop();
  }
}

async function measureSize(
  size: number,
  seconds: number,
  idleRssBytes: number,
): Promise<SizeResult> {
  const site = await startSite({ dataCentres: DATA_CENTRES, nodes: size });
  try {
    await site.waitUntilReady();
    await sleep(SETTLE_MS);
    const restartedNodes = site.nodes.slice(0, Math.ceil(size * CHURN_FRACTION));
    const stable = site.nodes.slice(restartedNodes.length);
    const withoutChurn = await measurePhase(site, seconds, idleRssBytes, stable);
    const [withChurn] = await Promise.all([
      measurePhase(site, seconds, idleRssBytes, stable),
      churn(site, restartedNodes, seconds),
    ]);
    return { nodes: size, ...withoutChurn, churn: withChurn };
  } finally {
    await site.stop();
  }
}

/**
 * Fits a line by least squares. Returns its slope and its value at the target size of 340 nodes.
 */
function extrapolate(
  points: readonly { readonly x: number; readonly y: number }[],
  targetX: number,
) {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope_per_node: round(slope, 5), at_340: round(meanY + slope * (targetX - meanX)) };
}

const TARGET_NODES = 340;

export const runControl: Bench = async ({ seconds, print }) => {
  const phaseS = Math.max(
    2,
    Math.min(10, (seconds - FLEET_SIZES.length * 8) / FLEET_SIZES.length / 2),
  );
  const idleRssBytes = await measureIdleRss();
  const sizes: SizeResult[] = [];
  for (const size of FLEET_SIZES) {
    const result = await measureSize(size, phaseS, idleRssBytes);
    print(`${size} nodes: ${JSON.stringify(result)}`);
    sizes.push(result);
  }
  const points = (readValue: (phase: Phase) => number) =>
    sizes.map((entry) => ({ x: entry.nodes, y: readValue(entry) }));
  return {
    fields: {
      sizes,
      slopes: {
        cpu_percent_of_core: extrapolate(
          points((p) => p.cpu_percent_of_core),
          TARGET_NODES,
        ),
        rss_above_idle_mb: extrapolate(
          points((p) => p.rss_above_idle_mb),
          TARGET_NODES,
        ),
        bytes_per_s: extrapolate(
          points((p) => p.bytes_per_s),
          TARGET_NODES,
        ),
      },
      idle_rss_mb: round(idleRssBytes / BYTES_PER_MB),
    },
    broken: [],
  };
};
