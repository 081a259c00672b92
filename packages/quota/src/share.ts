/** A holder's share of one organisation: its bucket, waiting debits, charges and loans. */
import { createError, monotonicMs } from '@hibiscusbank/core';
import type { OrganisationId, Telemetry, VmId } from '@hibiscusbank/core';
import type { Organisation } from '@hibiscusbank/configuration';
import { TOKEN_EPSILON } from './bucket.js';
import type { Bucket, Hold } from './bucket.js';
import { createRecentIds } from './recent-ids.js';
import { GRANT_VALIDITY_MS, LOAN_HOLD_MS } from './limits.js';
import type {
  BorrowParams,
  BorrowReply,
  DebitParams,
  DebitReply,
  SettleParams,
} from './messages.js';
import type { QuotaMetrics } from './metrics.js';

const MAX_WAITING = 1_000;
const MAX_CHARGES = 20_000;
/** Holds end and loans arrive while a debit waits; it looks again this often. */
const RECHECK_MS = 50;
/** A loan also covers what the organisation's rate yields in this time. */
const PREFETCH_MS = 100;
const MS_PER_S = 1_000;
/** Retry-After of an organisation whose rate is 0. */
const NO_RATE_RETRY_MS = 60_000;

interface WaitingDebit {
  readonly id: string;
  readonly tokens: number;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly settle: (reply: DebitReply) => void;
  readonly fail: (error: Error) => void;
}

interface StoredCharge {
  readonly tokens: number;
  readonly hold: Hold;
}

/** Tokens of another holder, whose room that holder still keeps. */
export interface ReceivedLoan {
  readonly id: string;
  readonly lender: VmId;
  tokens: number;
  readonly usableUntil: number;
}

export interface ShareOptions {
  readonly organisation: OrganisationId;
  readonly bucket: Bucket;
  readonly findLimits: () => Organisation | undefined;
  readonly mayContinue: () => boolean;
  /** Asks for loans while `deficit` is positive. */
  readonly onDeficit: () => void;
  readonly sendSettle: (lender: VmId, params: Omit<SettleParams, 'message'>) => void;
  readonly telemetry: Telemetry;
  readonly metrics: QuotaMetrics;
}

export interface Share {
  readonly organisation: OrganisationId;
  readonly bucket: Bucket;
  debit(params: DebitParams): Promise<DebitReply>;
  /** Returns the tokens that found no room, and the age of the charge. */
  refund(id: string, tokens: number): { readonly excess: number; readonly ageMs: number };
  /** Takes the excess of the other holder's refund; a repeated id gives nothing. */
  takeExcess(id: string, tokens: number, ageMs: number): void;
  lend(params: BorrowParams): BorrowReply;
  settle(params: SettleParams): void;
  receive(loan: ReceivedLoan): void;
  /** Tokens to borrow now; 0 when nothing waits for tokens. */
  deficit(): number;
  waiting(): number;
  /** Fails waiting debits and gives loans back; nothing is granted afterwards. */
  close(): void;
}

/** Creates a share over a bucket. */
export function createShare(options: ShareOptions): Share {
  const { organisation, bucket, metrics, telemetry } = options;
  const charges = new Map<string, StoredCharge>();
  const lent = new Map<string, Hold>();
  const cancelled = createRecentIds();
  const passed = createRecentIds();
  const loanIds = createRecentIds();
  const settlements = createRecentIds();
  let waiting: WaitingDebit[] = [];
  let received: ReceivedLoan[] = [];
  let timer: NodeJS.Timeout | undefined;
  let closed = false;

  const sumReceived = (): number => received.reduce((sum, loan) => sum + loan.tokens, 0);
  const sumWaiting = (): number => waiting.reduce((sum, debit) => sum + debit.tokens, 0);

  const checkBalance = (): void => {
    const balance = bucket.balance();
    const limit = Math.max(0, bucket.capacity() - bucket.held());
    const holds = balance >= 0 && balance <= limit + TOKEN_EPSILON;
    telemetry.invariants.check(holds, 'quota_balance_within_share', () =>
      JSON.stringify({ organisation, balance, limit }),
    );
  };

  const giveBack = (loan: ReceivedLoan): void => {
    options.sendSettle(loan.lender, {
      organisation,
      id: loan.id,
      spent: 0,
      returned: loan.tokens,
    });
  };

  const dropLoans = (isDropped: (loan: ReceivedLoan) => boolean): void => {
    const dropped = received.filter(isDropped);
    received = received.filter((loan) => !dropped.includes(loan));
    dropped.forEach(giveBack);
  };

  const spendLoan = (loan: ReceivedLoan, spent: number): void => {
    loan.tokens -= spent;
    const params = { organisation, id: loan.id, spent, returned: 0 };
    // The lender keeps the room until the grant is admitted or dropped.
    setTimeout(() => options.sendSettle(loan.lender, params), GRANT_VALIDITY_MS);
  };

  const spendLoans = (tokens: number): number => {
    let left = tokens;
    for (const loan of received) {
      const part = Math.min(loan.tokens, left);
      if (part > 0) spendLoan(loan, part);
      left -= part;
    }
    received = received.filter((loan) => loan.tokens > TOKEN_EPSILON);
    return left;
  };

  const retryAfterMs = (tokensAhead: number): number => {
    const rate = options.findLimits()?.ratePerS ?? 0;
    const missing = Math.max(0, tokensAhead - bucket.balance());
    if (rate <= 0) return NO_RATE_RETRY_MS;
    return Math.max(1, Math.ceil((missing / rate) * MS_PER_S));
  };

  const grant = (debit: WaitingDebit): void => {
    const own = spendLoans(debit.tokens);
    const hold = bucket.take(own, GRANT_VALIDITY_MS);
    charges.set(debit.id, { tokens: debit.tokens, hold });
    const [oldest] = charges.keys();
    if (charges.size > MAX_CHARGES && oldest !== undefined) charges.delete(oldest);
    const waitedMs = monotonicMs() - debit.arrivedAt;
    metrics.debits.inc({ result: 'granted' });
    metrics.debitWaitSeconds.observe(waitedMs / MS_PER_S);
    telemetry.log('debitGranted', { organisation, id: debit.id, tokens: debit.tokens, waitedMs });
    checkBalance();
    debit.settle({ granted: true, waitedMs, retryAfterMs: 0 });
  };

  const refuse = (debit: WaitingDebit, ahead: number): void => {
    const waitedMs = monotonicMs() - debit.arrivedAt;
    const retry = retryAfterMs(ahead + debit.tokens);
    metrics.debits.inc({ result: 'refused' });
    telemetry.log('debitRefused', { organisation, id: debit.id, tokens: debit.tokens, waitedMs });
    debit.settle({ granted: false, waitedMs, retryAfterMs: retry });
  };

  const refuseOverdue = (): void => {
    const now = monotonicMs();
    const overdue = waiting.filter((debit) => debit.deadline <= now);
    if (overdue.length === 0) return;
    waiting = waiting.filter((debit) => debit.deadline > now);
    const ahead = sumWaiting();
    overdue.forEach((debit) => refuse(debit, ahead));
  };

  const grantInOrder = (): void => {
    let [head] = waiting;
    while (head !== undefined) {
      if (bucket.balance() + sumReceived() + TOKEN_EPSILON < head.tokens) return;
      waiting.shift();
      grant(head);
      [head] = waiting;
    }
  };

  const pump = (): void => {
    clearTimeout(timer);
    if (closed || !options.mayContinue() || closed) return;
    const now = monotonicMs();
    dropLoans((loan) => loan.usableUntil <= now);
    grantInOrder();
    refuseOverdue();
    const [head] = waiting;
    if (head === undefined) {
      dropLoans(() => true);
      return;
    }
    const due = Math.min(RECHECK_MS, ...waiting.map((debit) => debit.deadline - now));
    const accrued = bucket.msUntil(head.tokens - sumReceived());
    timer = setTimeout(pump, Math.max(1, Math.min(due, accrued)));
    options.onDeficit();
  };

  const isKnown = (id: string): boolean =>
    charges.has(id) || cancelled.has(id) || waiting.some((debit) => debit.id === id);

  const enqueue = (params: DebitParams): Promise<DebitReply> =>
    new Promise((settle, fail) => {
      const arrivedAt = monotonicMs();
      const { id, tokens } = params;
      const deadline = arrivedAt + params.waitMs;
      waiting.push({ id, tokens, arrivedAt, deadline, settle, fail });
      pump();
    });

  const forgetEndedLoans = (): void => {
    const now = monotonicMs();
    for (const [id, hold] of lent) if (hold.until <= now) lent.delete(id);
  };

  return {
    organisation,
    bucket,
    debit: async (params) => {
      if (closed || !options.mayContinue() || closed) {
        throw createError('not_ready', `this VM holds no share of ${organisation}; ask another`);
      }
      if (isKnown(params.id)) {
        throw createError('conflict', `debit ${params.id} was received before; use a new id`);
      }
      if (waiting.length < MAX_WAITING) return enqueue(params);
      return {
        granted: false,
        waitedMs: 0,
        retryAfterMs: retryAfterMs(sumWaiting() + params.tokens),
      };
    },
    refund: (id, tokens) => {
      const queued = waiting.find((debit) => debit.id === id);
      const charge = charges.get(id);
      if (queued !== undefined) {
        waiting = waiting.filter((debit) => debit !== queued);
        queued.fail(createError('cancelled', `debit ${id} was cancelled`));
      }
      // The refund of an unknown debit overtook it, or repeats an earlier refund.
      cancelled.add(id);
      if (charge === undefined) return { excess: 0, ageMs: 0 };
      charges.delete(id);
      const unused = Math.min(tokens, charge.tokens);
      const now = monotonicMs();
      if (now < charge.hold.until) bucket.shrinkHold(charge.hold, unused);
      const excess = unused - bucket.addBack(unused, charge.hold.until);
      checkBalance();
      pump();
      return { excess, ageMs: Math.max(0, now - charge.hold.until) + GRANT_VALIDITY_MS };
    },
    takeExcess: (id, tokens, ageMs) => {
      if (closed || passed.has(id)) return;
      passed.add(id);
      const lost = tokens - bucket.addBack(tokens, monotonicMs() - ageMs);
      metrics.lostTokens.inc({ reason: 'refund' }, Math.max(0, lost));
      pump();
    },
    lend: (params) => {
      if (closed || !options.mayContinue() || closed || loanIds.has(params.id)) {
        return { granted: 0, available: 0 };
      }
      loanIds.add(params.id);
      forgetEndedLoans();
      const available = Math.max(0, bucket.balance() - sumWaiting());
      const granted = Math.min(available, params.tokens);
      if (granted > 0) lent.set(params.id, bucket.take(granted, LOAN_HOLD_MS));
      checkBalance();
      return { granted, available: available - granted };
    },
    settle: ({ id, message, spent, returned }) => {
      const hold = lent.get(id);
      if (hold === undefined || settlements.has(message)) return;
      settlements.add(message);
      if (hold.until <= monotonicMs()) {
        lent.delete(id);
        return;
      }
      const back = Math.min(returned, hold.tokens);
      bucket.shrinkHold(hold, back + Math.max(0, spent));
      if (hold.tokens <= TOKEN_EPSILON) lent.delete(id);
      bucket.add(back);
      checkBalance();
      pump();
    },
    receive: (loan) => {
      const isUsable = !closed && options.mayContinue() && monotonicMs() < loan.usableUntil;
      if (!isUsable || closed) {
        giveBack(loan);
        return;
      }
      const deposited = bucket.add(loan.tokens);
      loan.tokens -= deposited;
      if (deposited > 0) {
        const params = { organisation, id: loan.id, spent: deposited, returned: 0 };
        options.sendSettle(loan.lender, params);
      }
      if (loan.tokens > TOKEN_EPSILON) received.push(loan);
      pump();
    },
    deficit: () => {
      const [head] = waiting;
      if (head === undefined || closed) return 0;
      const balance = bucket.balance();
      const missing = head.tokens - balance - sumReceived();
      if (missing <= TOKEN_EPSILON) return 0;
      const prefetch = ((options.findLimits()?.ratePerS ?? 0) / MS_PER_S) * PREFETCH_MS;
      const wanted = sumWaiting() + prefetch - balance - sumReceived();
      return Math.max(missing, Math.min(wanted, bucket.room()));
    },
    waiting: () => waiting.length,
    close: () => {
      closed = true;
      clearTimeout(timer);
      dropLoans(() => true);
      const failed = waiting;
      waiting = [];
      failed.forEach((debit) =>
        debit.fail(createError('not_ready', 'the share moved to another VM; ask again')),
      );
    },
  };
}
