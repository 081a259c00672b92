/** The shares that this VM holds, and the RPC handlers through which other nodes use them. */
import { randomUUID } from 'node:crypto';
import { createError } from '@hibiscusbank/core';
import type { OrganisationId, Telemetry, VmId } from '@hibiscusbank/core';
import type { ConfigurationReplica, Organisation } from '@hibiscusbank/configuration';
import type { PeerNetwork } from '@hibiscusbank/peers';
import { createBucket, TOKEN_EPSILON } from './bucket.js';
import type { Bucket } from './bucket.js';
import { methods } from './messages.js';
import type { BorrowParams, DebitParams, RefundParams, SettleParams } from './messages.js';
import type { QuotaMetrics } from './metrics.js';
import { createShare } from './share.js';
import type { Share } from './share.js';
import type { BalanceReport } from './types.js';

const MESSAGE_TIMEOUT_MS = 1_000;

export type Balances = Readonly<Record<OrganisationId, number>>;

export interface HolderOptions {
  readonly network: PeerNetwork;
  readonly configuration: ConfigurationReplica;
  /** Returns this VM's fraction of an organisation's whole rate and burst, from 0 to 1. */
  readonly findFraction: (organisation: OrganisationId) => number;
  /** Returns the other holder of the organisation in this data centre. */
  readonly findOtherHolder: (organisation: OrganisationId) => VmId | undefined;
  /** Returns whether a share that is new to this VM starts with a full bucket. */
  readonly startsFull: () => boolean;
  readonly maySpend: () => boolean;
  readonly onDeficit: (share: Share) => void;
  readonly telemetry: Telemetry;
  readonly metrics: QuotaMetrics;
}

export interface Holder {
  /**
   * Resizes all shares to the current fractions and limits. `handedOver` contains balances from
   * other VMs, which are added to the shares that grow.
   */
  refresh(handedOver?: Balances): void;
  /** Drops all shares with their balances. */
  dropAll(): void;
  /**
   * Returns whether the tokens in flight of each share fit its capacity. A closed share has no
   * capacity, so it must have no tokens in flight.
   */
  isDrained(): boolean;
  /**
   * Removes and returns the tokens that shares released when they shrank, for those organisations
   * for which `isEligible` returns true.
   */
  takeReleasedBalances(isEligible: (organisation: OrganisationId) => boolean): Balances;
  hasReleasedBalances(): boolean;
  balances(): readonly BalanceReport[];
}

/** Creates the holder and registers its RPC handlers. */
export function createHolder(options: HolderOptions): Holder {
  const { network, configuration, telemetry, metrics } = options;
  const shares = new Map<OrganisationId, Share>();
  const fractions = new Map<OrganisationId, number>();
  const releasedBalances = new Map<OrganisationId, number>();
  const knownOrganisations = new Set<OrganisationId>();
  let closedBuckets: Bucket[] = [];

  const send = (to: VmId, method: string, params: unknown): void => {
    void network.call(to, method, params, { timeoutMs: MESSAGE_TIMEOUT_MS });
  };

  const openShare = (organisation: OrganisationId): Share => {
    const share = createShare({
      organisation,
      bucket: createBucket(0, 0),
      findLimits: () => configuration.organisation(organisation),
      maySpend: options.maySpend,
      onDeficit: () => {
        const deficient = shares.get(organisation);
        if (deficient !== undefined) options.onDeficit(deficient);
      },
      sendSettle: (lender, params) =>
        send(lender, methods.settle, { ...params, message: randomUUID() }),
      telemetry,
      metrics,
    });
    shares.set(organisation, share);
    return share;
  };

  const closeShare = (organisation: OrganisationId, share: Share): void => {
    shares.delete(organisation);
    fractions.delete(organisation);
    share.close();
    closedBuckets.push(share.bucket);
  };

  const releaseBalance = (organisation: OrganisationId, tokens: number): void => {
    if (tokens <= 0) return;
    releasedBalances.set(organisation, (releasedBalances.get(organisation) ?? 0) + tokens);
  };

  const shrinkShare = (share: Share, from: number, to: number): void => {
    releaseBalance(share.organisation, share.bucket.withdrawFraction(1 - to / from));
    if (to === 0) closeShare(share.organisation, share);
  };

  const resizeShare = (limits: Organisation, handedOver: number): void => {
    const { id } = limits;
    const fraction = options.findFraction(id);
    const previous = fractions.get(id) ?? 0;
    const existing = shares.get(id);
    if (existing !== undefined && fraction < previous) shrinkShare(existing, previous, fraction);
    if (fraction === 0) return;
    const share = shares.get(id) ?? openShare(id);
    share.bucket.setLimits(limits.ratePerS * fraction, limits.burst * fraction);
    fractions.set(id, fraction);
    if (fraction > previous) share.bucket.add(handedOver);
    if (!knownOrganisations.has(id) && options.startsFull())
      share.bucket.add(limits.burst * fraction);
    knownOrganisations.add(id);
  };

  const getShare = (organisation: OrganisationId): Share => {
    const share = shares.get(organisation);
    if (share !== undefined) return share;
    throw createError('not_ready', `this VM holds no share of ${organisation}; ask another`);
  };

  const refund = (params: RefundParams): void => {
    const share = shares.get(params.organisation);
    if (params.ageMs !== undefined) {
      share?.addExcessRefund(params.id, params.tokens, params.ageMs);
      return;
    }
    if (share === undefined) return;
    const { excess, ageMs } = share.refund(params.id, params.tokens);
    if (excess <= TOKEN_EPSILON) return;
    const otherHolder = options.findOtherHolder(params.organisation);
    if (otherHolder === undefined) metrics.lostTokens.inc({ reason: 'refund' }, excess);
    else send(otherHolder, methods.refund, { ...params, tokens: excess, ageMs });
  };

  network.handle(methods.debit, async (params) => {
    const debit = params as DebitParams;
    return getShare(debit.organisation).debit(debit);
  });
  network.handle(methods.ping, async () => ({}));
  network.handle(methods.refund, async (params) => refund(params as RefundParams));
  network.handle(methods.borrow, async (params) => {
    const loan = params as BorrowParams;
    return shares.get(loan.organisation)?.lend(loan) ?? { granted: 0, available: 0 };
  });
  network.handle(methods.settle, async (params) => {
    const settlement = params as SettleParams;
    shares.get(settlement.organisation)?.settle(settlement);
  });

  return {
    refresh: (handedOver = {}) => {
      for (const [id, share] of [...shares]) {
        if (configuration.organisation(id) === undefined) closeShare(id, share);
      }
      for (const limits of configuration.organisations())
        resizeShare(limits, handedOver[limits.id] ?? 0);
    },
    dropAll: () => {
      for (const [id, share] of [...shares]) closeShare(id, share);
      releasedBalances.clear();
    },
    isDrained: () => {
      closedBuckets = closedBuckets.filter((bucket) => bucket.inFlightTokens() > TOKEN_EPSILON);
      const isCovered = ({ bucket }: Share): boolean =>
        bucket.inFlightTokens() <= bucket.capacity() + TOKEN_EPSILON;
      return closedBuckets.length === 0 && [...shares.values()].every(isCovered);
    },
    takeReleasedBalances: (isEligible) => {
      const taken = [...releasedBalances].filter(([id]) => isEligible(id));
      taken.forEach(([id]) => releasedBalances.delete(id));
      return Object.fromEntries(taken);
    },
    hasReleasedBalances: () => releasedBalances.size > 0,
    balances: () =>
      [...shares.values()].map((share) => ({
        organisation: share.organisation,
        tokens: share.bucket.balance(),
        waiting: share.waitingCount(),
      })),
  };
}
