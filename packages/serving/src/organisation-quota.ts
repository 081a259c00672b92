/**
 * Limits the rate of each organisation over all nodes. Each node keeps a token bucket per
 * organisation that holds the tokens that the whole fleet may still spend; the spending of other
 * nodes arrives with their reports. During a partition each group of nodes that reach each other
 * uses a fraction of the rate in proportion to its size, so that the groups together never exceed
 * the whole rate.
 *
 * The operator tolerates a limited excess over rate and burst. Part of it serves organisations whose
 * requests bunch beyond a burst of a few requests: while upstreams have free capacity, a bucket may
 * be overdrawn. The rest covers spending that is not reported yet.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import type { ServingOrganisation } from './types.js';

const MS_PER_S = 1_000;
/** Fraction of the tolerated excess by which buckets may be overdrawn. */
const OVERDRAFT_SHARE = 0.5;

/** Spending in any window that the operator tolerates beyond rate and burst. */
export interface QuotaTolerance {
  readonly windowMs: number;
  /** Fraction of the rate and burst of a window. */
  readonly ratio: number;
  /** Tokens, or requests for organisations whose rate counts requests. */
  readonly allowance: number;
}

export interface QuotaDecision {
  readonly isGranted: boolean;
  /** Time until the bucket holds enough tokens; set for refusals. */
  readonly retryAfterMs: number;
}

export interface OrganisationQuota {
  /** Debits a request. `hasFreeCapacity`: whether it takes no capacity that others wait for. */
  debit(organisation: ServingOrganisation, tokens: number, hasFreeCapacity: boolean): QuotaDecision;
  /** Refunds the charge of a request that did not run. */
  refund(organisation: OrganisationId, tokens: number): void;
  /** Records that contact to a node was lost; its refill no longer reaches this node's buckets. */
  markAbsent(peer: string): void;
  /** Returns the tokens spent on this node since its start, by organisation. */
  spent(): Readonly<Record<string, number>>;
  /** Applies the totals of another node. `epoch` changes when that node restarts. */
  applyPeer(peer: string, epoch: number, spent: Readonly<Record<string, number>>): void;
}

export interface OrganisationQuotaOptions {
  /** Returns the fraction of all nodes that this node has live contact with, itself included. */
  readonly reachableShare: () => number;
  readonly tolerance: QuotaTolerance;
  /**
   * Monotonic time in milliseconds at which the process started. Buckets fill from then on, since a
   * new process does not know what was spent before.
   */
  readonly startedAt: number;
  /** Epoch of this node, comparable with the epochs of peers. */
  readonly epoch: number;
}

interface Bucket {
  tokens: number;
  burst: number;
  /** Tokens per second that this node's group may use at present. */
  groupRate: number;
  /** Refill of nodes out of contact. It pays for their spending when contact returns. */
  withheld: number;
  refilledAt: number;
}

/** Creates the quota of one node. */
export function createOrganisationQuota(options: OrganisationQuotaOptions): OrganisationQuota {
  const { reachableShare, tolerance, startedAt } = options;
  const buckets = new Map<string, Bucket>();
  const localSpent = new Map<string, number>();
  const absent = new Set<string>();
  const peers = new Map<string, { readonly epoch: number; readonly spent: Map<string, number> }>();

  const refill = (organisation: ServingOrganisation, share: number): Bucket => {
    const now = monotonicMs();
    let bucket = buckets.get(organisation.id);
    if (bucket === undefined) {
      bucket = { tokens: 0, burst: 0, groupRate: 0, withheld: 0, refilledAt: startedAt };
      buckets.set(organisation.id, bucket);
    }
    const gained = ((now - bucket.refilledAt) / MS_PER_S) * organisation.ratePerSecond;
    bucket.burst = organisation.burst * share;
    bucket.groupRate = organisation.ratePerSecond * share;
    bucket.tokens = Math.min(bucket.burst, bucket.tokens + gained * share);
    bucket.withheld =
      share < 1 ? bucket.withheld + gained * (1 - share) : Math.max(0, bucket.withheld - gained);
    bucket.refilledAt = now;
    return bucket;
  };

  const subtract = (organisation: string, tokens: number): void => {
    const bucket = buckets.get(organisation);
    if (bucket !== undefined) bucket.tokens = Math.min(bucket.burst, bucket.tokens - tokens);
  };

  /** Pays for spending out of contact from what was withheld meanwhile. Returns the rest. */
  const payFromWithheld = (organisation: string, tokens: number): number => {
    const bucket = buckets.get(organisation);
    if (bucket === undefined) return tokens;
    const paid = Math.max(0, Math.min(bucket.withheld, tokens));
    bucket.withheld -= paid;
    return tokens - paid;
  };

  const overdraft = ({ ratePerSecond, burst }: ServingOrganisation): number => {
    // The spending of the window before the start is unknown and may have used the tolerance.
    if (monotonicMs() - startedAt < tolerance.windowMs) return 0;
    const window = ratePerSecond * (tolerance.windowMs / MS_PER_S) + burst;
    return OVERDRAFT_SHARE * (tolerance.ratio * window + tolerance.allowance);
  };

  return {
    debit: (organisation, tokens, hasFreeCapacity) => {
      if (organisation.ratePerSecond === 0) return { isGranted: true, retryAfterMs: 0 };
      const share = reachableShare();
      const bucket = refill(organisation, share);
      // A request larger than the burst needs only a full bucket, otherwise it could never run.
      const needed = Math.min(tokens, bucket.burst);
      const available = bucket.tokens + (hasFreeCapacity ? overdraft(organisation) * share : 0);
      if (available < needed) {
        return {
          isGranted: false,
          retryAfterMs: ((needed - available) / bucket.groupRate) * MS_PER_S,
        };
      }
      bucket.tokens -= tokens;
      localSpent.set(organisation.id, (localSpent.get(organisation.id) ?? 0) + tokens);
      return { isGranted: true, retryAfterMs: 0 };
    },
    refund: (organisation, tokens) => {
      subtract(organisation, -tokens);
      localSpent.set(organisation, (localSpent.get(organisation) ?? 0) - tokens);
    },
    markAbsent: (peer) => {
      absent.add(peer);
    },
    spent: () => Object.fromEntries(localSpent),
    applyPeer: (peer, epoch, spent) => {
      let known = peers.get(peer);
      if (known === undefined || known.epoch !== epoch) {
        // What a peer spent before this process started left the bucket that this process never had.
        const isOlder = known === undefined && epoch < options.epoch;
        known = { epoch, spent: new Map(isOlder ? Object.entries(spent) : []) };
        peers.set(peer, known);
      }
      const wasAbsent = absent.delete(peer);
      for (const [organisation, total] of Object.entries(spent)) {
        const newlySpent = total - (known.spent.get(organisation) ?? 0);
        subtract(organisation, wasAbsent ? payFromWithheld(organisation, newlySpent) : newlySpent);
        known.spent.set(organisation, total);
      }
    },
  };
}
