/**
 * Limits the rate of each organisation over all nodes. Each node keeps a token bucket per
 * organisation that holds the tokens that the whole fleet may still spend; the spending of other
 * nodes arrives with their reports. During a partition each group of nodes that reach each other
 * uses a fraction of the rate in proportion to its size, so that the groups together use the whole
 * rate. The bound is not strict: until a report or a time-out, nodes grant what others have spent.
 *
 * The operator tolerates a limited excess over rate and burst. Part of it serves organisations whose
 * requests bunch beyond a burst of a few requests: while upstreams have free capacity, a bucket may
 * be overdrawn. The rest covers spending that is not reported yet.
 */
import { monotonicMs, organisationId } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import { createNoticedSpending } from './noticed-spending.js';
import { createDataCentreTotals, createNodeTotals } from './spending-totals.js';
import type { DataCentreTotals, Spending } from './spending-totals.js';
import type { ServingOrganisation } from './types.js';

const MS_PER_S = 1_000;
/** Fraction of the tolerated excess by which buckets may be overdrawn. */
const OVERDRAFT_SHARE = 0.6;
/**
 * The same for small requests. They take a small part of the tokens, so a few large requests do not
 * cause all small requests of an organisation to be refused.
 */
const SMALL_OVERDRAFT_SHARE = 0.75;
/**
 * Fraction of the tolerated excess, up to the burst, with which buckets start after an outage of all nodes.
 * Without it callers that come back at once are refused; with more, two restarts in a window exceed the rest
 * that overdrafts leave.
 */
const START_SHARE = 0.05;
/** Fraction of the burst up to which a request is small. */
const SMALL_REQUEST_SHARE = 0.02;

/**
 * Interval between two reports of nearby nodes up to which buckets may be overdrawn. With longer
 * ones, spending that is not reported yet takes the whole tolerance when an organisation bursts.
 */
const MAX_OVERDRAFT_INTERVAL_MS = 2_500;

/** Time after the start of a process in which the first reports of running peers arrive. */
const FIRST_REPORTS_MS = 600;
/** Peers whose processes started by more than this before this one were running when it started. */
const RUNNING_BEFORE_MS = 3_000;

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
  /**
   * Sets the organisations of the configuration. Each has a bucket from then on, since other nodes
   * spend from it before the first request reaches this node.
   */
  setOrganisations(organisations: readonly ServingOrganisation[]): void;
  /** Returns an organisation of the configuration. */
  findOrganisation(id: OrganisationId): ServingOrganisation | undefined;
  /** Debits a request. `hasFreeCapacity`: whether it takes no capacity that others wait for. */
  debit(organisation: ServingOrganisation, tokens: number, hasFreeCapacity: boolean): QuotaDecision;
  /**
   * Debits a request from one of `parts` equal parts of the bucket, as if other nodes debited the same from
   * each of the others. For a node that can't learn in time what those spend.
   */
  debitPart(organisation: ServingOrganisation, tokens: number, parts: number): QuotaDecision;
  /** Returns the fraction of the burst that the bucket holds; below 0 when it is overdrawn. */
  level(organisation: ServingOrganisation): number;
  /** Refunds the charge of a request that did not run. */
  refund(organisation: OrganisationId, tokens: number): void;
  /** Records that contact to a node was lost; its refill no longer reaches this node's buckets. */
  markAbsent(nodeOrDataCentre: string): void;
  /** Returns the tokens spent on this node since its start, by organisation. */
  spent(): Spending;
  /** Returns the tokens spent in the local data centre, as far as this node knows. */
  spentNearby(): Spending;
  applyReport(report: SpendingReport): void;
  /** Charges what a peer has spent just now, ahead of the report that covers it. */
  applyNotice(notice: SpendingNotice): void;
}

/** What a node tells of its spending at once. */
export interface SpendingNotice {
  readonly node: string;
  readonly dataCentre?: string | undefined;
  readonly organisation: OrganisationId;
  readonly tokens: number;
}

/** What a node reports of the spending of organisations. */
export interface SpendingReport {
  readonly node: string;
  readonly dataCentre?: string | undefined;
  /** Start of the process in Unix milliseconds; totals start at 0 then. */
  readonly startedAt: number;
  /** Tokens spent on the node itself. */
  readonly spent: Spending;
  /** Tokens spent on all nodes of its data centre that it knows of. */
  readonly spentNearby: Spending;
}

export interface OrganisationQuotaOptions {
  /** Returns the fraction of all nodes that this node has live contact with, itself included. */
  readonly reachableShare: () => number;
  readonly tolerance: QuotaTolerance;
  /**
   * Monotonic time in milliseconds at which the process started. Buckets are empty then, since a new
   * process does not know what was spent before, by its peers or by processes that have ended.
   */
  readonly startedAt: number;
  /** Start of this process in Unix milliseconds. */
  readonly epoch: number;
  readonly dataCentre: string;
  /** Returns the interval between two reports of a node in the local data centre. */
  readonly reportIntervalMs: () => number;
  /**
   * Whether remote nodes report too rarely to count their spending one by one. What the nodes of
   * their data centre know together is then a few seconds newer.
   */
  readonly usesSummaries: () => boolean;
}

const GRANTED: QuotaDecision = { isGranted: true, retryAfterMs: 0 };

interface Bucket {
  organisation: ServingOrganisation;
  tokens: number;
  /** Refill of nodes out of contact. It pays for their spending when contact returns. */
  withheld: number;
  refilledAt: number;
  /** Whether it was decided with how many tokens the bucket starts. */
  isSettled: boolean;
}

function addTo(totals: Map<string, number>, organisation: string, tokens: number): void {
  totals.set(organisation, (totals.get(organisation) ?? 0) + tokens);
}

/** Creates the quota of one node. */
export function createOrganisationQuota(options: OrganisationQuotaOptions): OrganisationQuota {
  const { reachableShare, tolerance, startedAt } = options;
  const buckets = new Map<OrganisationId, Bucket>();
  const localSpent = new Map<string, number>();
  const absent = new Set<string>();
  let hasRunningPeer = false;
  const spentNearby = new Map<string, number>();
  const nodeTotals = createNodeTotals();
  const dataCentreTotals = new Map<string, DataCentreTotals>();

  const unixNow = (): number => options.epoch + monotonicMs() - startedAt;

  const noticed = createNoticedSpending(unixNow);

  /** Returns the spending of an organisation in a window that the operator tolerates beyond rate and burst. */
  const toleratedExcess = ({ ratePerSecond, burst }: ServingOrganisation): number => {
    const window = ratePerSecond * (tolerance.windowMs / MS_PER_S) + burst;
    return tolerance.ratio * window + tolerance.allowance;
  };

  const addBucket = (organisation: ServingOrganisation): Bucket => {
    const bucket: Bucket = {
      organisation,
      tokens: 0,
      withheld: 0,
      refilledAt: startedAt,
      isSettled: false,
    };
    buckets.set(organisation.id, bucket);
    return bucket;
  };

  const refill = (bucket: Bucket): void => {
    const now = monotonicMs();
    const share = reachableShare();
    const { ratePerSecond, burst } = bucket.organisation;
    const gained = ((now - bucket.refilledAt) / MS_PER_S) * ratePerSecond;
    let tokens = bucket.tokens + gained * share;
    if (!bucket.isSettled && now - startedAt >= FIRST_REPORTS_MS) {
      bucket.isSettled = true;
      if (!hasRunningPeer) tokens += START_SHARE * toleratedExcess(bucket.organisation) * share;
    }
    bucket.tokens = Math.min(burst * share, tokens);
    bucket.withheld =
      share < 1 ? bucket.withheld + gained * (1 - share) : Math.max(0, bucket.withheld - gained);
    bucket.refilledAt = now;
  };

  const subtract = (organisation: OrganisationId, tokens: number): void => {
    const bucket = buckets.get(organisation);
    if (bucket === undefined) return;
    refill(bucket);
    bucket.tokens -= tokens;
  };

  /** Pays for spending out of contact from what was withheld meanwhile. Returns the rest. */
  const payFromWithheld = (organisation: OrganisationId, tokens: number): number => {
    const bucket = buckets.get(organisation);
    if (bucket === undefined) return tokens;
    const paid = Math.max(0, Math.min(bucket.withheld, tokens));
    bucket.withheld -= paid;
    return tokens - paid;
  };

  const recordLocal = (organisation: string, tokens: number): void => {
    addTo(localSpent, organisation, tokens);
    addTo(spentNearby, organisation, tokens);
  };

  const countsAlone = (dataCentre: string | undefined): boolean =>
    dataCentre === options.dataCentre || dataCentre === undefined || !options.usesSummaries();

  /** Charges what a node or data centre spent. */
  const charge = (source: string, epoch: number, spent: Spending): void => {
    noticed.dropBefore(source, epoch);
    const wasAbsent = absent.delete(source);
    for (const [id, newTokens] of Object.entries(spent)) {
      const organisation = organisationId(id);
      const tokens = newTokens - noticed.settle(source, organisation, newTokens);
      subtract(organisation, wasAbsent ? payFromWithheld(organisation, tokens) : tokens);
    }
  };

  const overdraft = (organisation: ServingOrganisation, tokens: number): number => {
    const { burst } = organisation;
    // The spending of the window before the start is unknown and may have used the tolerance.
    if (monotonicMs() - startedAt < tolerance.windowMs) return 0;
    if (options.reportIntervalMs() > MAX_OVERDRAFT_INTERVAL_MS) return 0;
    const share = tokens <= burst * SMALL_REQUEST_SHARE ? SMALL_OVERDRAFT_SHARE : OVERDRAFT_SHARE;
    return share * toleratedExcess(organisation);
  };

  /** Returns the time in which `tokens` are refilled. */
  const refillMs = ({ ratePerSecond }: ServingOrganisation, tokens: number): number =>
    (tokens * MS_PER_S) / (ratePerSecond * reachableShare());

  const findBucket = (organisation: ServingOrganisation): Bucket => {
    const bucket = buckets.get(organisation.id) ?? addBucket(organisation);
    refill(bucket);
    return bucket;
  };

  return {
    debit: (organisation, tokens, hasFreeCapacity) => {
      if (organisation.ratePerSecond === 0) return GRANTED;
      const bucket = findBucket(organisation);
      const share = reachableShare();
      // A request larger than the burst needs only a full bucket, otherwise it could never run.
      const needed = Math.min(tokens, organisation.burst * share);
      const available =
        bucket.tokens + (hasFreeCapacity ? overdraft(organisation, tokens) * share : 0);
      if (available < needed) {
        return { isGranted: false, retryAfterMs: refillMs(organisation, needed - available) };
      }
      bucket.tokens -= tokens;
      recordLocal(organisation.id, tokens);
      return GRANTED;
    },
    debitPart: (organisation, tokens, parts) => {
      if (organisation.ratePerSecond === 0) return GRANTED;
      const bucket = findBucket(organisation);
      const needed = tokens * parts;
      if (bucket.tokens < needed) {
        return { isGranted: false, retryAfterMs: refillMs(organisation, needed - bucket.tokens) };
      }
      bucket.tokens -= needed;
      recordLocal(organisation.id, tokens);
      return GRANTED;
    },
    level: (organisation) => findBucket(organisation).tokens / Math.max(1, organisation.burst),
    findOrganisation: (id) => buckets.get(id)?.organisation,
    setOrganisations: (organisations) => {
      const known = new Map(organisations.map((organisation) => [organisation.id, organisation]));
      for (const id of buckets.keys()) if (!known.has(id)) buckets.delete(id);
      for (const organisation of organisations) {
        const bucket = buckets.get(organisation.id) ?? addBucket(organisation);
        // What was gained until now, was gained at the previous rate.
        refill(bucket);
        bucket.organisation = organisation;
      }
    },
    refund: (organisation, tokens) => {
      subtract(organisation, -tokens);
      recordLocal(organisation, -tokens);
    },
    markAbsent: (nodeOrDataCentre) => {
      absent.add(nodeOrDataCentre);
    },
    applyNotice: ({ node, dataCentre, organisation, tokens }) => {
      const source = countsAlone(dataCentre) ? node : (dataCentre ?? node);
      subtract(organisation, tokens);
      noticed.add(source, organisation, tokens);
    },
    spent: () => Object.fromEntries(localSpent),
    spentNearby: () => Object.fromEntries(spentNearby),
    applyReport: (report) => {
      const { node, dataCentre, startedAt: epoch } = report;
      const isNearby = dataCentre === options.dataCentre;
      if (epoch < options.epoch - RUNNING_BEFORE_MS) hasRunningPeer = true;
      // What a peer spent before this process started left buckets that this process never had.
      const spentByNode = nodeTotals.takeNew(node, epoch, report.spent, epoch < options.epoch);
      if (isNearby) {
        for (const [organisation, tokens] of Object.entries(spentByNode)) {
          addTo(spentNearby, organisation, tokens);
        }
      }
      if (isNearby || dataCentre === undefined) {
        charge(node, epoch, spentByNode);
        return;
      }
      const totals =
        dataCentreTotals.get(dataCentre) ??
        createDataCentreTotals({ startedAt: options.epoch, now: unixNow });
      dataCentreTotals.set(dataCentre, totals);
      const spentThere = totals.takeNew(node, epoch, report.spentNearby);
      if (countsAlone(dataCentre)) charge(node, epoch, spentByNode);
      else charge(dataCentre, epoch, spentThere);
    },
  };
}
