/** The pools table, from INI and back. */
import { poolId, upstreamId } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { checkPool, checkUpstreams } from './check-pools.js';
import { createFaultsError } from './faults.js';
import { formatPool, formatUpstream, poolFields, upstreamFields } from './pool-fields.js';
import { readIni } from './read-ini.js';
import { createFaultReport, readFields } from './read-section.js';
import type { FaultReport } from './read-section.js';
import { listNamedSections } from './table-sections.js';
import type { NamedSection } from './table-sections.js';
import type { PoolEntry, UpstreamEntry } from './types.js';
import { formatIni, omitDefaults } from './write-ini.js';
import type { SectionText } from './write-ini.js';

/** An entry that was read, with its section for faults found later. */
export interface ReadEntry<T> {
  readonly entry: T;
  readonly named: NamedSection;
}

function readUpstream(
  report: FaultReport,
  named: NamedSection,
): ReadEntry<UpstreamEntry> | undefined {
  const values = readFields(report, named.section, upstreamFields);
  if (values === undefined) return undefined;
  return {
    named,
    entry: {
      id: upstreamId(named.name),
      pool: values.pool,
      role: values.role,
      dataCentre: values.data_centre,
      address: values.address,
      capacity: values.capacity,
      memoryBlocks: values.memory_blocks,
      coldLimit: values.cold_limit,
      coldStepMs: values.cold_step_ms,
      linkBytesPerMs: values.link_bytes_per_ms,
      checksOrders: values.checks_orders,
    },
  };
}

function readPool(
  report: FaultReport,
  named: NamedSection,
  upstreams: readonly UpstreamEntry[],
): ReadEntry<PoolEntry> | undefined {
  const values = readFields(report, named.section, poolFields);
  if (values === undefined) return undefined;
  return {
    named,
    entry: {
      id: poolId(named.name),
      kind: values.kind,
      model: values.model,
      version: values.version,
      adapters: values.adapters,
      blockTokens: values.block_tokens,
      kvBytesPerToken: values.kv_bytes_per_token,
      prefillTokensPerMs: values.prefill_tokens_per_ms,
      decodeMsPerToken: values.decode_ms_per_token,
      balanceRoles: values.balance_roles,
      upstreams: upstreams.filter((upstream) => upstream.pool === named.name),
    },
  };
}

const isRead = <T>(entry: T | undefined): entry is T => entry !== undefined;

/**
 * Reads the pools table with its upstreams, in the order of the text. Errors: `invalid_settings`,
 * which lists all faults.
 */
export function parsePools(text: string, file = 'pools'): Result<PoolEntry[], RouterError> {
  const ini = readIni(text, file);
  const report = createFaultReport(ini);
  const sections = listNamedSections(report, ini, ['pool', 'upstream']);
  const poolSections = sections.filter(({ kind }) => kind === 'pool');
  const upstreamSections = sections.filter(({ kind }) => kind === 'upstream');
  const upstreams = upstreamSections.map((named) => readUpstream(report, named)).filter(isRead);
  const entries = upstreams.map(({ entry }) => entry);
  const pools = poolSections.map((named) => readPool(report, named, entries)).filter(isRead);
  checkUpstreams(report, upstreams, pools, poolSections);
  // A pool whose upstream has a fault of its own may look incomplete, so it is not checked as well.
  const areUpstreamsWhole = upstreams.length === upstreamSections.length;
  for (const pool of pools) checkPool(report, pool, areUpstreamsWhole);
  return report.faults.length > 0
    ? err(createFaultsError(report.faults))
    : ok(pools.map(({ entry }) => entry));
}

/** A pool and its upstreams as sections with all values. */
export function formatPoolSections(pool: PoolEntry): SectionText[] {
  return [formatPool(pool), ...pool.upstreams.map(formatUpstream)];
}

/** INI text of the pools table; values equal to the defaults are left out. */
export function formatPools(pools: readonly PoolEntry[]): string {
  const sections = pools
    .flatMap(formatPoolSections)
    .map((section) =>
      omitDefaults(section, section.title.startsWith('pool ') ? poolFields : upstreamFields),
    );
  return formatIni(sections);
}
