/** Parses and formats the INI text of the routes table. */
import { organisationId, routeId } from '@hibiscusbank/core';
import type { PoolId, RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { checkRoutePools, checkAmbiguousRoutes } from './check-routes.js';
import { createFaultsError } from './faults.js';
import {
  createChoiceField,
  createField,
  createIntegerField,
  createListField,
  NAME_PATTERN,
  createNameField,
  allowMissing,
  splitList,
  createTextField,
  addDefault,
  createYesNoField,
} from './fields.js';
import { createModelNameField } from './pool-fields.js';
import type { ParsedEntry } from './pools-table.js';
import { readIni } from './read-ini.js';
import { createFaultReport, readFields } from './read-section.js';
import type { FaultReport } from './read-section.js';
import { listNamedSections } from './table-sections.js';
import type { NamedSection } from './table-sections.js';
import type { Access, PoolEntry, RouteEntry, Urgency } from './types.js';
import { formatFields, formatIni, omitDefaults } from './write-ini.js';
import type { SectionText } from './write-ini.js';

/** A path of URL characters without a query, with `*` only at the end. */
const PATH_PATTERN = /^\/[A-Za-z0-9._~!$&'()+,;=:@%/-]*\*?$/;
const METHOD_PATTERN = /^[A-Z]{1,20}$/;
const URGENCIES: readonly Urgency[] = ['urgent', 'patient'];
const DAY_MS = 86_400_000;
const ALL_ORGANISATIONS = '*';

const parseMethod = (item: string): string | undefined => {
  const method = item.toUpperCase();
  return METHOD_PATTERN.test(method) ? method : undefined;
};

function parseAccess(value: string): Access | undefined {
  const items = splitList(value);
  if (items.length === 1 && items[0] === ALL_ORGANISATIONS) return { kind: 'all' };
  const isValid = items.length > 0 && items.every((item) => NAME_PATTERN.test(item));
  if (!isValid || new Set(items).size < items.length) return undefined;
  return { kind: 'organisations', organisations: items.map(organisationId) };
}

const organisations = createField<Access>(
  parseAccess,
  '* for everyone, or names of organisations separated by commas, each once',
  (access) => (access.kind === 'all' ? ALL_ORGANISATIONS : access.organisations.join(', ')),
);

/** Keys of `[route NAME]`. */
export const routeFields = {
  path: createTextField<string>(
    PATH_PATTERN,
    'a path that begins with /, with * at most once and at the end',
  ),
  methods: addDefault(createListField(parseMethod, 'HTTP methods, empty for all'), []),
  model: allowMissing(createModelNameField()),
  organisations,
  pool: createNameField<PoolId>(),
  idempotent: addDefault(createYesNoField(), false),
  urgency: addDefault(createChoiceField(URGENCIES), 'patient'),
  first_token_target_ms: addDefault(createIntegerField(1, DAY_MS), 990),
  token_gap_target_ms: addDefault(createIntegerField(1, DAY_MS), 37),
  patience_ms: addDefault(createIntegerField(0, DAY_MS), 10_000),
  time_limit_ms: addDefault(createIntegerField(1, DAY_MS), 120_000),
  max_tokens_default: addDefault(createIntegerField(1), 256),
  request_cost: addDefault(createIntegerField(0), 1),
};

function readRoute(report: FaultReport, source: NamedSection): ParsedEntry<RouteEntry> | undefined {
  const values = readFields(report, source.section, routeFields);
  if (values === undefined) return undefined;
  return {
    source,
    entry: {
      id: routeId(source.name),
      path: values.path,
      methods: values.methods,
      model: values.model,
      access: values.organisations,
      pool: values.pool,
      idempotent: values.idempotent,
      urgency: values.urgency,
      firstTokenTargetMs: values.first_token_target_ms,
      tokenGapTargetMs: values.token_gap_target_ms,
      patienceMs: values.patience_ms,
      timeLimitMs: values.time_limit_ms,
      maxTokensDefault: values.max_tokens_default,
      requestCost: values.request_cost,
    },
  };
}

export interface RoutesOptions {
  readonly file?: string;
  /** The pools table. Without it, the pools that routes name are not checked. */
  readonly pools?: readonly PoolEntry[];
}

/**
 * Reads the routes table, in the order of the text. Errors: `invalid_settings`, which lists all
 * faults.
 */
export function parseRoutes(
  input: string,
  options: RoutesOptions = {},
): Result<RouteEntry[], RouterError> {
  const ini = readIni(input, options.file ?? 'routes');
  const report = createFaultReport(ini);
  const routes = listNamedSections(report, ini, ['route'])
    .map((source) => readRoute(report, source))
    .filter((route) => route !== undefined);
  checkAmbiguousRoutes(report, routes);
  if (options.pools !== undefined) checkRoutePools(report, routes, options.pools);
  return report.faults.length > 0
    ? err(createFaultsError(report.faults))
    : ok(routes.map(({ entry }) => entry));
}

/** Returns a route as a section with all values. */
export function formatRouteSection(route: RouteEntry): SectionText {
  return formatFields(`route ${route.id}`, routeFields, {
    path: route.path,
    methods: route.methods,
    model: route.model,
    organisations: route.access,
    pool: route.pool,
    idempotent: route.idempotent,
    urgency: route.urgency,
    first_token_target_ms: route.firstTokenTargetMs,
    token_gap_target_ms: route.tokenGapTargetMs,
    patience_ms: route.patienceMs,
    time_limit_ms: route.timeLimitMs,
    max_tokens_default: route.maxTokensDefault,
    request_cost: route.requestCost,
  });
}

/** Returns the INI text of the routes table, without values that equal the defaults. */
export function formatRoutes(routes: readonly RouteEntry[]): string {
  return formatIni(routes.map((route) => omitDefaults(formatRouteSection(route), routeFields)));
}
