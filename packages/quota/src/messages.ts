/** Messages between nodes. */
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
  /** Unique per attempt. */
  readonly id: string;
}

export interface DebitReply {
  readonly granted: boolean;
  /** Time from arrival to the debit. */
  readonly waitedMs: number;
  readonly retryAfterMs: number;
}

export interface RefundParams {
  readonly organisation: OrganisationId;
  readonly id: string;
  readonly tokens: number;
  /** Set by a holder that passes the excess on: time since the charge. */
  readonly ageMs?: number;
}

export interface BorrowParams {
  readonly organisation: OrganisationId;
  readonly tokens: number;
  /** Identifies the loan in `quota.settle`; a repeat is refused. */
  readonly id: string;
}

export interface BorrowReply {
  readonly granted: number;
  /** What the lender has left. */
  readonly available: number;
}

export interface SettleParams {
  readonly organisation: OrganisationId;
  /** Id of the loan. */
  readonly id: string;
  /** Id of this message: a loan may be settled in parts, each once. */
  readonly message: string;
  /** Tokens whose room the lender may use again. */
  readonly spent: number;
  /** Tokens given back unused. */
  readonly returned: number;
}

export interface AdoptParams {
  readonly version: number;
  /** Whether balances are to be handed over. */
  readonly handover: boolean;
}

export interface AdoptReply {
  /** Version that the member knows. */
  readonly version: number;
  /** Whether the member holds nothing that this version assigns to others. */
  readonly acknowledged: boolean;
  /** Whether the member knows that it has not missed its own removal. */
  readonly current: boolean;
  readonly balances: Readonly<Record<OrganisationId, number>>;
}
