/** Loans that a share has made. The capacity of a loan is held until it is settled or expires. */
import { monotonicMs } from '@hibiscusbank/core';
import { TOKEN_EPSILON } from './bucket.js';
import type { Bucket, Hold } from './bucket.js';
import { LOAN_HOLD_MS } from './limits.js';
import type { BorrowParams, BorrowReply, SettleParams } from './messages.js';
import { createRecentIds } from './recent-ids.js';

export interface LentLoans {
  /** Lends at most the balance beyond `reserved` tokens. A repeated id gets nothing. */
  lend(params: BorrowParams, reserved: number): BorrowReply;
  /** Adds returned tokens to the bucket. A repeated or late message has no effect. */
  settle(params: SettleParams): void;
}

/** Creates the lending side of a bucket. */
export function createLentLoans(bucket: Bucket): LentLoans {
  const holds = new Map<string, Hold>();
  const loanIds = createRecentIds();
  const settlementIds = createRecentIds();

  const removeExpired = (): void => {
    const now = monotonicMs();
    for (const [id, hold] of holds) if (hold.expiresAt <= now) holds.delete(id);
  };

  return {
    lend: ({ id, tokens }, reserved) => {
      if (loanIds.has(id)) return { granted: 0, available: 0 };
      loanIds.add(id);
      removeExpired();
      const available = Math.max(0, bucket.balance() - reserved);
      const granted = Math.max(0, Math.min(available, tokens));
      if (granted > 0) holds.set(id, bucket.take(granted, LOAN_HOLD_MS));
      return { granted, available: available - granted };
    },
    settle: ({ id, message, spent, returned }) => {
      removeExpired();
      const hold = holds.get(id);
      if (hold === undefined || settlementIds.has(message)) return;
      settlementIds.add(message);
      const returnedTokens = Math.max(0, Math.min(returned, hold.tokens));
      bucket.reduceHold(hold, returnedTokens + Math.max(0, spent));
      if (hold.tokens <= TOKEN_EPSILON) holds.delete(id);
      bucket.add(returnedTokens);
    },
  };
}
