/** The routes and pools tables, from INI. */
import {
  createError,
  dataCentreId,
  organisationId,
  poolId,
  routeId,
  upstreamId,
} from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { readSections } from './read-ini.js';
import type { PoolEntry, RouteEntry, UpstreamEntry, UpstreamRole, Urgency } from './types.js';

type Section = Readonly<Record<string, string>>;

const splitList = (text: string | undefined): string[] =>
  (text ?? '')
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');

const isYes = (text: string | undefined): boolean => text === 'yes' || text === 'true';

function readRoute(name: string, section: Section): RouteEntry {
  const organisations = splitList(section.organisations);
  return {
    id: routeId(name),
    path: section.path ?? '/',
    methods: splitList(section.methods).map((method) => method.toUpperCase()),
    model: section.model,
    access: organisations.includes('*')
      ? { kind: 'all' }
      : { kind: 'organisations', organisations: organisations.map(organisationId) },
    pool: poolId(section.pool ?? ''),
    idempotent: isYes(section.idempotent),
    urgency: (section.urgency ?? 'patient') as Urgency,
    firstTokenTargetMs: Number(section.first_token_target_ms ?? 990),
    tokenGapTargetMs: Number(section.token_gap_target_ms ?? 37),
    patienceMs: Number(section.patience_ms ?? 10_000),
    timeLimitMs: Number(section.time_limit_ms ?? 120_000),
    maxTokensDefault: Number(section.max_tokens_default ?? 256),
    requestCost: Number(section.request_cost ?? 1),
  };
}

/** Reads the routes table. Errors: `invalid_settings`. */
export function parseRoutes(text: string): Result<RouteEntry[], RouterError> {
  const routes: RouteEntry[] = [];
  for (const [title, section] of Object.entries(readSections(text))) {
    const [kind, name] = title.split(/\s+/);
    if (kind !== 'route' || name === undefined) {
      return err(createError('invalid_settings', `[${title}] is not a [route NAME] section`));
    }
    routes.push(readRoute(name, section));
  }
  return ok(routes);
}

function readUpstream(name: string, section: Section): UpstreamEntry {
  return {
    id: upstreamId(name),
    pool: poolId(section.pool ?? ''),
    role: (section.role ?? 'plain') as UpstreamRole,
    dataCentre: dataCentreId(section.data_centre ?? ''),
    address: section.address ?? '',
    capacity: Number(section.capacity ?? 20),
    memoryBlocks: Number(section.memory_blocks ?? 0),
    coldLimit: Number(section.cold_limit ?? 2),
    coldStepMs: Number(section.cold_step_ms ?? 1_000),
    linkBytesPerMs: Number(section.link_bytes_per_ms ?? 1_000_000),
    checksOrders: isYes(section.checks_orders),
  };
}

function readPool(name: string, section: Section, upstreams: readonly UpstreamEntry[]): PoolEntry {
  return {
    id: poolId(name),
    kind: section.kind === 'plain' ? 'plain' : 'model',
    model: section.model,
    version: section.version,
    adapters: splitList(section.adapters),
    blockTokens: Number(section.block_tokens ?? 1_000),
    kvBytesPerToken: Number(section.kv_bytes_per_token ?? 100_000),
    prefillTokensPerMs: Number(section.prefill_tokens_per_ms ?? 10),
    decodeMsPerToken: Number(section.decode_ms_per_token ?? 25),
    balanceRoles: isYes(section.balance_roles),
    upstreams: upstreams.filter((upstream) => upstream.pool === name),
  };
}

/** Reads the pools table with its upstreams. Errors: `invalid_settings`. */
export function parsePools(text: string): Result<PoolEntry[], RouterError> {
  const sections = Object.entries(readSections(text)).map(([title, section]) => {
    const [kind, name] = title.split(/\s+/);
    return { title, kind, name: name ?? '', section };
  });
  const unknown = sections.find(({ kind }) => kind !== 'pool' && kind !== 'upstream');
  if (unknown !== undefined) {
    return err(createError('invalid_settings', `[${unknown.title}] is neither pool nor upstream`));
  }
  const upstreams = sections
    .filter(({ kind }) => kind === 'upstream')
    .map(({ name, section }) => readUpstream(name, section));
  return ok(
    sections
      .filter(({ kind }) => kind === 'pool')
      .map(({ name, section }) => readPool(name, section, upstreams)),
  );
}
