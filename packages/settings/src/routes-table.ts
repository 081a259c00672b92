/** The routes table, from INI and back. */
import { organisationId, routeId } from '@hibiscusbank/core';
import type { PoolId, RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { checkPools, checkSameMatches } from './check-routes.js';
import { createFaultsError } from './faults.js';
import {
  createChoiceField,
  createField,
  createIntegerField,
  createListField,
  NAME,
  createNameField,
  allowMissing,
  splitList,
  createTextField,
  addDefault,
  createYesNoField,
} from './fields.js';
import { createModelNameField } from './pool-fields.js';
import type { ReadEntry } from './pools-table.js';
import { readIni } from './read-ini.js';
import { createFaultReport, readFields } from './read-section.js';
import type { FaultReport } from './read-section.js';
import { listNamedSections } from './table-sections.js';
import type { NamedSection } from './table-sections.js';
import type { Access, PoolEntry, RouteEntry, Urgency } from './types.js';
import { formatFields, formatIni, omitDefaults } from './write-ini.js';
import type { SectionText } from './write-ini.js';

/** A path of unreserved URL characters, with `*` only at the end. */
const PATH = /^\/[A-Za-z0-9._~!$&'()+,;=:@%/-]*\*?$/;
const METHOD = /^[A-Z]{1,20}$/;
const URGENCIES: readonly Urgency[] = ['urgent', 'patient'];
const DAY_MS = 86_400_000;
const EVERYONE = '*';

const parseMethod = (item: string): string | undefined => {
  const method = item.toUpperCase();
  return METHOD.test(method) ? method : undefined;
};

function parseAccess(value: string): Access | undefined {
  const items = splitList(value);
  if (items.length === 1 && items[0] === EVERYONE) return { kind: 'all' };
  const isValid = items.length > 0 && items.every((item) => NAME.test(item));
  if (!isValid || new Set(items).size < items.length) return undefined;
  return { kind: 'organisations', organisations: items.map(organisationId) };
}

const organisations = createField<Access>(
  parseAccess,
  '* for everyone, or names of organisations separated by commas, each once',
  (access) => (access.kind === 'all' ? EVERYONE : access.organisations.join(', ')),
);

/** Keys of `[route NAME]`. */
export const routeFields = {
  path: createTextField<string>(
    PATH,
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

function readRoute(report: FaultReport, named: NamedSection): ReadEntry<RouteEntry> | undefined {
  const values = readFields(report, named.section, routeFields);
  if (values === undefined) return undefined;
  return {
    named,
    entry: {
      id: routeId(named.name),
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
  /** The pools table; without it the pools of routes are not checked. */
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
    .map((named) => readRoute(report, named))
    .filter((route) => route !== undefined);
  checkSameMatches(report, routes);
  if (options.pools !== undefined) checkPools(report, routes, options.pools);
  return report.faults.length > 0
    ? err(createFaultsError(report.faults))
    : ok(routes.map(({ entry }) => entry));
}

/** A route as a section with all values. */
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

/** INI text of the routes table; values equal to the defaults are left out. */
export function formatRoutes(routes: readonly RouteEntry[]): string {
  return formatIni(routes.map((route) => omitDefaults(formatRouteSection(route), routeFields)));
}
