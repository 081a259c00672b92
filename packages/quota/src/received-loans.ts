/** Loans that a share has received and not yet spent, deposited or given back. */
import type { OrganisationId, VmId } from '@hibiscusbank/core';
import { TOKEN_EPSILON } from './bucket.js';
import { GRANT_VALIDITY_MS } from './limits.js';
import type { SettleParams } from './messages.js';

/** Tokens of another holder, whose room that holder still keeps. */
export interface ReceivedLoan {
  readonly id: string;
  readonly lender: VmId;
  tokens: number;
  readonly usableUntil: number;
}

/** Tells a lender what became of its loan. */
export type SendSettle = (lender: VmId, params: Omit<SettleParams, 'message'>) => void;

export interface ReceivedLoans {
  total(): number;
  /** Reports the deposited part and keeps the rest. */
  keep(loan: ReceivedLoan, deposited: number): void;
  /** Spends up to `tokens` and returns what is left to pay. */
  spend(tokens: number): number;
  giveBack(loan: ReceivedLoan): void;
  /** Gives back the loans that can no longer be used at `now`. */
  giveBackExpired(now: number): void;
  giveBackAll(): void;
}

/** Creates an empty set of loans. */
export function createReceivedLoans(
  organisation: OrganisationId,
  sendSettle: SendSettle,
): ReceivedLoans {
  let loans: ReceivedLoan[] = [];

  const giveBack = ({ id, lender, tokens }: ReceivedLoan): void =>
    sendSettle(lender, { organisation, id, spent: 0, returned: tokens });

  const giveBackIf = (isDue: (loan: ReceivedLoan) => boolean): void => {
    const due = loans.filter(isDue);
    loans = loans.filter((loan) => !due.includes(loan));
    due.forEach(giveBack);
  };

  const spendFrom = (loan: ReceivedLoan, spent: number): void => {
    loan.tokens -= spent;
    const params = { organisation, id: loan.id, spent, returned: 0 };
    // The lender keeps the room until the grant is admitted or dropped.
    setTimeout(() => sendSettle(loan.lender, params), GRANT_VALIDITY_MS);
  };

  return {
    total: () => loans.reduce((sum, loan) => sum + loan.tokens, 0),
    keep: (loan, deposited) => {
      const { id, lender } = loan;
      loan.tokens -= deposited;
      if (deposited > 0) sendSettle(lender, { organisation, id, spent: deposited, returned: 0 });
      if (loan.tokens > TOKEN_EPSILON) loans.push(loan);
    },
    spend: (tokens) => {
      let left = tokens;
      for (const loan of loans) {
        const part = Math.min(loan.tokens, left);
        if (part > 0) spendFrom(loan, part);
        left -= part;
      }
      loans = loans.filter((loan) => loan.tokens > TOKEN_EPSILON);
      return left;
    },
    giveBack,
    giveBackExpired: (now) => giveBackIf((loan) => loan.usableUntil <= now),
    giveBackAll: () => giveBackIf(() => true),
  };
}
