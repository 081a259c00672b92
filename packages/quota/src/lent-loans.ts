/** Loans that a share has made; each keeps its room until it is settled or has ended. */
import { monotonicMs } from '@hibiscusbank/core';
import { TOKEN_EPSILON } from './bucket.js';
import type { Bucket, Hold } from './bucket.js';
import { LOAN_HOLD_MS } from './limits.js';
import type { BorrowParams, BorrowReply, SettleParams } from './messages.js';
import { createRecentIds } from './recent-ids.js';

export interface LentLoans {
  /** Debits the bucket by at most what it has beyond `reserved`. A repeated id gets nothing. */
  lend(params: BorrowParams, reserved: number): BorrowReply;
  /** Takes returned tokens back; a repeated or late message has no effect. */
  settle(params: SettleParams): void;
}

/** Creates the lending side of a bucket. */
export function createLentLoans(bucket: Bucket): LentLoans {
  const holds = new Map<string, Hold>();
  const loanIds = createRecentIds();
  const settlements = createRecentIds();

  const forgetEnded = (): void => {
    const now = monotonicMs();
    for (const [id, hold] of holds) if (hold.until <= now) holds.delete(id);
  };

  return {
    lend: ({ id, tokens }, reserved) => {
      if (loanIds.has(id)) return { granted: 0, available: 0 };
      loanIds.add(id);
      forgetEnded();
      const available = Math.max(0, bucket.balance() - reserved);
      const granted = Math.max(0, Math.min(available, tokens));
      if (granted > 0) holds.set(id, bucket.take(granted, LOAN_HOLD_MS));
      return { granted, available: available - granted };
    },
    settle: ({ id, message, spent, returned }) => {
      forgetEnded();
      const hold = holds.get(id);
      if (hold === undefined || settlements.has(message)) return;
      settlements.add(message);
      const back = Math.max(0, Math.min(returned, hold.tokens));
      bucket.shrinkHold(hold, back + Math.max(0, spent));
      if (hold.tokens <= TOKEN_EPSILON) holds.delete(id);
      bucket.add(back);
    },
  };
}
