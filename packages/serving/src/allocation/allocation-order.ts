/**
 * Orders the requests that wait for capacity and chooses their upstreams. Designed for bursts in which
 * urgent and less urgent requests of light and heavy organisations compete for memory that comes
 * free a few times a second. The functions make no network calls.
 */
import type { AllocationCandidate, CapacityUse } from './types.js';

/** Fraction of an upstream's memory up to which it is allocated; running requests still grow. */
const USABLE_MEMORY_SHARE = 0.97;
/** Fraction of the memory that requests past their target leave free for others. */
const PAST_TARGET_FREE_SHARE = 0.2;
/** Every such grant goes to the request that has waited longest, whatever its priority. */
const OLDEST_EVERY = 4;
/** Preference of upstreams in the data centre of the request, in fractions of their capacity. */
const LOCAL_BONUS_SHARE = 0.15;

/** A waiting request. */
export interface WaitingRequest {
  readonly organisation: string;
  readonly priority: number;
  readonly tokens: number;
  readonly arrivedAt: number;
  /** Time until which it can be on target. */
  readonly onTargetUntil: number;
}

/** Cost that organisations were granted recently. */
export type GrantedCosts = ReadonlyMap<string, number>;

const isPastTarget = ({ onTargetUntil }: WaitingRequest, now: number): boolean =>
  now >= onTargetUntil;

/** Returns the requests in the order in which they are served. */
export function orderRequests<T extends WaitingRequest>(
  waiting: readonly T[],
  granted: GrantedCosts,
  grants: number,
  now: number,
): readonly T[] {
  const byArrival = [...waiting].sort((a, b) => a.arrivedAt - b.arrivedAt);
  const onTarget = byArrival.filter((req) => !isPastTarget(req, now));
  const oldest = grants % OLDEST_EVERY === OLDEST_EVERY - 1 ? onTarget[0] : undefined;
  const costOf = ({ organisation }: T): number => granted.get(organisation) ?? 0;
  return byArrival.sort(
    (a, b) =>
      Number(isPastTarget(a, now)) - Number(isPastTarget(b, now)) ||
      Number(b === oldest) - Number(a === oldest) ||
      a.priority - b.priority ||
      costOf(a) - costOf(b) ||
      a.arrivedAt - b.arrivedAt,
  );
}

/** Returns the use of an upstream as a fraction of its capacity. */
function loadOf(use: CapacityUse, capacity: CapacityUse): number {
  return capacity.tokens > 0 ? use.tokens / capacity.tokens : use.requests / capacity.requests;
}

/** Whether a request fits on an upstream. */
export function fits(
  { capacity, isQueueing }: AllocationCandidate,
  use: CapacityUse,
  tokens: number,
  pastTarget: boolean,
): boolean {
  if (isQueueing) return true;
  if (use.requests >= capacity.requests) return false;
  if (capacity.tokens === 0) return true;
  const free = pastTarget ? capacity.tokens * PAST_TARGET_FREE_SHARE : 0;
  // A request larger than the usable memory fits on an upstream that is empty.
  const isAlone = use.requests === 0 && tokens <= capacity.tokens;
  return isAlone || use.tokens + tokens + free <= capacity.tokens * USABLE_MEMORY_SHARE;
}

/**
 * Chooses the upstream on which a request fits and is likely to end first: with the lowest load after it,
 * in relation to capacity and speed.
 */
export function chooseUpstream(
  candidates: readonly AllocationCandidate[],
  readUse: (candidate: AllocationCandidate) => CapacityUse,
  readSpeed: (candidate: AllocationCandidate) => number,
  req: { readonly tokens: number; readonly dataCentre: string; readonly pastTarget: boolean },
): AllocationCandidate | undefined {
  let best: AllocationCandidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    const use = readUse(candidate);
    if (!fits(candidate, use, req.tokens, req.pastTarget)) continue;
    const bonus = candidate.dataCentre === req.dataCentre ? LOCAL_BONUS_SHARE : 0;
    const after = { requests: use.requests + 1, tokens: use.tokens + req.tokens };
    const load = loadOf(after, candidate.capacity) / readSpeed(candidate);
    const score = load + candidate.penalty - bonus;
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/** Returns the upstream with most free capacity, which is kept for a request that fits nowhere. */
export function chooseReserved(
  candidates: readonly AllocationCandidate[],
  readUse: (candidate: AllocationCandidate) => CapacityUse,
): AllocationCandidate | undefined {
  const free = (each: AllocationCandidate): number =>
    each.capacity.tokens > 0
      ? each.capacity.tokens - readUse(each).tokens
      : each.capacity.requests - readUse(each).requests;
  return [...candidates].sort((a, b) => free(b) - free(a))[0];
}
