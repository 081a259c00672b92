/** Checks of the pools table that involve several values. */
import { findNearest } from './nearest-name.js';
import { modelPoolKeys } from './pool-fields.js';
import type { ReadEntry } from './pools-table.js';
import { reportKey, reportSection } from './read-section.js';
import type { FaultReport } from './read-section.js';
import type { NamedSection } from './table-sections.js';
import type { PoolEntry, UpstreamEntry } from './types.js';

function checkRole(
  report: FaultReport,
  { entry, named }: ReadEntry<UpstreamEntry>,
  pool: PoolEntry,
): void {
  const isPlain = entry.role === 'plain';
  if (pool.kind === 'plain' && !isPlain) {
    reportKey(report, named.section, 'role', `pool ${pool.id} is plain; allowed is plain`);
  }
  if (pool.kind === 'model' && isPlain) {
    const allowed = `pool ${pool.id} serves a model; allowed is prefill, decode or both`;
    reportKey(report, named.section, 'role', allowed);
  }
}

function checkMemory(
  report: FaultReport,
  { entry, named }: ReadEntry<UpstreamEntry>,
  pool: PoolEntry,
): void {
  const decodes = entry.role === 'decode' || entry.role === 'both';
  if (pool.kind === 'model' && decodes && entry.memoryBlocks === 0) {
    const allowed = 'at least 1 for an engine that decodes; its KV cache holds that many blocks';
    reportKey(report, named.section, 'memory_blocks', allowed);
  }
}

function checkColdLimit(report: FaultReport, { entry, named }: ReadEntry<UpstreamEntry>): void {
  if (entry.coldLimit <= entry.capacity) return;
  const allowed = `at most the capacity, ${entry.capacity}; lower it or raise capacity`;
  reportKey(report, named.section, 'cold_limit', allowed);
}

/** One server under two names would get the cold limit twice. */
function checkAddresses(report: FaultReport, upstreams: readonly ReadEntry<UpstreamEntry>[]): void {
  const owners = new Map<string, string>();
  for (const { entry, named } of upstreams) {
    const owner = owners.get(entry.address);
    if (owner === undefined) owners.set(entry.address, entry.id);
    else reportKey(report, named.section, 'address', `upstream ${owner} has it; each has its own`);
  }
}

/** Checks upstreams against their pools and against each other. */
export function checkUpstreams(
  report: FaultReport,
  upstreams: readonly ReadEntry<UpstreamEntry>[],
  pools: readonly ReadEntry<PoolEntry>[],
  poolSections: readonly NamedSection[],
): void {
  const names = poolSections.map(({ name }) => name);
  for (const upstream of upstreams) {
    const { entry, named } = upstream;
    const pool = pools.find((candidate) => candidate.entry.id === entry.pool)?.entry;
    if (!names.includes(entry.pool)) {
      const nearest = findNearest(entry.pool, names);
      const hint = nearest === undefined ? 'add its section' : `the nearest is "${nearest}"`;
      reportKey(report, named.section, 'pool', `there is no [pool ${entry.pool}]; ${hint}`);
    }
    if (pool !== undefined) {
      checkRole(report, upstream, pool);
      checkMemory(report, upstream, pool);
    }
    checkColdLimit(report, upstream);
  }
  checkAddresses(report, upstreams);
}

/** KV cache moves inside a data centre, so each needs engines of both roles. */
function checkEngines(report: FaultReport, { entry, named }: ReadEntry<PoolEntry>): void {
  const dataCentres = [...new Set(entry.upstreams.map(({ dataCentre }) => dataCentre))].sort();
  if (dataCentres.length === 0) {
    reportSection(report, named.section, 'a model pool needs prefill and decode engines; add them');
  }
  for (const dataCentre of dataCentres) {
    const here = entry.upstreams.filter((upstream) => upstream.dataCentre === dataCentre);
    for (const role of ['prefill', 'decode'] as const) {
      if (here.some((upstream) => upstream.role === role || upstream.role === 'both')) continue;
      const allowed = `needs at least one ${role} engine in data centre ${dataCentre}`;
      reportSection(report, named.section, allowed);
    }
  }
}

/** Checks a pool; its engines only when all upstreams could be read. */
export function checkPool(
  report: FaultReport,
  pool: ReadEntry<PoolEntry>,
  areUpstreamsWhole: boolean,
): void {
  const { entry, named } = pool;
  if (entry.kind === 'model') {
    if (entry.model === undefined) {
      reportKey(report, named.section, 'model', 'the model that the engines of this pool serve');
    }
    if (areUpstreamsWhole) checkEngines(report, pool);
    return;
  }
  for (const key of modelPoolKeys) {
    if (!named.section.values.has(key)) continue;
    reportKey(report, named.section, key, 'only for pools of kind model; remove it');
  }
}
