/**
 * Maintains the ring object of this data centre: adds and removes members one at a time, and adapts
 * the data centre's share of the rate to the pools table. Any VM may act as coordinator, as
 * conditional updates resolve conflicts between two of them.
 */
import { randomUUID } from 'node:crypto';
import { dataCentreId, monotonicMs } from '@hibiscusbank/core';
import type { DataCentreId, RouterError, Telemetry, VmId } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { Membership } from '@hibiscusbank/peers';
import { putResolved } from '@hibiscusbank/object-api';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { REMOVAL_FENCE_MS } from './limits.js';
import { isSameSet, parseRing, toValue } from './ring.js';
import type { Ring, RingValue } from './ring.js';
import { RING_PREFIX } from './rings.js';

/**
 * After a longer gap between two observations, the recorded start times of absences and fences are
 * discarded and timing restarts, as a VM may have returned and left again during the gap.
 */
const MAX_OBSERVATION_GAP_MS = 5_000;

export interface CoordinatorOptions {
  readonly objectApi: ObjectApi;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly latestRing: () => Ring | undefined;
  readonly applyRing: (dataCentre: DataCentreId, value: unknown, version: number) => void;
  readonly isAcknowledgedByAll: (ring: Ring) => Promise<boolean>;
  /**
   * Runs after this VM has created the ring. `isFirst` is true when the fleet has no other ring and
   * no other data centre.
   */
  readonly onCreated: (isFirst: boolean) => void;
  readonly telemetry: Telemetry;
}

export interface Coordinator {
  /** Makes at most one due change to the ring; creates the ring when it is missing. */
  step(): Promise<void>;
  /** Removes this VM, which has given up its shares, from the ring. Resolves to false on failure. */
  removeSelf(): Promise<boolean>;
}

type Change = Partial<RingValue>;

/** Creates the coordinator of one node. */
export function createCoordinator(options: CoordinatorOptions): Coordinator {
  const { objectApi, membership, configuration, telemetry } = options;
  const { vm: self, dataCentre } = membership.self;
  const unlistedSince = new Map<VmId, number>();
  const fencedSince = new Map<VmId, number>();
  const key = configurationKeys.ring(dataCentre);
  let observedAt = monotonicMs();

  const logFailure = (error: RouterError): void =>
    telemetry.log('ringChangeFailed', { error: error.message });

  const readAllRings = async (): Promise<readonly Ring[] | undefined> => {
    const list = await objectApi.list(RING_PREFIX);
    if (list.isErr()) {
      logFailure(list.error);
      return undefined;
    }
    const rings = list.value.objects.map((object) => {
      const name = dataCentreId(object.key.slice(RING_PREFIX.length));
      options.applyRing(name, object.value, object.version);
      return parseRing(name, object.value, object.version);
    });
    return rings.filter((ring) => ring !== undefined);
  };

  const writeRing = async (value: RingValue, version: number | undefined): Promise<boolean> => {
    const writeId = randomUUID();
    const condition = version === undefined ? { ifAbsent: true as const } : { ifVersion: version };
    const result = await putResolved(objectApi, key, value, { ...condition, writeId });
    if (result.isErr()) {
      logFailure(result.error);
      return false;
    }
    telemetry.log('ringChanged', {
      version: result.value.version,
      members: value.members.length,
      divisor: value.divisor,
    });
    options.applyRing(dataCentre, value, result.value.version);
    return true;
  };

  const trackUnlisted = (ring: Ring): void => {
    const listed = membership.listedVms();
    if (listed === undefined) return;
    const live = membership.listLive(dataCentre);
    for (const vm of ring.members) {
      if (listed.includes(vm) || live.includes(vm)) unlistedSince.delete(vm);
      else if (!unlistedSince.has(vm)) unlistedSince.set(vm, monotonicMs());
    }
  };

  const trackFenced = (ring: Ring): void => {
    for (const vm of [...fencedSince.keys()]) if (!ring.fenced.includes(vm)) fencedSince.delete(vm);
    for (const vm of ring.fenced) if (!fencedSince.has(vm)) fencedSince.set(vm, monotonicMs());
  };

  const hasFenceTimeElapsed = (since: number | undefined): boolean =>
    since !== undefined && monotonicMs() - since >= REMOVAL_FENCE_MS;

  const findRemoval = (ring: Ring): Change | undefined => {
    const absent = ring.members.find((vm) => hasFenceTimeElapsed(unlistedSince.get(vm)));
    if (absent === undefined || absent === self) return undefined;
    const members = ring.members.filter((vm) => vm !== absent);
    return { members, fenced: [...ring.fenced.filter((vm) => vm !== absent), absent] };
  };

  const findJoin = (ring: Ring): Change | undefined => {
    const listed = membership.listedVms() ?? [];
    const joining = membership
      .listLive(dataCentre)
      .find((vm) => listed.includes(vm) && !ring.members.includes(vm));
    if (joining === undefined) return undefined;
    const members = [...ring.members, joining].sort();
    return { members, fenced: ring.fenced.filter((vm) => vm !== joining) };
  };

  /**
   * A smaller share takes effect together with the new set of data centres, a larger share only
   * after all rings have settled on this set.
   */
  const findTargetChange = (ring: Ring): Change | undefined => {
    const target = configuration.dataCentres();
    if (target.length === 0 || isSameSet(target, ring.target)) return undefined;
    const isIncluded = target.includes(dataCentre);
    const reducedDivisor = ring.divisor === 0 ? 0 : Math.max(ring.divisor, target.length);
    return { target, settled: false, divisor: isIncluded ? reducedDivisor : 0 };
  };

  const findSettledChange = async (ring: Ring): Promise<Change | undefined> => {
    if (ring.settled || ring.target.length === 0) return undefined;
    return (await options.isAcknowledgedByAll(ring)) ? { settled: true } : undefined;
  };

  const desiredDivisor = (ring: Ring): number =>
    ring.target.includes(dataCentre) ? ring.target.length : 0;

  const findShareIncrease = (ring: Ring, all: readonly Ring[]): Change | undefined => {
    const divisor = desiredDivisor(ring);
    if (!ring.settled || ring.divisor === divisor) return undefined;
    const agrees = (other: Ring): boolean => other.settled && isSameSet(other.target, ring.target);
    return all.every(agrees) ? { divisor } : undefined;
  };

  const findExpiredFence = (ring: Ring): Change | undefined => {
    const fenced = ring.fenced.filter((vm) => !hasFenceTimeElapsed(fencedSince.get(vm)));
    return fenced.length < ring.fenced.length ? { fenced } : undefined;
  };

  const findMemberChange = (ring: Ring): Change | undefined => findRemoval(ring) ?? findJoin(ring);

  /**
   * Records absences on every VM, so that a new coordinator knows their start and does not count
   * one that has ended.
   */
  const observe = (ring: Ring | undefined): void => {
    const now = monotonicMs();
    if (now - observedAt > MAX_OBSERVATION_GAP_MS) {
      unlistedSince.clear();
      fencedSince.clear();
    }
    observedAt = now;
    if (ring === undefined) return;
    trackUnlisted(ring);
    trackFenced(ring);
  };

  /** Returns whether a change is due for a ring; checked before the platform is queried. */
  const needsChange = (ring: Ring | undefined): boolean => {
    if (ring === undefined) return true;
    const change = findTargetChange(ring) ?? findMemberChange(ring) ?? findExpiredFence(ring);
    const isUnsettled = ring.target.length > 0 && !ring.settled;
    return change !== undefined || isUnsettled || ring.divisor !== desiredDivisor(ring);
  };

  const applyFirstChange = async (ring: Ring, all: readonly Ring[]): Promise<void> => {
    const change =
      findTargetChange(ring) ??
      findRemoval(ring) ??
      (await findSettledChange(ring)) ??
      findShareIncrease(ring, all) ??
      findJoin(ring) ??
      findExpiredFence(ring);
    if (change !== undefined) await writeRing(toValue(ring, change), ring.version);
  };

  const createRing = async (all: readonly Ring[]): Promise<void> => {
    const target = configuration.dataCentres();
    if (target.length === 0) return;
    const value: RingValue = {
      dataCentre,
      members: [self],
      fenced: [],
      left: [],
      target,
      settled: true,
      divisor: 0,
    };
    const isFirst = all.length === 0 && isSameSet(target, [dataCentre]);
    if (!(await writeRing(value, undefined))) return;
    options.onCreated(isFirst);
    const rings = await readAllRings();
    const localRing = rings?.find((ring) => ring.dataCentre === dataCentre);
    if (rings !== undefined && localRing !== undefined) await applyFirstChange(localRing, rings);
  };

  return {
    step: async () => {
      observe(options.latestRing());
      const isCoordinator = membership.listLive(dataCentre)[0] === self;
      if (!isCoordinator || !configuration.isReady() || !needsChange(options.latestRing())) return;
      const all = await readAllRings();
      if (all === undefined) return;
      const localRing = all.find((ring) => ring.dataCentre === dataCentre);
      if (localRing === undefined) await createRing(all);
      else if (needsChange(localRing)) await applyFirstChange(localRing, all);
    },
    removeSelf: async () => {
      const all = await readAllRings();
      const localRing = all?.find((ring) => ring.dataCentre === dataCentre);
      if (localRing === undefined || !localRing.members.includes(self))
        return localRing !== undefined;
      const members = localRing.members.filter((vm) => vm !== self);
      return writeRing({ ...toValue(localRing, { members }), left: [self] }, localRing.version);
    },
  };
}
