/** One holder's share of an organisation's quota: bucket, queue of debits, charges and loans. */
import { createError, monotonicMs } from '@hibiscusbank/core';
import type { OrganisationId, Telemetry } from '@hibiscusbank/core';
import type { Organisation } from '@hibiscusbank/configuration';
import { TOKEN_EPSILON } from './bucket.js';
import type { Bucket, Hold } from './bucket.js';
import { createRecentIds } from './recent-ids.js';
import { createLentLoans } from './lent-loans.js';
import { GRANT_VALIDITY_MS } from './limits.js';
import { createReceivedLoans } from './received-loans.js';
import type { ReceivedLoan, SendSettle } from './received-loans.js';
import type {
  BorrowParams,
  BorrowReply,
  DebitParams,
  DebitReply,
  SettleParams,
} from './messages.js';
import type { QuotaMetrics } from './metrics.js';

const MAX_WAITING_DEBITS = 1_000;
const MAX_CHARGES = 20_000;
/** Waiting debits are re-evaluated at this interval, as holds expire and loans arrive. */
const RECHECK_INTERVAL_MS = 50;
/** A request for a loan also covers the tokens that the organisation's rate yields in this time. */
const PREFETCH_MS = 400;
const MS_PER_S = 1_000;
/** Retry-After for an organisation whose rate is 0. */
const NO_RATE_RETRY_MS = 60_000;

interface WaitingDebit {
  readonly id: string;
  readonly tokens: number;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly resolve: (reply: DebitReply) => void;
  readonly reject: (error: Error) => void;
}

interface StoredCharge {
  readonly tokens: number;
  readonly hold: Hold;
}

export interface ShareOptions {
  readonly organisation: OrganisationId;
  readonly bucket: Bucket;
  readonly findLimits: () => Organisation | undefined;
  /** May detect an interruption and close this share, so `closed` is read again after each call. */
  readonly maySpend: () => boolean;
  /** Called when `deficit` may be positive, so that tokens are borrowed. */
  readonly onDeficit: () => void;
  readonly sendSettle: SendSettle;
  readonly telemetry: Telemetry;
  readonly metrics: QuotaMetrics;
}

export interface Share {
  readonly organisation: OrganisationId;
  readonly bucket: Bucket;
  debit(params: DebitParams): Promise<DebitReply>;
  /**
   * Refunds tokens of a charge or cancels a waiting debit. Returns the tokens that did not fit into
   * the bucket, and an upper bound of the charge's age.
   */
  refund(id: string, tokens: number): { readonly excess: number; readonly ageMs: number };
  /** Adds the excess of a refund that the other holder received. A repeated id has no effect. */
  addExcessRefund(id: string, tokens: number, ageMs: number): void;
  lend(params: BorrowParams): BorrowReply;
  settle(params: SettleParams): void;
  receiveLoan(loan: ReceivedLoan): void;
  /** Returns the number of tokens to borrow now; 0 when no debit waits for tokens. */
  deficit(): number;
  waitingCount(): number;
  /** Rejects the waiting debits and returns received loans. A closed share grants nothing. */
  close(): void;
}

/** Creates a share over a bucket. */
export function createShare(options: ShareOptions): Share {
  const { organisation, bucket, metrics, telemetry } = options;
  const charges = new Map<string, StoredCharge>();
  const lentLoans = createLentLoans(bucket);
  const receivedLoans = createReceivedLoans(organisation, options.sendSettle);
  const cancelledIds = createRecentIds();
  const excessRefundIds = createRecentIds();
  let waiting: WaitingDebit[] = [];
  let timer: NodeJS.Timeout | undefined;
  let closed = false;

  const sumWaiting = (): number => waiting.reduce((sum, debit) => sum + debit.tokens, 0);

  const checkBalance = (): void => {
    const balance = bucket.balance();
    const limit = Math.max(0, bucket.capacity() - bucket.inFlightTokens());
    const isWithinLimit = balance >= 0 && balance <= limit + TOKEN_EPSILON;
    telemetry.invariants.check(isWithinLimit, 'quota_balance_within_share', () =>
      JSON.stringify({ organisation, balance, limit }),
    );
  };

  const retryAfterMs = (tokensAhead: number): number => {
    const rate = options.findLimits()?.ratePerS ?? 0;
    const missing = Math.max(0, tokensAhead - bucket.balance());
    if (rate <= 0) return NO_RATE_RETRY_MS;
    return Math.max(1, Math.ceil((missing / rate) * MS_PER_S));
  };

  const grant = (debit: WaitingDebit): void => {
    const fromBucket = receivedLoans.spend(debit.tokens);
    const hold = bucket.take(fromBucket, GRANT_VALIDITY_MS);
    charges.set(debit.id, { tokens: debit.tokens, hold });
    const [oldest] = charges.keys();
    if (charges.size > MAX_CHARGES && oldest !== undefined) charges.delete(oldest);
    const waitedMs = monotonicMs() - debit.arrivedAt;
    metrics.debits.inc({ result: 'granted' });
    metrics.debitWaitSeconds.observe(waitedMs / MS_PER_S);
    telemetry.log('debitGranted', { organisation, id: debit.id, tokens: debit.tokens, waitedMs });
    checkBalance();
    debit.resolve({ granted: true, waitedMs, retryAfterMs: 0 });
  };

  const refuse = (debit: WaitingDebit, tokensAhead: number): void => {
    const waitedMs = monotonicMs() - debit.arrivedAt;
    const retryMs = retryAfterMs(tokensAhead + debit.tokens);
    metrics.debits.inc({ result: 'refused' });
    telemetry.log('debitRefused', { organisation, id: debit.id, tokens: debit.tokens, waitedMs });
    debit.resolve({ granted: false, waitedMs, retryAfterMs: retryMs });
  };

  const refuseTimedOut = (): void => {
    const now = monotonicMs();
    const timedOut = waiting.filter((debit) => debit.deadline <= now);
    if (timedOut.length === 0) return;
    waiting = waiting.filter((debit) => debit.deadline > now);
    const tokensAhead = sumWaiting();
    timedOut.forEach((debit) => refuse(debit, tokensAhead));
  };

  const grantInOrder = (): void => {
    let [head] = waiting;
    while (head !== undefined) {
      if (bucket.balance() + receivedLoans.total() + TOKEN_EPSILON < head.tokens) return;
      waiting.shift();
      grant(head);
      [head] = waiting;
    }
  };

  const processQueue = (): void => {
    clearTimeout(timer);
    if (closed || !options.maySpend() || closed) return;
    const now = monotonicMs();
    receivedLoans.returnExpired(now);
    grantInOrder();
    refuseTimedOut();
    const [head] = waiting;
    if (head === undefined) {
      receivedLoans.returnAll();
      return;
    }
    const recheckMs = Math.min(
      RECHECK_INTERVAL_MS,
      ...waiting.map((debit) => debit.deadline - now),
    );
    const accrualMs = bucket.msUntil(head.tokens - receivedLoans.total());
    timer = setTimeout(processQueue, Math.max(1, Math.min(recheckMs, accrualMs)));
    options.onDeficit();
  };

  const isKnown = (id: string): boolean =>
    charges.has(id) || cancelledIds.has(id) || waiting.some((debit) => debit.id === id);

  const enqueue = (params: DebitParams): Promise<DebitReply> =>
    new Promise((resolve, reject) => {
      const arrivedAt = monotonicMs();
      const { id, tokens } = params;
      const deadline = arrivedAt + params.waitMs;
      waiting.push({ id, tokens, arrivedAt, deadline, resolve, reject });
      processQueue();
    });

  return {
    organisation,
    bucket,
    debit: async (params) => {
      if (closed || !options.maySpend() || closed) {
        throw createError('not_ready', `this VM holds no share of ${organisation}; ask another`);
      }
      if (isKnown(params.id)) {
        throw createError('conflict', `debit ${params.id} was received before; use a new id`);
      }
      if (waiting.length < MAX_WAITING_DEBITS) return enqueue(params);
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
        queued.reject(createError('cancelled', `debit ${id} was cancelled`));
      }
      // A refund of an unknown debit arrived before the debit or repeats an earlier refund. The id
      // is recorded, so that the debit is rejected when it arrives.
      cancelledIds.add(id);
      if (charge === undefined) return { excess: 0, ageMs: 0 };
      charges.delete(id);
      const unused = Math.min(tokens, charge.tokens);
      const now = monotonicMs();
      if (now < charge.hold.expiresAt) bucket.reduceHold(charge.hold, unused);
      const excess = unused - bucket.refund(unused, charge.hold.expiresAt);
      checkBalance();
      processQueue();
      return { excess, ageMs: Math.max(0, now - charge.hold.expiresAt) + GRANT_VALIDITY_MS };
    },
    addExcessRefund: (id, tokens, ageMs) => {
      if (closed || excessRefundIds.has(id)) return;
      excessRefundIds.add(id);
      const lost = tokens - bucket.refund(tokens, monotonicMs() - ageMs);
      metrics.lostTokens.inc({ reason: 'refund' }, Math.max(0, lost));
      processQueue();
    },
    lend: (params) => {
      if (closed || !options.maySpend() || closed) return { granted: 0, available: 0 };
      const reply = lentLoans.lend(params, sumWaiting());
      checkBalance();
      return reply;
    },
    settle: (params) => {
      lentLoans.settle(params);
      checkBalance();
      processQueue();
    },
    receiveLoan: (loan) => {
      const isUsable = !closed && options.maySpend() && monotonicMs() < loan.usableUntil;
      if (!isUsable || closed) {
        receivedLoans.returnLoan(loan);
        return;
      }
      receivedLoans.add(loan, bucket.add(loan.tokens));
      processQueue();
    },
    deficit: () => {
      const [head] = waiting;
      if (head === undefined || closed) return 0;
      const balance = bucket.balance();
      const missing = head.tokens - balance - receivedLoans.total();
      if (missing <= TOKEN_EPSILON) return 0;
      const prefetch = ((options.findLimits()?.ratePerS ?? 0) / MS_PER_S) * PREFETCH_MS;
      const wanted = sumWaiting() + prefetch - balance - receivedLoans.total();
      return Math.max(missing, Math.min(wanted, bucket.freeCapacity()));
    },
    waitingCount: () => waiting.length,
    close: () => {
      closed = true;
      clearTimeout(timer);
      receivedLoans.returnAll();
      const unserved = waiting;
      waiting = [];
      unserved.forEach((debit) =>
        debit.reject(createError('not_ready', 'the share moved to another VM; ask again')),
      );
    },
  };
}
