/**
 * Decides which upstreams of a pool a request may be sent to while an operator moves the pool to
 * another software version. A version gets requests when it is in service; the version of a running
 * order gets only the share that a valid instruction of the controller names.
 */
import { hash32, monotonicMs, rankByRendezvous } from '@hibiscusbank/core';
import type { PoolId, RouteId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { StepMessage } from './messages.js';
import type { RolloutPhase } from './rollout-plan.js';
import type { RolloutKey, RolloutOrder, UpstreamVersion, VersionedUpstream } from './types.js';

/**
 * Time without requests of a version that appears beside others. Operators start the upstreams of a
 * roll-out with its order or shortly before.
 */
const UNORDERED_HOLD_MS = 5_000;
/** Share above which all upstreams of the new version are used. */
const ALL_UPSTREAMS_SHARE = 0.5;
/** Upstreams that a canary uses at least, so that one faulty machine can be told from the version. */
const MIN_CANARY_UPSTREAMS = 3;
/** Factor over the share of upstreams that a canary uses, since its share varies by route. */
const CANARY_UPSTREAMS_FACTOR = 1.5;
const HASH_RANGE = 2 ** 32;

export interface VersionGateOptions {
  /** Without it versions decide nothing. */
  readonly isEnabled: boolean;
  readonly telemetry: Telemetry;
}

/** A request as far as the choice of a version is concerned. */
export interface VersionRequest {
  readonly id: string;
  readonly route: RouteId;
  /** Upstreams on which the request failed; after a failure of the new version it goes to the other. */
  readonly failed: ReadonlySet<UpstreamId>;
}

/** What is known of a roll-out on a node, for operators. */
export interface RolloutView {
  readonly key: RolloutKey;
  readonly pool: PoolId;
  readonly to: UpstreamVersion;
  readonly state: string;
  /** Share of routes that the instruction does not name, `undefined` without a valid one. */
  readonly otherShare: number | undefined;
  readonly shares: Readonly<Record<string, number>>;
}

export interface VersionGate {
  setOrders(orders: readonly RolloutOrder[]): void;
  /** Records the registered upstreams, by which a new version is noticed. */
  setUpstreams(upstreams: readonly VersionedUpstream[]): void;
  /** Applies an instruction. Returns false for an order that this node does not know. */
  applyStep(step: StepMessage['rolloutStep']): boolean;
  /**
   * Returns those of the usable upstreams of one pool that a request may be sent to; without a request
   * those that most requests may be sent to.
   */
  select<T extends VersionedUpstream>(usable: readonly T[], req?: VersionRequest): readonly T[];
  /** Whether an upstream may get a request at all. Checked immediately before a run is sent. */
  mayServe(upstream: VersionedUpstream): boolean;
  /** Returns the order of a pool that has not ended. */
  findRunning(pool: PoolId): RolloutOrder | undefined;
  /** Whether an instruction has rolled back the order, or the store says so. */
  isRolledBack(order: RolloutOrder): boolean;
  /** Returns the phase of the last instruction, if it is at most `maxAgeMs` old. */
  lastPhase(order: RolloutOrder, maxAgeMs: number): RolloutPhase | undefined;
  /**
   * Returns the time since one of the nodes last instructed this one about an order, or since the order
   * became known.
   */
  sinceInstructedMs(order: RolloutOrder, nodes: readonly string[]): number;
  /** Whether upstreams of another version than the new one are registered. */
  hasOtherVersions(order: RolloutOrder): boolean;
  orders(): readonly RolloutOrder[];
  list(): readonly RolloutView[];
}

interface Instruction {
  readonly shares: Readonly<Record<string, number>>;
  readonly otherShare: number;
  readonly phase: RolloutPhase;
  readonly at: number;
  readonly until: number;
}

interface OrderState {
  order: RolloutOrder;
  /** The last instruction of each controller; two can exist for a moment. */
  readonly instructions: Map<string, Instruction>;
  readonly knownSince: number;
  isRolledBack: boolean;
}

function versionKey({ pool, version }: Omit<VersionedUpstream, 'id'>): string {
  return `${pool}\u0000${version}`;
}

/** Creates the gate of one node. */
export function createVersionGate({ isEnabled, telemetry }: VersionGateOptions): VersionGate {
  let states = new Map<PoolId, OrderState>();
  /** Time before which a version that no order names gets no requests, by pool and version. */
  const heldUntil = new Map<string, number>();
  /** Versions of former orders that did not complete. */
  const rejected = new Set<string>();
  let versions = new Map<PoolId, Set<UpstreamVersion>>();
  let lastHoldUntil = -Infinity;
  let hasUpstreams = false;

  const hasOtherVersions = ({ pool, to }: RolloutOrder): boolean =>
    [...(versions.get(pool) ?? [])].some((version) => version !== to);

  const isEnded = ({ order, isRolledBack }: OrderState): boolean =>
    isRolledBack || order.state === 'completed' || order.state === 'rolled_back';

  const isInService = (upstream: VersionedUpstream): boolean => {
    const state = states.get(upstream.pool);
    if (state?.order.to === upstream.version) {
      // Once the other versions are gone, as after a completion that a restored store has lost, this
      // one has to serve.
      return state.order.state === 'completed' || !hasOtherVersions(state.order);
    }
    const key = versionKey(upstream);
    if (rejected.has(key)) return false;
    return monotonicMs() >= (heldUntil.get(key) ?? -Infinity);
  };

  const validInstructions = ({ instructions }: OrderState): Instruction[] =>
    [...instructions.values()].filter(({ until }) => monotonicMs() < until);

  /** Returns the share of a route, the least of all valid instructions; 0 without any. */
  const readShare = (pool: PoolId, route: RouteId | undefined): number => {
    const state = states.get(pool);
    if (state === undefined || isEnded(state)) return 0;
    const valid = validInstructions(state);
    if (valid.length === 0) return 0;
    return Math.min(...valid.map(({ shares, otherShare }) => shares[route ?? ''] ?? otherShare));
  };

  /** Returns the upstreams of the new version that a canary uses; the same on all nodes. */
  const pickCanaryUpstreams = <T extends VersionedUpstream>(
    candidates: readonly T[],
    share: number,
  ): readonly T[] => {
    if (share >= ALL_UPSTREAMS_SHARE) return candidates;
    const wanted = Math.ceil(candidates.length * share * CANARY_UPSTREAMS_FACTOR);
    const ids = rankByRendezvous(
      'canary',
      candidates.map(({ id }) => id),
    ).slice(0, Math.max(MIN_CANARY_UPSTREAMS, wanted));
    return candidates.filter(({ id }) => ids.includes(id));
  };

  const select = <T extends VersionedUpstream>(
    usable: readonly T[],
    req?: VersionRequest,
  ): readonly T[] => {
    const [first] = usable;
    if (!isEnabled || first === undefined) return usable;
    const { pool } = first;
    const state = states.get(pool);
    if (state === undefined && rejected.size === 0 && monotonicMs() >= lastHoldUntil) return usable;
    const inService = usable.filter(isInService);
    if (state === undefined) {
      // A version that nothing is known of is better than none.
      return inService.length > 0
        ? inService
        : usable.filter((each) => !rejected.has(versionKey(each)));
    }
    const { to, state: reported } = state.order;
    const candidates = usable.filter(({ version }) => version === to);
    if (candidates.length === 0) return inService;
    if (reported === 'completed') return candidates;
    const share = readShare(pool, req?.route);
    if (req === undefined) return share > 0.5 ? candidates : inService;
    const isChosen = hash32(req.id) < share * HASH_RANGE;
    if (share >= 1) return candidates;
    const hasFailed = candidates.some(({ id }) => req.failed.has(id));
    if (!isChosen || hasFailed) return inService;
    const chosen = pickCanaryUpstreams(candidates, share).filter(({ id }) => !req.failed.has(id));
    return chosen.length > 0 ? chosen : inService;
  };

  const mayServe = (upstream: VersionedUpstream): boolean => {
    if (!isEnabled) return true;
    const state = states.get(upstream.pool);
    if (state === undefined) return true;
    const share = readShare(upstream.pool, undefined);
    const isNamed = validInstructions(state).some(({ shares }) => Object.keys(shares).length > 0);
    if (state.order.to === upstream.version)
      return isInService(upstream) || (!isEnded(state) && (share > 0 || isNamed));
    return state.order.state !== 'completed' && share < 1;
  };

  return {
    select,
    mayServe,
    findRunning: (pool) => {
      const state = states.get(pool);
      return state === undefined || isEnded(state) ? undefined : state.order;
    },
    isRolledBack: (order) => {
      const state = states.get(order.pool);
      return (
        state?.order.key === order.key && (state.isRolledBack || order.state === 'rolled_back')
      );
    },
    lastPhase: ({ pool }, maxAgeMs) => {
      const instructions = [...(states.get(pool)?.instructions.values() ?? [])];
      const last = instructions.sort((a, b) => b.at - a.at)[0];
      return last !== undefined && monotonicMs() - last.at <= maxAgeMs ? last.phase : undefined;
    },
    sinceInstructedMs: ({ pool }, nodes) => {
      const state = states.get(pool);
      if (state === undefined) return 0;
      const times = nodes.map((node) => state.instructions.get(node)?.at ?? -Infinity);
      return monotonicMs() - Math.max(state.knownSince, ...times);
    },
    hasOtherVersions,
    orders: () => [...states.values()].map(({ order }) => order),
    setOrders: (orders) => {
      const next = new Map<PoolId, OrderState>();
      for (const order of orders) {
        const known = states.get(order.pool);
        const isSame = known?.order.key === order.key;
        if (known?.order.state !== order.state || !isSame)
          telemetry.log('rolloutOrdered', { ...order, state: order.state ?? 'ordered' });
        if (isSame) known.order = order;
        next.set(
          order.pool,
          isSame
            ? known
            : { order, instructions: new Map(), isRolledBack: false, knownSince: monotonicMs() },
        );
        rejected.delete(versionKey({ pool: order.pool, version: order.to }));
      }
      for (const [pool, { order }] of states) {
        const replacement = next.get(pool)?.order;
        if (replacement?.key === order.key) continue;
        if (order.state !== 'completed' && replacement?.to !== order.to)
          rejected.add(versionKey({ pool, version: order.to }));
      }
      states = next;
    },
    setUpstreams: (upstreams) => {
      const present = new Set<string>();
      versions = new Map();
      for (const upstream of upstreams) {
        const key = versionKey(upstream);
        const ofPool = versions.get(upstream.pool) ?? new Set();
        versions.set(upstream.pool, ofPool.add(upstream.version));
        if (present.has(key)) continue;
        present.add(key);
        if (heldUntil.has(key)) continue;
        // All versions of the first list may have been in service before this process started.
        if (hasUpstreams) lastHoldUntil = monotonicMs() + UNORDERED_HOLD_MS;
        heldUntil.set(key, hasUpstreams ? lastHoldUntil : -Infinity);
      }
      for (const key of heldUntil.keys()) {
        if (present.has(key)) continue;
        heldUntil.delete(key);
        rejected.delete(key);
      }
      hasUpstreams ||= upstreams.length > 0;
    },
    applyStep: ({ key, from, state, phase, shares, otherShare, validMs }) => {
      const known = [...states.values()].find(({ order }) => order.key === key);
      if (known === undefined) return false;
      if (state === 'rolled_back') {
        known.isRolledBack = true;
        telemetry.metrics.rolloutShare.set({ pool: known.order.pool }, 0);
      } else {
        const at = monotonicMs();
        const until = at + validMs;
        telemetry.metrics.rolloutShare.set({ pool: known.order.pool }, otherShare);
        known.instructions.set(from.node, { phase, shares, otherShare, at, until });
      }
      return true;
    },
    list: () =>
      [...states.values()].map((state) => {
        const { key, pool, to, state: reported } = state.order;
        const [instruction] = validInstructions(state);
        return {
          key,
          pool,
          to,
          state: state.isRolledBack ? 'rolled_back' : (reported ?? 'ordered'),
          otherShare: instruction?.otherShare,
          shares: instruction?.shares ?? {},
        };
      }),
  };
}
