/**
 * Grants permits for requests to upstreams that limit the rate of all nodes together. Designed for
 * more demand than the limit allows: the few permits go to organisations with less than their
 * share, then to more urgent requests; a request that would get its permit too late is refused at
 * once with the time after which a place is free. The decisions need no network.
 */
import { monotonicMs } from '@hibiscusbank/core';

const MS_PER_S = 1_000;
/**
 * Operators tolerate half of the limit and 5 requests beyond it in any 4 s. Part of this is used, so
 * that bunched requests are not refused; the rest covers moments in which two nodes grant.
 */
const USED_RATE = 1.3;
/**
 * Rate of permits for an upstream with a lower limit or none at all, so that a request finds out when
 * the limit is lifted.
 */
const MIN_PER_S = 0.2;
/** Time for which asks and grants count in the shares of organisations and priorities. */
const SHARE_WINDOW_MS = 4_000;
/** Asks that count at most, the latest ones. */
const MAX_ASKS = 500;
/** Fraction of the permits that less urgent requests get beside any number of more urgent ones. */
const LESS_URGENT_SHARE = 0.25;

/** How unused permits accumulate. */
export interface PermitPool {
  /** Permits that accumulate at any limit. */
  readonly permits: number;
  /** Time for which further permits accumulate. */
  readonly seconds: number;
  /**
   * Permits that only preferred requests may use. With one, an organisation that asks for most
   * permits leaves a place for those that ask for few.
   */
  readonly reserved: number;
}

/** Permits of a node that grants to the whole fleet. */
export const GRANTER_POOL: PermitPool = { permits: 3, seconds: 0.25, reserved: 1 };
/** Permits of a node that uses its share alone; the shares of many nodes must not add up to a burst. */
export const OWN_SHARE_POOL: PermitPool = { permits: 1, seconds: 0, reserved: 0 };

/** A request for a permit. */
export interface PermitAsk {
  readonly organisation: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time for which the request can wait and still be on target. */
  readonly onTargetMs: number;
  /** Maximum wait. */
  readonly maxWaitMs: number;
}

export interface PermitDecision {
  readonly isGranted: boolean;
  /** Time after which a granted request is sent, or a refused one may ask again. */
  readonly waitMs: number;
  /** Time until the next permit for any request. */
  readonly nextMs: number;
}

export interface PermitGrants {
  /** Decides about one request to an upstream with a limit of `perSecond`. */
  decide(key: string, perSecond: number, ask: PermitAsk): PermitDecision;
  /** Drops the unused permits of a key. */
  forget(key: string): void;
  /** Drops the state of all keys for which the function returns false. */
  retain(isKept: (key: string) => boolean): void;
}

interface Ask {
  readonly at: number;
  readonly organisation: string;
  readonly priority: number;
  readonly isGranted: boolean;
}

interface Bucket {
  permits: number;
  updatedAt: number;
  asks: Ask[];
}

/** Whether a request may use reserved permits while there are fewer permits than asks. */
function isPreferred(asks: readonly Ask[], { organisation, priority }: PermitAsk): boolean {
  const granted = asks.filter(({ isGranted }) => isGranted);
  const organisations = new Set(asks.map((ask) => ask.organisation)).add(organisation);
  const isAlone = organisations.size === 1;
  const own = granted.filter((ask) => ask.organisation === organisation).length;
  if (!isAlone && own * organisations.size > granted.length) return false;
  const isBehind = asks.some((ask) => !ask.isGranted && ask.priority < priority);
  const likeThis = granted.filter((ask) => ask.priority >= priority).length;
  if (isBehind && likeThis > granted.length * LESS_URGENT_SHARE) return false;
  // Requests that are all alike leave a place for an organisation that has not asked recently.
  return !isAlone || asks.some((ask) => ask.priority !== priority);
}

/** Creates the state of one node. Permits accumulate from the first ask on. */
export function createPermitGrants(pool: PermitPool): PermitGrants {
  const buckets = new Map<string, Bucket>();

  const refill = (key: string, rate: number): Bucket => {
    const now = monotonicMs();
    const bucket = buckets.get(key) ?? { permits: 0, updatedAt: now, asks: [] };
    buckets.set(key, bucket);
    const earned = ((now - bucket.updatedAt) / MS_PER_S) * rate;
    bucket.permits = Math.min(pool.permits + rate * pool.seconds, bucket.permits + earned);
    bucket.updatedAt = now;
    bucket.asks = bucket.asks.filter(({ at }) => now - at < SHARE_WINDOW_MS).slice(-MAX_ASKS);
    return bucket;
  };

  const untilMs = (bucket: Bucket, needed: number, rate: number): number =>
    Math.ceil(Math.max(0, ((needed - bucket.permits) / rate) * MS_PER_S));

  return {
    decide: (key, perSecond, ask) => {
      const rate = Math.max(MIN_PER_S, perSecond * USED_RATE);
      const bucket = refill(key, rate);
      const isOverloaded = bucket.asks.length * MS_PER_S >= rate * SHARE_WINDOW_MS;
      const mayUseReserved = !isOverloaded || isPreferred(bucket.asks, ask);
      const needed = mayUseReserved ? 1 : 1 + pool.reserved;
      const waitMs = untilMs(bucket, needed, rate);
      const overloadedWaitMs = mayUseReserved ? ask.onTargetMs : 0;
      const isGranted = waitMs <= (isOverloaded ? overloadedWaitMs : ask.maxWaitMs);
      const { organisation, priority } = ask;
      bucket.asks.push({ at: monotonicMs(), organisation, priority, isGranted });
      if (isGranted) bucket.permits -= 1;
      return { isGranted, waitMs, nextMs: untilMs(bucket, 1, rate) };
    },
    forget: (key) => {
      buckets.delete(key);
    },
    retain: (isKept) => {
      for (const key of buckets.keys()) if (!isKept(key)) buckets.delete(key);
    },
  };
}
