/** Checks the rate of organisations by a log of all charges and refunds. */
import type { OrganisationId } from '@hibiscusbank/core';
import type { Organisation } from '@hibiscusbank/configuration';
import type { Quota } from '@hibiscusbank/quota';

interface Entry {
  readonly organisation: OrganisationId;
  readonly tokens: number;
  /** The holder took or got the tokens between these times. */
  readonly fromMs: number;
  readonly untilMs: number;
}

export interface QuotaLog {
  /** Logs the debits and refunds of a node from now on. */
  observe(quota: Quota): void;
  /** Windows in which an organisation got more than rate x time + burst. */
  findExcess(organisations: readonly Organisation[]): readonly string[];
}

/** A refund is retried for at most this time. */
const REFUND_MS = 30_000;
const MS_PER_S = 1_000;
/** Rounding of accrued tokens. */
const SLACK_TOKENS = 1;

/** Creates an empty log. */
export function createQuotaLog(nowMs: () => number): QuotaLog {
  const charges: Entry[] = [];
  const refunds: Entry[] = [];

  /** Counts only what surely lies in the window, and every refund that may lie in it. */
  const measure = (organisation: OrganisationId, fromMs: number, untilMs: number): number => {
    const own = ({ organisation: id }: Entry): boolean => id === organisation;
    const charged = charges
      .filter((entry) => own(entry) && entry.fromMs >= fromMs && entry.untilMs <= untilMs)
      .reduce((sum, { tokens }) => sum + tokens, 0);
    const refunded = refunds
      .filter((entry) => own(entry) && entry.fromMs <= untilMs && entry.untilMs >= fromMs)
      .reduce((sum, { tokens }) => sum + tokens, 0);
    return charged - refunded;
  };

  const findWorst = (organisation: Organisation): string | undefined => {
    const own = charges.filter((entry) => entry.organisation === organisation.id);
    const starts = [...new Set(own.map(({ fromMs }) => fromMs))];
    const ends = [...new Set(own.map(({ untilMs }) => untilMs))];
    for (const from of starts) {
      for (const until of ends) {
        if (until < from) continue;
        const got = measure(organisation.id, from, until);
        const allowed =
          (organisation.ratePerS * (until - from)) / MS_PER_S + organisation.burst + SLACK_TOKENS;
        if (got > allowed) {
          return `${organisation.id} got ${got} of ${allowed} tokens in ${from} to ${until} ms`;
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
        refunds.push({ organisation, tokens, fromMs, untilMs: fromMs + REFUND_MS });
        refund(charge, tokens);
      };
    },
    findExcess: (organisations) =>
      organisations.flatMap((organisation) => findWorst(organisation) ?? []),
  };
}
