/** Computes the figures of the tenants bench from the records of its load. */
import type { LoadRoute, RequestResult } from '@hibiscusbank/standins';
import type { TrafficRecord } from '../harness/traffic.js';
import { countRefusalReasons } from './faults-checks.js';

const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

export interface TenantFigures {
  readonly sent: number;
  readonly good: number;
  /** Requests refused with status 429 or 503. */
  readonly refused: number;
  readonly cut: number;
}

function isOnTarget(route: LoadRoute, result: RequestResult | undefined): boolean {
  if (result?.outcome !== 'answered') return false;
  if ((result.firstTokenMs ?? Infinity) > route.firstTokenTargetMs) return false;
  return route.kind === 'plain' || (result.meanGapMs ?? 0) <= route.tokenGapTargetMs;
}

function isRefused(result: RequestResult | undefined): boolean {
  return result?.status === HTTP_TOO_MANY_REQUESTS || result?.status === HTTP_UNAVAILABLE;
}

export function selectTenant(
  records: readonly TrafficRecord[],
  organisation: string,
): readonly TrafficRecord[] {
  return records.filter(({ planned }) => planned.organisation.name === organisation);
}

/** Counts the requests of one organisation. */
export function describeTenant(records: readonly TrafficRecord[]): TenantFigures {
  const count = (matches: (record: TrafficRecord) => boolean): number =>
    records.filter(matches).length;
  return {
    sent: records.length,
    good: count(({ planned, results }) => isOnTarget(planned.route, results.at(-1))),
    refused: count(({ results }) => isRefused(results.at(-1))),
    cut: count(({ results }) => results.at(-1)?.outcome === 'cut'),
  };
}

/** Returns the fraction of requests on target, which is comparable across numbers of arrivals. */
export const onTargetFraction = ({ good, sent }: TenantFigures): number =>
  sent === 0 ? 1 : good / sent;

export const round = (value: number, digits = 4): number => Number(value.toFixed(digits));

/**
 * Computes the figures of one phase. `light` organisations stay below their rate limit;
 * `aloneFraction` is the fraction on target of one of them while it is alone on the site.
 */
export function describePhase(
  records: readonly TrafficRecord[],
  light: readonly string[],
  heavy: readonly string[],
  aloneFraction: number,
) {
  const figures = [...light, ...heavy].map(
    (name) => [name, describeTenant(selectTenant(records, name))] as const,
  );
  const lightFigures = figures.slice(0, light.length).map(([, tenant]) => tenant);
  const sent = lightFigures.reduce((sum, tenant) => sum + tenant.sent, 0);
  const refused = lightFigures.reduce((sum, tenant) => sum + tenant.refused, 0);
  return {
    sent,
    refused,
    wrongful_refusals: round(refused / Math.max(1, sent)),
    worst_org_goodput_vs_alone: round(
      Math.min(...lightFigures.map(onTargetFraction)) / aloneFraction,
    ),
    organisations: Object.fromEntries(figures),
    light_refusals: countRefusalReasons(light.flatMap((name) => [...selectTenant(records, name)])),
  };
}
