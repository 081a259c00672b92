/** Checks of the pools table that compare several values. */
import { findNearest } from './nearest-name.js';
import { modelPoolKeys } from './pool-fields.js';
import type { ParsedEntry } from './pools-table.js';
import { reportKeyFault, reportSectionFault } from './read-section.js';
import type { FaultReport } from './read-section.js';
import type { NamedSection } from './table-sections.js';
import type { PoolEntry, UpstreamEntry } from './types.js';

function checkRole(
  report: FaultReport,
  { entry, source }: ParsedEntry<UpstreamEntry>,
  pool: PoolEntry,
): void {
  const isPlain = entry.role === 'plain';
  if (pool.kind === 'plain' && !isPlain) {
    reportKeyFault(report, source.section, 'role', `pool ${pool.id} is plain; allowed is plain`);
  }
  if (pool.kind === 'model' && isPlain) {
    const allowed = `pool ${pool.id} serves a model; allowed is prefill, decode or both`;
    reportKeyFault(report, source.section, 'role', allowed);
  }
}

function checkMemory(
  report: FaultReport,
  { entry, source }: ParsedEntry<UpstreamEntry>,
  pool: PoolEntry,
): void {
  const canDecode = entry.role === 'decode' || entry.role === 'both';
  if (pool.kind === 'model' && canDecode && entry.memoryBlocks === 0) {
    const allowed = 'at least 1 for an engine that decodes: the size of its KV cache in blocks';
    reportKeyFault(report, source.section, 'memory_blocks', allowed);
  }
}

function checkColdLimit(report: FaultReport, { entry, source }: ParsedEntry<UpstreamEntry>): void {
  if (entry.coldLimit <= entry.capacity) return;
  const allowed = `at most the capacity, ${entry.capacity}; lower it or raise capacity`;
  reportKeyFault(report, source.section, 'cold_limit', allowed);
}

/**
 * Reports upstreams that share an address. A server with two names would get twice the requests
 * that its cold limit allows.
 */
function checkAddresses(
  report: FaultReport,
  upstreams: readonly ParsedEntry<UpstreamEntry>[],
): void {
  const firstIdByAddress = new Map<string, string>();
  for (const { entry, source } of upstreams) {
    const firstId = firstIdByAddress.get(entry.address);
    if (firstId === undefined) firstIdByAddress.set(entry.address, entry.id);
    else
      reportKeyFault(
        report,
        source.section,
        'address',
        `upstream ${firstId} has it; use another address`,
      );
  }
}

/** Checks the upstreams against their pools and against each other. */
export function checkUpstreams(
  report: FaultReport,
  upstreams: readonly ParsedEntry<UpstreamEntry>[],
  pools: readonly ParsedEntry<PoolEntry>[],
  poolSections: readonly NamedSection[],
): void {
  const poolNames = poolSections.map(({ name }) => name);
  for (const upstream of upstreams) {
    const { entry, source } = upstream;
    const pool = pools.find((candidate) => candidate.entry.id === entry.pool)?.entry;
    if (!poolNames.includes(entry.pool)) {
      const nearest = findNearest(entry.pool, poolNames);
      const hint = nearest === undefined ? 'add its section' : `the nearest is "${nearest}"`;
      reportKeyFault(report, source.section, 'pool', `there is no [pool ${entry.pool}]; ${hint}`);
    }
    if (pool !== undefined) {
      checkRole(report, upstream, pool);
      checkMemory(report, upstream, pool);
    }
    checkColdLimit(report, upstream);
  }
  checkAddresses(report, upstreams);
}

/**
 * Reports data centres of a model pool that lack an engine role. KV caches are transferred only
 * within a data centre, so each data centre needs engines for prefill and for decode.
 */
function checkEngineRoles(report: FaultReport, { entry, source }: ParsedEntry<PoolEntry>): void {
  const dataCentres = [...new Set(entry.upstreams.map(({ dataCentre }) => dataCentre))].sort();
  if (dataCentres.length === 0) {
    reportSectionFault(
      report,
      source.section,
      'a model pool needs prefill and decode engines; add them',
    );
  }
  for (const dataCentre of dataCentres) {
    const dataCentreUpstreams = entry.upstreams.filter(
      (upstream) => upstream.dataCentre === dataCentre,
    );
    for (const role of ['prefill', 'decode'] as const) {
      if (
        dataCentreUpstreams.some((upstream) => upstream.role === role || upstream.role === 'both')
      )
        continue;
      const allowed = `needs at least one ${role} engine in data centre ${dataCentre}`;
      reportSectionFault(report, source.section, allowed);
    }
  }
}

/** Checks a pool. Its engine roles are checked only if all upstreams were read without faults. */
export function checkPool(
  report: FaultReport,
  pool: ParsedEntry<PoolEntry>,
  areAllUpstreamsRead: boolean,
): void {
  const { entry, source } = pool;
  if (entry.kind === 'model') {
    if (entry.model === undefined) {
      reportKeyFault(
        report,
        source.section,
        'model',
        'name the model that the engines of this pool serve',
      );
    }
    if (areAllUpstreamsRead) checkEngineRoles(report, pool);
    return;
  }
  for (const key of modelPoolKeys) {
    if (!source.section.values.has(key)) continue;
    reportKeyFault(report, source.section, key, 'only for pools of kind model; remove it');
  }
}
