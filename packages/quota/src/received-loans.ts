/** Loans that a share has received and not yet spent, deposited or returned to the lender. */
import type { OrganisationId, VmId } from '@hibiscusbank/core';
import { TOKEN_EPSILON } from './bucket.js';
import { GRANT_VALIDITY_MS } from './limits.js';
import type { SettleParams } from './messages.js';

/** Tokens lent by another holder, which keeps their capacity reserved. */
export interface ReceivedLoan {
  readonly id: string;
  readonly lender: VmId;
  tokens: number;
  readonly usableUntil: number;
}

/** Reports to a lender how much of its loan was spent and returned. */
export type SendSettle = (lender: VmId, params: Omit<SettleParams, 'message'>) => void;

export interface ReceivedLoans {
  total(): number;
  /** Reports the part of a loan that was deposited in the bucket as spent and stores the rest. */
  add(loan: ReceivedLoan, deposited: number): void;
  /** Spends up to `tokens` from the loans and returns the number that they do not cover. */
  spend(tokens: number): number;
  returnLoan(loan: ReceivedLoan): void;
  /** Sends the loans that can no longer be used at `now` back to their lenders. */
  returnExpired(now: number): void;
  returnAll(): void;
}

/** Creates an empty set of loans. */
export function createReceivedLoans(
  organisation: OrganisationId,
  sendSettle: SendSettle,
): ReceivedLoans {
  let loans: ReceivedLoan[] = [];

  const returnLoan = ({ id, lender, tokens }: ReceivedLoan): void =>
    sendSettle(lender, { organisation, id, spent: 0, returned: tokens });

  const returnWhere = (isDue: (loan: ReceivedLoan) => boolean): void => {
    const due = loans.filter(isDue);
    loans = loans.filter((loan) => !due.includes(loan));
    due.forEach(returnLoan);
  };

  const spendFrom = (loan: ReceivedLoan, spent: number): void => {
    loan.tokens -= spent;
    const params = { organisation, id: loan.id, spent, returned: 0 };
    // The lender holds the capacity until the grant has been admitted or dropped.
    setTimeout(() => sendSettle(loan.lender, params), GRANT_VALIDITY_MS);
  };

  return {
    total: () => loans.reduce((sum, loan) => sum + loan.tokens, 0),
    add: (loan, deposited) => {
      const { id, lender } = loan;
      loan.tokens -= deposited;
      if (deposited > 0) sendSettle(lender, { organisation, id, spent: deposited, returned: 0 });
      if (loan.tokens > TOKEN_EPSILON) loans.push(loan);
    },
    spend: (tokens) => {
      let uncovered = tokens;
      for (const loan of loans) {
        const spent = Math.min(loan.tokens, uncovered);
        if (spent > 0) spendFrom(loan, spent);
        uncovered -= spent;
      }
      loans = loans.filter((loan) => loan.tokens > TOKEN_EPSILON);
      return uncovered;
    },
    returnLoan,
    returnExpired: (now) => returnWhere((loan) => loan.usableUntil <= now),
    returnAll: () => returnWhere(() => true),
  };
}
