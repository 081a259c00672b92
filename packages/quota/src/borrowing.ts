/** Borrows tokens from other holders for the debits that wait at this holder. */
import { randomUUID } from 'node:crypto';
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { OrganisationId, Random, Telemetry, VmId } from '@hibiscusbank/core';
import type { PeerNetwork } from '@hibiscusbank/peers';
import { LOAN_VALIDITY_MS } from './limits.js';
import { methods } from './messages.js';
import type { BorrowReply } from './messages.js';
import type { QuotaMetrics } from './metrics.js';
import type { Share } from './share.js';

const MIN_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 400;
const MAX_LENDERS = 4;
/** A lender is asked again after it accrued tokens for this time, which bounds the request rate. */
const MIN_LOAN_ACCRUAL_MS = 250;
const UNREACHABLE_BACKOFF_MS = 1_000;
const MS_PER_S = 1_000;

/** A holder to borrow from, with the limits of its share. */
export interface Lender {
  readonly vm: VmId;
  /** Whether the lender is in the borrower's data centre. */
  readonly isLocal: boolean;
  readonly ratePerS: number;
  readonly capacity: number;
}

export interface BorrowingOptions {
  readonly network: PeerNetwork;
  readonly listLenders: (organisation: OrganisationId) => readonly Lender[];
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly metrics: QuotaMetrics;
  readonly signal: AbortSignal;
}

/** Estimate of the tokens that a lender had available at a time (monotonic ms). */
interface Estimate {
  readonly tokens: number;
  readonly at: number;
  /** The lender is not asked again before this time (monotonic ms). */
  readonly blockedUntil: number;
}

interface Candidate {
  readonly lender: Lender;
  readonly expected: number;
}

export interface Borrowing {
  /** Borrows until the share has no deficit. Only one loop runs per share. */
  borrowFor(share: Share): void;
}

/** Creates the borrowing side of one node. */
export function createBorrowing(options: BorrowingOptions): Borrowing {
  const { network, metrics, telemetry, random } = options;
  const estimates = new Map<string, Estimate>();
  const running = new Set<Share>();

  const estimateKey = (share: Share, vm: VmId): string => `${share.organisation}/${vm}`;

  const estimateAvailable = (share: Share, lender: Lender): number => {
    const estimate = estimates.get(estimateKey(share, lender.vm));
    if (estimate === undefined) return lender.capacity;
    const now = monotonicMs();
    if (now < estimate.blockedUntil) return 0;
    const accrued = ((now - estimate.at) / MS_PER_S) * lender.ratePerS;
    return Math.min(lender.capacity, estimate.tokens + accrued);
  };

  const compareCandidates = (a: Candidate, b: Candidate): number => {
    if (a.lender.isLocal !== b.lender.isLocal) return a.lender.isLocal ? -1 : 1;
    return b.expected - a.expected || random.next() - 1 / 2;
  };

  const chooseLenders = (share: Share, wanted: number): Candidate[] => {
    const isWorthwhile = ({ lender, expected }: Candidate): boolean => {
      const minimum = (lender.ratePerS / MS_PER_S) * MIN_LOAN_ACCRUAL_MS;
      return expected > 0 && expected >= Math.min(wanted, minimum, lender.capacity);
    };
    const candidates = options
      .listLenders(share.organisation)
      .map((lender) => ({ lender, expected: estimateAvailable(share, lender) }))
      .filter(isWorthwhile)
      .sort(compareCandidates);
    const chosen: Candidate[] = [];
    let missing = wanted;
    for (const candidate of candidates) {
      if (missing <= 0 || chosen.length === MAX_LENDERS) break;
      const expected = Math.min(candidate.expected, missing);
      chosen.push({ lender: candidate.lender, expected });
      missing -= expected;
    }
    return chosen;
  };

  const recordEstimate = (share: Share, vm: VmId, tokens: number, blockedMs: number): void => {
    const at = monotonicMs();
    estimates.set(estimateKey(share, vm), { tokens, at, blockedUntil: at + blockedMs });
  };

  const requestLoan = async (share: Share, { lender, expected }: Candidate): Promise<number> => {
    const { organisation } = share;
    const usableUntil = monotonicMs() + LOAN_VALIDITY_MS;
    const id = randomUUID();
    const result = await network.call<BorrowReply>(
      lender.vm,
      methods.borrow,
      { organisation, tokens: expected, id },
      { timeoutMs: LOAN_VALIDITY_MS },
    );
    if (result.isErr()) {
      metrics.loans.inc({ result: 'failed' });
      recordEstimate(share, lender.vm, 0, UNREACHABLE_BACKOFF_MS);
      return 0;
    }
    const { granted, available } = result.value;
    recordEstimate(share, lender.vm, available, 0);
    metrics.loans.inc({ result: granted > 0 ? 'granted' : 'empty' });
    if (granted <= 0) return 0;
    metrics.borrowedTokens.inc(granted);
    telemetry.log('tokensBorrowed', { organisation, lender: lender.vm, tokens: granted });
    share.receiveLoan({ id, lender: lender.vm, tokens: granted, usableUntil });
    return granted;
  };

  const borrowUntilCovered = async (share: Share): Promise<void> => {
    let backoffMs = MIN_BACKOFF_MS;
    let wanted = share.deficit();
    while (wanted > 0 && !options.signal.aborted) {
      const chosen = chooseLenders(share, wanted);
      const granted = await Promise.all(chosen.map((candidate) => requestLoan(share, candidate)));
      if (granted.some((tokens) => tokens > 0)) backoffMs = MIN_BACKOFF_MS;
      else {
        await sleep(backoffMs + random.nextInt(backoffMs), options.signal);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      }
      wanted = share.deficit();
    }
  };

  return {
    borrowFor: (share) => {
      if (running.has(share) || options.signal.aborted) return;
      running.add(share);
      void borrowUntilCovered(share).finally(() => running.delete(share));
    },
  };
}
