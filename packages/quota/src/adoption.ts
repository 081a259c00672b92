/**
 * Decides which shares this VM may spend. A share that a newer ring removes is given up at once. A
 * share that it adds is adopted only after every VM that may still hold it has acknowledged the
 * ring.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { OrganisationId, Telemetry, VmId } from '@hibiscusbank/core';
import type { PeerNetwork } from '@hibiscusbank/peers';
import type { Balances, Holder } from './holder.js';
import type { Holdings } from './holdings.js';
import { REMOVAL_FENCE_MS, START_PAUSE_MS } from './limits.js';
import { methods } from './messages.js';
import type { AdoptParams, AdoptReply } from './messages.js';
import type { QuotaMetrics } from './metrics.js';
import { countHalves } from './ring.js';
import type { Ring } from './ring.js';
import type { SpendingGuard } from './spending-guard.js';

const ADOPT_TIMEOUT_MS = 1_000;
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 4_000;

export interface AdoptionOptions {
  readonly network: PeerNetwork;
  /** Reads this data centre's ring from the platform and applies it; resolves to false on failure. */
  readonly readRing: () => Promise<boolean>;
  readonly guard: SpendingGuard;
  readonly holdings: Holdings;
  readonly holder: Holder;
  readonly telemetry: Telemetry;
  readonly metrics: QuotaMetrics;
}

export interface Adoption {
  /** Applies a ring of this data centre. */
  apply(ring: Ring): void;
  /** Tries to adopt the shares that the newest ring adds. */
  advance(): Promise<void>;
  /**
   * Returns whether all members have acknowledged the ring, and every fenced VM has acknowledged it
   * or has been fenced for `REMOVAL_FENCE_MS`.
   */
  isAcknowledgedByAll(ring: Ring): Promise<boolean>;
  /**
   * Ends the pause after the start. The quota calls it when this VM has created the ring, as then no
   * earlier process can have granted anything.
   */
  skipStartPause(): void;
  /** Gives up all shares, after an interruption or, with `isPermanent`, before leaving the ring. */
  dropHoldings(isPermanent: boolean): void;
}

/** Outcome of one round of requests to all members and fenced VMs. */
interface Round {
  /** Whether all acknowledged the ring; an expired fence counts as an acknowledgement. */
  readonly isComplete: boolean;
  /** Whether all members replied that they have not missed their own removal. */
  readonly isCurrent: boolean;
}

const INCOMPLETE_ROUND: Round = { isComplete: false, isCurrent: false };

/** Creates the adoption of one node and registers its RPC handler. */
export function createAdoption(options: AdoptionOptions): Adoption {
  const { network, telemetry, guard, holdings, holder } = options;
  const self = network.self.vm;
  const fencedSince = new Map<VmId, number>();
  let handedOver: Record<OrganisationId, number> = {};
  let startPauseEndsAt = monotonicMs() + START_PAUSE_MS;
  /** Whether the ring is known to be no older than any ring that this VM ever acknowledged. */
  let isCurrent = false;
  let hasLeft = false;
  let retryAt = 0;
  let retryMs = MIN_RETRY_MS;

  const updateVersionMetric = (): void => {
    const version = holdings.isAdopted() ? holdings.latest()?.version : undefined;
    options.metrics.ringVersion.set(version ?? 0);
  };

  const trackFenced = (ring: Ring): void => {
    for (const vm of [...fencedSince.keys()]) if (!ring.fenced.includes(vm)) fencedSince.delete(vm);
    for (const vm of ring.fenced) if (!fencedSince.has(vm)) fencedSince.set(vm, monotonicMs());
  };

  const apply = (ring: Ring): void => {
    if (!holdings.apply(ring)) return;
    handedOver = {};
    retryAt = 0;
    retryMs = MIN_RETRY_MS;
    trackFenced(ring);
    updateVersionMetric();
    holder.refresh();
  };

  const hasFenceExpired = (vm: VmId): boolean => {
    const since = fencedSince.get(vm);
    return since !== undefined && monotonicMs() - since >= REMOVAL_FENCE_MS;
  };

  const addHandedOver = (balances: Balances): void => {
    for (const [id, tokens] of Object.entries(balances)) {
      const organisation = id as OrganisationId;
      handedOver[organisation] = (handedOver[organisation] ?? 0) + tokens;
    }
  };

  const requestAdopt = async (
    ring: Ring,
    vm: VmId,
    handover: boolean,
  ): Promise<AdoptReply | undefined> => {
    const params: AdoptParams = { version: ring.version, handover };
    const result = await network.call<AdoptReply>(vm, methods.adopt, params, {
      timeoutMs: ADOPT_TIMEOUT_MS,
    });
    if (result.isErr() || !result.value.acknowledged) return undefined;
    if (holdings.latest() === ring) addHandedOver(result.value.balances);
    return result.value;
  };

  const requestAdoptFromAll = async (ring: Ring, handover: boolean): Promise<Round> => {
    const members = ring.members.filter((vm) => vm !== self);
    const fenced = ring.fenced.filter((vm) => vm !== self && !ring.members.includes(vm));
    const left = handover ? ring.left.filter((vm) => vm !== self) : [];
    const [replies, fencedReplies] = await Promise.all([
      Promise.all(members.map((vm) => requestAdopt(ring, vm, handover))),
      Promise.all(
        fenced.map(async (vm) => hasFenceExpired(vm) || (await requestAdopt(ring, vm, handover))),
      ),
      Promise.all(left.map((vm) => requestAdopt(ring, vm, handover))),
    ]);
    const isComplete = replies.every((reply) => reply) && fencedReplies.every((reply) => reply);
    const allCurrent = members.length > 0 && replies.every((reply) => reply?.current);
    return { isComplete, isCurrent: allCurrent };
  };

  /**
   * Asks all VMs twice. A member that restarted after its first reply may have adopted an older
   * ring again. The second reply excludes this, as by then all other members know the newer ring.
   */
  const confirm = async (ring: Ring): Promise<Round> => {
    const first = await requestAdoptFromAll(ring, true);
    if (!first.isComplete) return INCOMPLETE_ROUND;
    const second = await requestAdoptFromAll(ring, true);
    if (!second.isComplete) return INCOMPLETE_ROUND;
    return { isComplete: true, isCurrent: first.isCurrent && second.isCurrent };
  };

  const updateIsCurrent = async (): Promise<void> => {
    const interruptions = guard.interruptions();
    const wasRead = await options.readRing();
    if (wasRead && guard.interruptions() === interruptions) isCurrent = true;
  };

  const mayAdvance = (): boolean =>
    holdings.latest()?.members.includes(self) === true &&
    !hasLeft &&
    !holdings.isAdopted() &&
    monotonicMs() >= startPauseEndsAt &&
    guard.maySpend();

  const adopt = (ring: Ring): void => {
    holdings.adopt(ring);
    isCurrent = true;
    const balances = handedOver;
    handedOver = {};
    telemetry.log('shareAdopted', { version: ring.version, members: ring.members.length });
    updateVersionMetric();
    holder.refresh(balances);
  };

  const scheduleRetry = (ring: Ring): void => {
    telemetry.log('adoptionPending', { version: ring.version });
    retryAt = monotonicMs() + retryMs;
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
  };

  const advance = async (): Promise<void> => {
    if (!mayAdvance() || monotonicMs() < retryAt) return;
    const interruptions = guard.interruptions();
    if (!isCurrent) await updateIsCurrent();
    const ring = holdings.latest();
    if (ring === undefined) return;
    const round = await confirm(ring);
    if (holdings.latest() !== ring || !mayAdvance() || guard.interruptions() !== interruptions)
      return;
    if (round.isComplete && (isCurrent || round.isCurrent)) adopt(ring);
    else scheduleRetry(ring);
  };

  const handleAdopt = (params: AdoptParams, requester: VmId): AdoptReply => {
    const latest = holdings.latest();
    const version = latest?.version ?? 0;
    const isDrained = monotonicMs() >= startPauseEndsAt && holder.isDrained();
    const acknowledged = version === params.version && isDrained;
    if (version < params.version) void options.readRing();
    const previous = holdings.previous();
    const isGaining = (organisation: OrganisationId): boolean => {
      if (latest === undefined) return false;
      const previousHalves =
        previous === undefined ? 0 : countHalves(organisation, previous, requester);
      return countHalves(organisation, latest, requester) > previousHalves;
    };
    const balances = acknowledged && params.handover ? holder.takeReleasedBalances(isGaining) : {};
    return { version, acknowledged, current: isCurrent, balances };
  };

  network.handle(methods.adopt, async (params, from) =>
    handleAdopt(params as AdoptParams, from.vm),
  );

  return {
    apply,
    advance,
    isAcknowledgedByAll: async (ring) => {
      const isReady = monotonicMs() >= startPauseEndsAt && holder.isDrained();
      if (holdings.latest()?.version !== ring.version || !isReady) return false;
      const round = await requestAdoptFromAll(ring, false);
      return round.isComplete && holdings.latest()?.version === ring.version;
    },
    skipStartPause: () => {
      startPauseEndsAt = 0;
    },
    dropHoldings: (isPermanent) => {
      holdings.drop();
      isCurrent = false;
      handedOver = {};
      hasLeft ||= isPermanent;
      if (!isPermanent) startPauseEndsAt = monotonicMs() + START_PAUSE_MS;
      updateVersionMetric();
    },
  };
}
