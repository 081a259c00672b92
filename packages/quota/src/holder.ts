/** The shares that this VM holds, and the calls of other nodes on them. */
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
  /** This VM's part of an organisation's whole rate and burst, from 0 to 1. */
  readonly findPart: (organisation: OrganisationId) => number;
  /** The other holder in this data centre. */
  readonly findPartner: (organisation: OrganisationId) => VmId | undefined;
  /** Whether a share that is new to this VM starts full. */
  readonly startsFull: () => boolean;
  readonly mayContinue: () => boolean;
  readonly onDeficit: (share: Share) => void;
  readonly telemetry: Telemetry;
  readonly metrics: QuotaMetrics;
}

export interface Holder {
  /** Fits the shares to the parts and limits in force; `handed` goes to those that grow. */
  refresh(handed?: Balances): void;
  /** Drops all shares with their balances. */
  dropAll(): void;
  /** Whether nothing is in flight that the present shares do not cover. */
  isDrained(): boolean;
  /** Removes and returns the balances that this VM gave up and `isFor` accepts. */
  takeGivenUp(isFor: (organisation: OrganisationId) => boolean): Balances;
  hasGivenUp(): boolean;
  balances(): readonly BalanceReport[];
}

/** Creates the holder and registers its methods. */
export function createHolder(options: HolderOptions): Holder {
  const { network, configuration, telemetry, metrics } = options;
  const shares = new Map<OrganisationId, Share>();
  const parts = new Map<OrganisationId, number>();
  const givenUp = new Map<OrganisationId, number>();
  const seen = new Set<OrganisationId>();
  let closing: Bucket[] = [];

  const send = (to: VmId, method: string, params: unknown): void => {
    void network.call(to, method, params, { timeoutMs: MESSAGE_TIMEOUT_MS });
  };

  const open = (organisation: OrganisationId): Share => {
    const share = createShare({
      organisation,
      bucket: createBucket(0, 0),
      findLimits: () => configuration.organisation(organisation),
      mayContinue: options.mayContinue,
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

  const close = (organisation: OrganisationId, share: Share): void => {
    shares.delete(organisation);
    parts.delete(organisation);
    share.close();
    closing.push(share.bucket);
  };

  const giveUp = (organisation: OrganisationId, tokens: number): void => {
    if (tokens <= 0) return;
    givenUp.set(organisation, (givenUp.get(organisation) ?? 0) + tokens);
  };

  const shrink = (share: Share, from: number, to: number): void => {
    giveUp(share.organisation, share.bucket.withdraw(1 - to / from));
    if (to === 0) close(share.organisation, share);
  };

  const fit = (limits: Organisation, handed: number): void => {
    const { id } = limits;
    const part = options.findPart(id);
    const previous = parts.get(id) ?? 0;
    const existing = shares.get(id);
    if (existing !== undefined && part < previous) shrink(existing, previous, part);
    if (part === 0) return;
    const share = shares.get(id) ?? open(id);
    share.bucket.setLimits(limits.ratePerS * part, limits.burst * part);
    parts.set(id, part);
    if (part > previous) share.bucket.add(handed);
    if (!seen.has(id) && options.startsFull()) share.bucket.add(limits.burst * part);
    seen.add(id);
  };

  const getShare = (organisation: OrganisationId): Share => {
    const share = shares.get(organisation);
    if (share !== undefined) return share;
    throw createError('not_ready', `this VM holds no share of ${organisation}; ask another`);
  };

  const refund = (params: RefundParams): void => {
    const share = shares.get(params.organisation);
    if (params.ageMs !== undefined) {
      share?.takeExcess(params.id, params.tokens, params.ageMs);
      return;
    }
    if (share === undefined) return;
    const { excess, ageMs } = share.refund(params.id, params.tokens);
    if (excess <= TOKEN_EPSILON) return;
    const partner = options.findPartner(params.organisation);
    if (partner === undefined) metrics.lostTokens.inc({ reason: 'refund' }, excess);
    else send(partner, methods.refund, { ...params, tokens: excess, ageMs });
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
    refresh: (handed = {}) => {
      for (const [id, share] of [...shares]) {
        if (configuration.organisation(id) === undefined) close(id, share);
      }
      for (const limits of configuration.organisations()) fit(limits, handed[limits.id] ?? 0);
    },
    dropAll: () => {
      for (const [id, share] of [...shares]) close(id, share);
      givenUp.clear();
    },
    isDrained: () => {
      closing = closing.filter((bucket) => bucket.held() > TOKEN_EPSILON);
      const isCovered = ({ bucket }: Share): boolean =>
        bucket.held() <= bucket.capacity() + TOKEN_EPSILON;
      return closing.length === 0 && [...shares.values()].every(isCovered);
    },
    takeGivenUp: (isFor) => {
      const taken = [...givenUp].filter(([id]) => isFor(id));
      taken.forEach(([id]) => givenUp.delete(id));
      return Object.fromEntries(taken);
    },
    hasGivenUp: () => givenUp.size > 0,
    balances: () =>
      [...shares.values()].map((share) => ({
        organisation: share.organisation,
        tokens: share.bucket.balance(),
        waiting: share.waiting(),
      })),
  };
}
