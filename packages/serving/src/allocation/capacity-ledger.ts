/**
 * Keeps what all nodes hold on the upstreams of a cell. Each node states its totals with a sequence
 * number, so that lost and reordered messages leave no trace; a grant counts until the node's totals
 * include it.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { CapacityUse, Holding } from './types.js';

/** Time after which the totals of a silent node no longer count; nodes repeat them each second. */
const HOLDINGS_TTL_MS = 3_500;
/** Time after which a grant that its node never mentioned no longer counts. */
const GRANT_TTL_MS = 1_500;
/** Time for which an upstream that refused a reservation counts as full. */
const FULL_MS = 100;
/** The same for one that did not answer, which has probably ended. */
const SILENT_MS = 1_000;

export interface CapacityLedger {
  /** Replaces what a node holds. `lastGrant` is the last grant that the totals include. */
  setHoldings(
    node: string,
    sequence: number,
    holdings: readonly Holding[],
    lastGrant: number,
  ): void;
  /** Counts a grant to a node. Returns its number. */
  addGrant(node: string, upstream: string, tokens: number): number;
  /** Records that an upstream did not take what was granted; `isAlive`: whether it answered. */
  markFull(upstream: string, isAlive: boolean): void;
  isFull(upstream: string): boolean;
  used(upstream: string): CapacityUse;
  /** Drops what is out of date. */
  prune(): void;
}

interface NodeHoldings {
  readonly sequence: number;
  readonly at: number;
  readonly holdings: readonly Holding[];
}

interface Grant {
  readonly node: string;
  readonly upstream: string;
  readonly tokens: number;
  readonly at: number;
}

/** Creates an empty ledger. */
export function createCapacityLedger(): CapacityLedger {
  const nodes = new Map<string, NodeHoldings>();
  const grants = new Map<number, Grant>();
  const fullUntil = new Map<string, number>();
  const totals = new Map<string, { requests: number; tokens: number }>();
  // Numbers of a restarted allocator must not be taken for those before.
  let lastGrant = Date.now();

  const change = (upstream: string, requests: number, tokens: number): void => {
    const total = totals.get(upstream) ?? { requests: 0, tokens: 0 };
    total.requests += requests;
    total.tokens += tokens;
    if (total.requests === 0 && total.tokens === 0) totals.delete(upstream);
    else totals.set(upstream, total);
  };

  const dropHoldings = (node: string): void => {
    for (const [upstream, requests, tokens] of nodes.get(node)?.holdings ?? [])
      change(upstream, -requests, -tokens);
    nodes.delete(node);
  };

  const dropGrant = (id: number): void => {
    const grant = grants.get(id);
    if (grant === undefined) return;
    grants.delete(id);
    change(grant.upstream, -1, -grant.tokens);
  };

  return {
    setHoldings: (node, sequence, holdings, included) => {
      if ((nodes.get(node)?.sequence ?? -1) > sequence) return;
      dropHoldings(node);
      nodes.set(node, { sequence, at: monotonicMs(), holdings });
      for (const [upstream, requests, tokens] of holdings) change(upstream, requests, tokens);
      for (const [id, grant] of grants) if (grant.node === node && id <= included) dropGrant(id);
    },
    addGrant: (node, upstream, tokens) => {
      lastGrant += 1;
      grants.set(lastGrant, { node, upstream, tokens, at: monotonicMs() });
      change(upstream, 1, tokens);
      return lastGrant;
    },
    markFull: (upstream, isAlive) => {
      fullUntil.set(upstream, monotonicMs() + (isAlive ? FULL_MS : SILENT_MS));
    },
    isFull: (upstream) => monotonicMs() < (fullUntil.get(upstream) ?? -Infinity),
    used: (upstream) => totals.get(upstream) ?? { requests: 0, tokens: 0 },
    prune: () => {
      const now = monotonicMs();
      for (const [node, { at }] of nodes) if (now - at > HOLDINGS_TTL_MS) dropHoldings(node);
      for (const [id, { at }] of grants) if (now - at > GRANT_TTL_MS) dropGrant(id);
      for (const [upstream, until] of fullUntil) if (now >= until) fullUntil.delete(upstream);
    },
  };
}
