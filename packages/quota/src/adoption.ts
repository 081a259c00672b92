/**
 * Which shares this VM may spend. What a newer ring takes away is given up at once; what it adds is
 * taken only after everyone who may still hold it has acknowledged the ring.
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
  /** Reads this data centre's ring from the platform and applies it; false when it cannot. */
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
  /** Tries to take what the newest ring adds. */
  advance(): Promise<void>;
  /** Whether all members have acknowledged the ring, or are fenced for long enough. */
  isAcknowledgedByAll(ring: Ring): Promise<boolean>;
  /** Called when this VM created the ring: no earlier process can have granted anything. */
  skipStartPause(): void;
  /** Forgets everything held, after an isolation or before leaving. */
  renounce(isForGood: boolean): void;
}

interface Round {
  readonly isComplete: boolean;
  readonly isCurrent: boolean;
}

const EMPTY_ROUND: Round = { isComplete: false, isCurrent: false };

/** Creates the adoption of one node and registers its method. */
export function createAdoption(options: AdoptionOptions): Adoption {
  const { network, telemetry, guard, holdings, holder } = options;
  const self = network.self.vm;
  const fencedSince = new Map<VmId, number>();
  let handed: Record<OrganisationId, number> = {};
  let notBefore = monotonicMs() + START_PAUSE_MS;
  /** Whether this process knows that its ring is not older than what it once acknowledged. */
  let isCurrent = false;
  let hasLeft = false;
  let retryAt = 0;
  let retryMs = MIN_RETRY_MS;

  const showVersion = (): void => {
    const version = holdings.isAdopted() ? holdings.latest()?.version : undefined;
    options.metrics.ringVersion.set(version ?? 0);
  };

  const noteFences = (ring: Ring): void => {
    for (const vm of [...fencedSince.keys()]) if (!ring.fenced.includes(vm)) fencedSince.delete(vm);
    for (const vm of ring.fenced) if (!fencedSince.has(vm)) fencedSince.set(vm, monotonicMs());
  };

  const apply = (ring: Ring): void => {
    if (!holdings.apply(ring)) return;
    handed = {};
    retryAt = 0;
    retryMs = MIN_RETRY_MS;
    noteFences(ring);
    showVersion();
    holder.refresh();
  };

  const isFenceOver = (vm: VmId): boolean => {
    const since = fencedSince.get(vm);
    return since !== undefined && monotonicMs() - since >= REMOVAL_FENCE_MS;
  };

  const addHanded = (balances: Balances): void => {
    for (const [id, tokens] of Object.entries(balances)) {
      const organisation = id as OrganisationId;
      handed[organisation] = (handed[organisation] ?? 0) + tokens;
    }
  };

  const ask = async (ring: Ring, vm: VmId, handover: boolean): Promise<AdoptReply | undefined> => {
    const params: AdoptParams = { version: ring.version, handover };
    const result = await network.call<AdoptReply>(vm, methods.adopt, params, {
      timeoutMs: ADOPT_TIMEOUT_MS,
    });
    if (result.isErr() || !result.value.acknowledged) return undefined;
    if (holdings.latest() === ring) addHanded(result.value.balances);
    return result.value;
  };

  const askAll = async (ring: Ring, handover: boolean): Promise<Round> => {
    const members = ring.members.filter((vm) => vm !== self);
    const fenced = ring.fenced.filter((vm) => vm !== self && !ring.members.includes(vm));
    const left = handover ? ring.left.filter((vm) => vm !== self) : [];
    const [replies, fencedReplies] = await Promise.all([
      Promise.all(members.map((vm) => ask(ring, vm, handover))),
      Promise.all(fenced.map(async (vm) => isFenceOver(vm) || (await ask(ring, vm, handover)))),
      Promise.all(left.map((vm) => ask(ring, vm, handover))),
    ]);
    const isComplete = replies.every((reply) => reply) && fencedReplies.every((reply) => reply);
    const allCurrent = members.length > 0 && replies.every((reply) => reply?.current);
    return { isComplete, isCurrent: allCurrent };
  };

  /**
   * Asks everyone twice. A member that restarted after its first answer may have taken up an older
   * ring again; the second answer excludes that, because by then all others know the newer ring.
   */
  const confirm = async (ring: Ring): Promise<Round> => {
    const first = await askAll(ring, true);
    if (!first.isComplete) return EMPTY_ROUND;
    const second = await askAll(ring, true);
    if (!second.isComplete) return EMPTY_ROUND;
    return { isComplete: true, isCurrent: first.isCurrent && second.isCurrent };
  };

  const refreshCurrent = async (): Promise<void> => {
    const lapses = guard.lapses();
    const wasRead = await options.readRing();
    if (wasRead && guard.lapses() === lapses) isCurrent = true;
  };

  const mayAdvance = (): boolean =>
    holdings.latest()?.members.includes(self) === true &&
    !hasLeft &&
    !holdings.isAdopted() &&
    monotonicMs() >= notBefore &&
    guard.mayContinue();

  const adopt = (ring: Ring): void => {
    holdings.adopt(ring);
    isCurrent = true;
    const balances = handed;
    handed = {};
    telemetry.log('shareAdopted', { version: ring.version, members: ring.members.length });
    showVersion();
    holder.refresh(balances);
  };

  const waitForMembers = (ring: Ring): void => {
    telemetry.log('adoptionPending', { version: ring.version });
    retryAt = monotonicMs() + retryMs;
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
  };

  const advance = async (): Promise<void> => {
    if (!mayAdvance() || monotonicMs() < retryAt) return;
    const lapses = guard.lapses();
    if (!isCurrent) await refreshCurrent();
    const ring = holdings.latest();
    if (ring === undefined) return;
    const round = await confirm(ring);
    if (holdings.latest() !== ring || !mayAdvance() || guard.lapses() !== lapses) return;
    if (round.isComplete && (isCurrent || round.isCurrent)) adopt(ring);
    else waitForMembers(ring);
  };

  const answer = (params: AdoptParams, asker: VmId): AdoptReply => {
    const latest = holdings.latest();
    const version = latest?.version ?? 0;
    const isDrained = monotonicMs() >= notBefore && holder.isDrained();
    const acknowledged = version === params.version && isDrained;
    if (version < params.version) void options.readRing();
    const previous = holdings.previous();
    const isGaining = (organisation: OrganisationId): boolean => {
      if (latest === undefined) return false;
      const before = previous === undefined ? 0 : countHalves(organisation, previous, asker);
      return countHalves(organisation, latest, asker) > before;
    };
    const balances = acknowledged && params.handover ? holder.takeGivenUp(isGaining) : {};
    return { version, acknowledged, current: isCurrent, balances };
  };

  network.handle(methods.adopt, async (params, from) => answer(params as AdoptParams, from.vm));

  return {
    apply,
    advance,
    isAcknowledgedByAll: async (ring) => {
      const isReady = monotonicMs() >= notBefore && holder.isDrained();
      if (holdings.latest()?.version !== ring.version || !isReady) return false;
      const round = await askAll(ring, false);
      return round.isComplete && holdings.latest()?.version === ring.version;
    },
    skipStartPause: () => {
      notBefore = 0;
    },
    renounce: (isForGood) => {
      holdings.drop();
      isCurrent = false;
      handed = {};
      hasLeft ||= isForGood;
      if (!isForGood) notBefore = monotonicMs() + START_PAUSE_MS;
      showVersion();
    },
  };
}
