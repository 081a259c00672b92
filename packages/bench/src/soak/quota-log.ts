/** Logs all charges and refunds and checks them against the rate and burst of each organisation. */
import type { OrganisationId } from '@hibiscusbank/core';
import type { Organisation } from '@hibiscusbank/configuration';
import type { Quota } from '@hibiscusbank/quota';

interface LogEntry {
  readonly organisation: OrganisationId;
  readonly tokens: number;
  /** Start and end of the interval in which the holder debited or refunded the tokens. */
  readonly fromMs: number;
  readonly untilMs: number;
}

export interface QuotaLog {
  /** Wraps the quota of a node so that all its debits and refunds are logged. */
  observe(quota: Quota): void;
  /** Describes, for each organisation that exceeded rate x time + burst, one window in which it did. */
  findExcess(organisations: readonly Organisation[]): readonly string[];
}

/** Maximum time for which a refund is retried. */
const MAX_REFUND_RETRY_MS = 30_000;
const MS_PER_S = 1_000;
/** Tolerates the rounding of accrued tokens. */
const ROUNDING_TOLERANCE_TOKENS = 1;

export function createQuotaLog(nowMs: () => number): QuotaLog {
  const charges: LogEntry[] = [];
  const refunds: LogEntry[] = [];

  /**
   * Returns the tokens that were certainly used in the window: charges whose interval lies within it, less all
   * refunds whose interval overlaps it.
   */
  const countUsedTokens = (
    organisation: OrganisationId,
    fromMs: number,
    untilMs: number,
  ): number => {
    const isOfOrganisation = ({ organisation: id }: LogEntry): boolean => id === organisation;
    const charged = charges
      .filter(
        (entry) => isOfOrganisation(entry) && entry.fromMs >= fromMs && entry.untilMs <= untilMs,
      )
      .reduce((sum, { tokens }) => sum + tokens, 0);
    const refunded = refunds
      .filter(
        (entry) => isOfOrganisation(entry) && entry.fromMs <= untilMs && entry.untilMs >= fromMs,
      )
      .reduce((sum, { tokens }) => sum + tokens, 0);
    return charged - refunded;
  };

  const findExcessWindow = (organisation: Organisation): string | undefined => {
    const organisationCharges = charges.filter((entry) => entry.organisation === organisation.id);
    const starts = [...new Set(organisationCharges.map(({ fromMs }) => fromMs))];
    const ends = [...new Set(organisationCharges.map(({ untilMs }) => untilMs))];
    for (const windowStartMs of starts) {
      for (const windowEndMs of ends) {
        if (windowEndMs < windowStartMs) continue;
        const usedTokens = countUsedTokens(organisation.id, windowStartMs, windowEndMs);
        const allowedTokens =
          (organisation.ratePerS * (windowEndMs - windowStartMs)) / MS_PER_S +
          organisation.burst +
          ROUNDING_TOLERANCE_TOKENS;
        if (usedTokens > allowedTokens) {
          return `${organisation.id} used ${usedTokens} of ${allowedTokens} tokens from ${windowStartMs} to ${windowEndMs} ms`;
        }
      }
    }
    return undefined;
  };

  return {
    observe: (quota) => {
      const { debit, refund } = quota;
      const observed = quota;
      observed.debit = (req) => {
        const fromMs = nowMs();
        return debit(req).map((charge) => {
          const { organisation, tokens } = charge;
          charges.push({ organisation, tokens, fromMs, untilMs: nowMs() });
          return charge;
        });
      };
      observed.refund = (charge, tokens) => {
        const fromMs = nowMs();
        const { organisation } = charge;
        refunds.push({ organisation, tokens, fromMs, untilMs: fromMs + MAX_REFUND_RETRY_MS });
        refund(charge, tokens);
      };
    },
    findExcess: (organisations) =>
      organisations.flatMap((organisation) => findExcessWindow(organisation) ?? []),
  };
}
