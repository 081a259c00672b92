/** A holder's share of one organisation: its bucket, waiting debits, charges and loans. */
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

const MAX_WAITING = 1_000;
const MAX_CHARGES = 20_000;
/** Holds end and loans arrive while a debit waits; it looks again this often. */
const RECHECK_MS = 50;
/** A loan also covers what the organisation's rate yields in this time. */
const PREFETCH_MS = 400;
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

export interface ShareOptions {
  readonly organisation: OrganisationId;
  readonly bucket: Bucket;
  readonly findLimits: () => Organisation | undefined;
  readonly mayContinue: () => boolean;
  /** Asks for loans while `deficit` is positive. */
  readonly onDeficit: () => void;
  readonly sendSettle: SendSettle;
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
  const lent = createLentLoans(bucket);
  const received = createReceivedLoans(organisation, options.sendSettle);
  const cancelled = createRecentIds();
  const passed = createRecentIds();
  let waiting: WaitingDebit[] = [];
  let timer: NodeJS.Timeout | undefined;
  let closed = false;

  const sumWaiting = (): number => waiting.reduce((sum, debit) => sum + debit.tokens, 0);

  const checkBalance = (): void => {
    const balance = bucket.balance();
    const limit = Math.max(0, bucket.capacity() - bucket.held());
    const holds = balance >= 0 && balance <= limit + TOKEN_EPSILON;
    telemetry.invariants.check(holds, 'quota_balance_within_share', () =>
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
    const own = received.spend(debit.tokens);
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
      if (bucket.balance() + received.total() + TOKEN_EPSILON < head.tokens) return;
      waiting.shift();
      grant(head);
      [head] = waiting;
    }
  };

  const pump = (): void => {
    clearTimeout(timer);
    if (closed || !options.mayContinue() || closed) return;
    const now = monotonicMs();
    received.giveBackExpired(now);
    grantInOrder();
    refuseOverdue();
    const [head] = waiting;
    if (head === undefined) {
      received.giveBackAll();
      return;
    }
    const due = Math.min(RECHECK_MS, ...waiting.map((debit) => debit.deadline - now));
    const accrued = bucket.msUntil(head.tokens - received.total());
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
      if (closed || !options.mayContinue() || closed) return { granted: 0, available: 0 };
      const reply = lent.lend(params, sumWaiting());
      checkBalance();
      return reply;
    },
    settle: (params) => {
      lent.settle(params);
      checkBalance();
      pump();
    },
    receive: (loan) => {
      const isUsable = !closed && options.mayContinue() && monotonicMs() < loan.usableUntil;
      if (!isUsable || closed) {
        received.giveBack(loan);
        return;
      }
      received.keep(loan, bucket.add(loan.tokens));
      pump();
    },
    deficit: () => {
      const [head] = waiting;
      if (head === undefined || closed) return 0;
      const balance = bucket.balance();
      const missing = head.tokens - balance - received.total();
      if (missing <= TOKEN_EPSILON) return 0;
      const prefetch = ((options.findLimits()?.ratePerS ?? 0) / MS_PER_S) * PREFETCH_MS;
      const wanted = sumWaiting() + prefetch - balance - received.total();
      return Math.max(missing, Math.min(wanted, bucket.room()));
    },
    waiting: () => waiting.length,
    close: () => {
      closed = true;
      clearTimeout(timer);
      received.giveBackAll();
      const failed = waiting;
      waiting = [];
      failed.forEach((debit) =>
        debit.fail(createError('not_ready', 'the share moved to another VM; ask again')),
      );
    },
  };
}
