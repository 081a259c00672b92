/** RPC methods of the quota, with their parameters and replies. */
import type { OrganisationId } from '@hibiscusbank/core';

export const methods = {
  debit: 'quota.debit',
  refund: 'quota.refund',
  borrow: 'quota.borrow',
  settle: 'quota.settle',
  adopt: 'quota.adopt',
  ping: 'quota.ping',
} as const;

export interface DebitParams {
  readonly organisation: OrganisationId;
  readonly tokens: number;
  readonly waitMs: number;
  /** Unique per attempt to debit. */
  readonly id: string;
}

export interface DebitReply {
  readonly granted: boolean;
  /** Time from the arrival of the debit to its grant or refusal. */
  readonly waitedMs: number;
  readonly retryAfterMs: number;
}

export interface RefundParams {
  readonly organisation: OrganisationId;
  readonly id: string;
  readonly tokens: number;
  /** Time since the charge. Set by a holder that forwards the excess to the other holder. */
  readonly ageMs?: number;
}

export interface BorrowParams {
  readonly organisation: OrganisationId;
  readonly tokens: number;
  /** Identifies the loan in `quota.settle`. A repeated id is refused. */
  readonly id: string;
}

export interface BorrowReply {
  readonly granted: number;
  /** Tokens that the lender can still lend. */
  readonly available: number;
}

export interface SettleParams {
  readonly organisation: OrganisationId;
  /** Id of the loan. */
  readonly id: string;
  /** Id of this message. A loan may be settled in parts, each of which counts once. */
  readonly message: string;
  /** Tokens spent or deposited by the borrower; the lender may use their capacity again. */
  readonly spent: number;
  /** Tokens returned unused. */
  readonly returned: number;
}

export interface AdoptParams {
  readonly version: number;
  /** Whether the receiver shall hand over balances. */
  readonly handover: boolean;
}

export interface AdoptReply {
  /** Newest version that the member knows. */
  readonly version: number;
  /** Whether the member holds nothing that this version assigns to others. */
  readonly acknowledged: boolean;
  /** Whether the member knows that it has not missed its own removal. */
  readonly current: boolean;
  readonly balances: Readonly<Record<OrganisationId, number>>;
}
