/**
 * Limits the rate of each organisation over all nodes. Each node keeps a token bucket per
 * organisation that holds the tokens that the whole fleet may still spend; the spending of other
 * nodes arrives with their reports. During a partition each group of nodes that reach each other
 * uses a fraction of the rate in proportion to its size, so that the groups together never exceed
 * the whole rate.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import type { ServingOrganisation } from './types.js';

const MS_PER_S = 1_000;

export interface QuotaDecision {
  readonly isGranted: boolean;
  /** Time until the bucket holds enough tokens; set for refusals. */
  readonly retryAfterMs: number;
}

export interface OrganisationQuota {
  debit(organisation: ServingOrganisation, tokens: number): QuotaDecision;
  /** Refunds the charge of a request that did not run. */
  refund(organisation: OrganisationId, tokens: number): void;
  /** Returns the tokens spent on this node since its start, by organisation. */
  spent(): Readonly<Record<string, number>>;
  /** Applies the totals of another node. `epoch` changes when that node restarts. */
  applyPeer(peer: string, epoch: number, spent: Readonly<Record<string, number>>): void;
}

interface Bucket {
  tokens: number;
  burst: number;
  refilledAt: number;
}

/**
 * Creates the quota of one node. `reachableShare` returns the fraction of all nodes that this node
 * has live contact with, itself included, 0 to 1.
 */
export function createOrganisationQuota(reachableShare: () => number): OrganisationQuota {
  const buckets = new Map<string, Bucket>();
  const localSpent = new Map<string, number>();
  const peers = new Map<string, { epoch: number; spent: Map<string, number> }>();

  const refill = (organisation: ServingOrganisation): Bucket => {
    const now = monotonicMs();
    const share = reachableShare();
    const burst = organisation.burst * share;
    let bucket = buckets.get(organisation.id);
    if (bucket === undefined) {
      bucket = { tokens: burst, burst, refilledAt: now };
      buckets.set(organisation.id, bucket);
    }
    const gained = ((now - bucket.refilledAt) / MS_PER_S) * organisation.ratePerSecond * share;
    bucket.tokens = Math.min(burst, bucket.tokens + gained);
    bucket.burst = burst;
    bucket.refilledAt = now;
    return bucket;
  };

  const subtract = (organisation: string, tokens: number): void => {
    const bucket = buckets.get(organisation);
    if (bucket !== undefined) bucket.tokens = Math.min(bucket.burst, bucket.tokens - tokens);
  };

  return {
    debit: (organisation, tokens) => {
      if (organisation.ratePerSecond === 0) return { isGranted: true, retryAfterMs: 0 };
      const bucket = refill(organisation);
      // A request larger than the burst needs only a full bucket, otherwise it could never run.
      const needed = Math.min(tokens, bucket.burst);
      if (bucket.tokens < needed) {
        const ratePerMs = (organisation.ratePerSecond * reachableShare()) / MS_PER_S;
        return { isGranted: false, retryAfterMs: (needed - bucket.tokens) / ratePerMs };
      }
      bucket.tokens -= tokens;
      localSpent.set(organisation.id, (localSpent.get(organisation.id) ?? 0) + tokens);
      return { isGranted: true, retryAfterMs: 0 };
    },
    refund: (organisation, tokens) => {
      subtract(organisation, -tokens);
      localSpent.set(organisation, (localSpent.get(organisation) ?? 0) - tokens);
    },
    spent: () => Object.fromEntries(localSpent),
    applyPeer: (peer, epoch, spent) => {
      let known = peers.get(peer);
      if (known === undefined || known.epoch !== epoch) {
        known = { epoch, spent: new Map() };
        peers.set(peer, known);
      }
      for (const [organisation, total] of Object.entries(spent)) {
        subtract(organisation, total - (known.spent.get(organisation) ?? 0));
        known.spent.set(organisation, total);
      }
    },
  };
}
