/** Parses and formats the INI text of the pools table. */
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

/** An entry and the section that it was read from, so that later checks can report its line. */
export interface ParsedEntry<T> {
  readonly entry: T;
  readonly source: NamedSection;
}

function readUpstream(
  report: FaultReport,
  source: NamedSection,
): ParsedEntry<UpstreamEntry> | undefined {
  const values = readFields(report, source.section, upstreamFields);
  if (values === undefined) return undefined;
  return {
    source,
    entry: {
      id: upstreamId(source.name),
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
  source: NamedSection,
  upstreams: readonly UpstreamEntry[],
): ParsedEntry<PoolEntry> | undefined {
  const values = readFields(report, source.section, poolFields);
  if (values === undefined) return undefined;
  return {
    source,
    entry: {
      id: poolId(source.name),
      kind: values.kind,
      model: values.model,
      version: values.version,
      adapters: values.adapters,
      blockTokens: values.block_tokens,
      kvBytesPerToken: values.kv_bytes_per_token,
      prefillTokensPerMs: values.prefill_tokens_per_ms,
      decodeMsPerToken: values.decode_ms_per_token,
      balanceRoles: values.balance_roles,
      upstreams: upstreams.filter((upstream) => upstream.pool === source.name),
    },
  };
}

const isDefined = <T>(entry: T | undefined): entry is T => entry !== undefined;

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
  const upstreams = upstreamSections
    .map((source) => readUpstream(report, source))
    .filter(isDefined);
  const entries = upstreams.map(({ entry }) => entry);
  const pools = poolSections.map((source) => readPool(report, source, entries)).filter(isDefined);
  checkUpstreams(report, upstreams, pools, poolSections);
  // An upstream with a fault is missing from its pool, which could then seem to lack a role.
  const areAllUpstreamsRead = upstreams.length === upstreamSections.length;
  for (const pool of pools) checkPool(report, pool, areAllUpstreamsRead);
  return report.faults.length > 0
    ? err(createFaultsError(report.faults))
    : ok(pools.map(({ entry }) => entry));
}

/** Returns a pool and its upstreams as sections with all values. */
export function formatPoolSections(pool: PoolEntry): SectionText[] {
  return [formatPool(pool), ...pool.upstreams.map(formatUpstream)];
}

/** Returns the INI text of the pools table, without values that equal the defaults. */
export function formatPools(pools: readonly PoolEntry[]): string {
  const sections = pools
    .flatMap(formatPoolSections)
    .map((section) =>
      omitDefaults(section, section.title.startsWith('pool ') ? poolFields : upstreamFields),
    );
  return formatIni(sections);
}
