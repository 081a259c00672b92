/** Interface of the quota, which limits the fleet-wide token rate and burst of organisations. */
import type { OrganisationId, RequestId, RouterError, VmId } from '@hibiscusbank/core';
import type { ResultAsync } from 'neverthrow';

export interface DebitRequest {
  readonly organisation: OrganisationId;
  readonly requestId: RequestId;
  readonly tokens: number;
  /** How long the debit may wait for tokens to accrue. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Tokens taken from a holder. */
export interface Charge {
  readonly organisation: OrganisationId;
  readonly requestId: RequestId;
  readonly holder: VmId;
  readonly tokens: number;
  /** Identifies the charge at its holder. */
  readonly id: string;
}

/** Balance of an organisation on this node, for `status`. */
export interface BalanceReport {
  readonly organisation: OrganisationId;
  readonly tokens: number;
  readonly waiting: number;
}

export interface Quota {
  /**
   * Takes tokens from a holder. Errors: `rate_exceeded` with `retryAfterMs`, `not_found` for an unknown organisation,
   * `invalid_request` for more tokens than the burst, `not_ready` when no holder can be asked,
   * `cancelled`.
   */
  debit(req: DebitRequest): ResultAsync<Charge, RouterError>;
  /** Returns the unused part of a charge to its holder. Never fails; a lost refund loses tokens. */
  refund(charge: Charge, tokens: number): void;
  balances(): readonly BalanceReport[];
  /**
   * Returns whether the ring of any data centre is known, so that debits have holders to ask. True
   * in a data centre that the pools table does not name, as it has no ring to wait for.
   */
  isReady(): boolean;
  start(): Promise<void>;
  /** Hands this VM's balances over and leaves the ring. */
  leave(): Promise<void>;
  stop(): Promise<void>;
}
