/**
 * Keeps the ring object of this data centre: members join and are removed one at a time, and the
 * data centre's part of the rate follows the pools table. Any VM may run it; conditional updates
 * decide between two that do.
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

/** After a longer gap between two observations nothing is known about the time in between. */
const MAX_OBSERVATION_GAP_MS = 5_000;

export interface CoordinatorOptions {
  readonly objectApi: ObjectApi;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly latest: () => Ring | undefined;
  readonly applyRing: (dataCentre: DataCentreId, value: unknown, version: number) => void;
  readonly isAcknowledgedByAll: (ring: Ring) => Promise<boolean>;
  /** Called when this VM created the ring; `isFirst` when it is the fleet's first and only one. */
  readonly onCreated: (isFirst: boolean) => void;
  readonly telemetry: Telemetry;
}

export interface Coordinator {
  /** Makes at most one change that is due. */
  step(): Promise<void>;
  /** Takes this VM off the ring after it gave up its shares. Resolves to whether it succeeded. */
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

  const report = (error: RouterError): void =>
    telemetry.log('ringChangeFailed', { error: error.message });

  const readAll = async (): Promise<readonly Ring[] | undefined> => {
    const list = await objectApi.list(RING_PREFIX);
    if (list.isErr()) {
      report(list.error);
      return undefined;
    }
    const rings = list.value.objects.map((object) => {
      const name = dataCentreId(object.key.slice(RING_PREFIX.length));
      options.applyRing(name, object.value, object.version);
      return parseRing(name, object.value, object.version);
    });
    return rings.filter((ring) => ring !== undefined);
  };

  const write = async (value: RingValue, version: number | undefined): Promise<boolean> => {
    const writeId = randomUUID();
    const condition = version === undefined ? { ifAbsent: true as const } : { ifVersion: version };
    const result = await putResolved(objectApi, key, value, { ...condition, writeId });
    if (result.isErr()) {
      report(result.error);
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

  const hasElapsed = (since: number | undefined): boolean =>
    since !== undefined && monotonicMs() - since >= REMOVAL_FENCE_MS;

  const findRemoval = (ring: Ring): Change | undefined => {
    const gone = ring.members.find((vm) => hasElapsed(unlistedSince.get(vm)));
    if (gone === undefined || gone === self) return undefined;
    const members = ring.members.filter((vm) => vm !== gone);
    return { members, fenced: [...ring.fenced.filter((vm) => vm !== gone), gone] };
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

  /** A smaller share takes effect with the new set of data centres, a larger one only later. */
  const findTarget = (ring: Ring): Change | undefined => {
    const target = configuration.dataCentres();
    if (target.length === 0 || isSameSet(target, ring.target)) return undefined;
    const isNamed = target.includes(dataCentre);
    const shrunk = ring.divisor === 0 ? 0 : Math.max(ring.divisor, target.length);
    return { target, settled: false, divisor: isNamed ? shrunk : 0 };
  };

  const findSettlement = async (ring: Ring): Promise<Change | undefined> => {
    if (ring.settled || ring.target.length === 0) return undefined;
    return (await options.isAcknowledgedByAll(ring)) ? { settled: true } : undefined;
  };

  const desiredDivisor = (ring: Ring): number =>
    ring.target.includes(dataCentre) ? ring.target.length : 0;

  const findGrowth = (ring: Ring, all: readonly Ring[]): Change | undefined => {
    const divisor = desiredDivisor(ring);
    if (!ring.settled || ring.divisor === divisor) return undefined;
    const agrees = (other: Ring): boolean => other.settled && isSameSet(other.target, ring.target);
    return all.every(agrees) ? { divisor } : undefined;
  };

  const findExpiredFence = (ring: Ring): Change | undefined => {
    const fenced = ring.fenced.filter((vm) => !hasElapsed(fencedSince.get(vm)));
    return fenced.length < ring.fenced.length ? { fenced } : undefined;
  };

  const findMemberChange = (ring: Ring): Change | undefined => findRemoval(ring) ?? findJoin(ring);

  /** Runs on every VM, so that a new coordinator does not count from an older absence. */
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

  /** Whether the ring that this node knows calls for a change, before the platform is asked. */
  const needsChange = (ring: Ring | undefined): boolean => {
    if (ring === undefined) return true;
    const change = findTarget(ring) ?? findMemberChange(ring) ?? findExpiredFence(ring);
    const isUnsettled = ring.target.length > 0 && !ring.settled;
    return change !== undefined || isUnsettled || ring.divisor !== desiredDivisor(ring);
  };

  const changeOnce = async (ring: Ring, all: readonly Ring[]): Promise<void> => {
    const change =
      findTarget(ring) ??
      findRemoval(ring) ??
      (await findSettlement(ring)) ??
      findGrowth(ring, all) ??
      findJoin(ring) ??
      findExpiredFence(ring);
    if (change !== undefined) await write(toValue(ring, change), ring.version);
  };

  const create = async (all: readonly Ring[]): Promise<void> => {
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
    if (!(await write(value, undefined))) return;
    options.onCreated(isFirst);
    const written = await readAll();
    const own = written?.find((ring) => ring.dataCentre === dataCentre);
    if (written !== undefined && own !== undefined) await changeOnce(own, written);
  };

  return {
    step: async () => {
      observe(options.latest());
      const isCoordinator = membership.listLive(dataCentre)[0] === self;
      if (!isCoordinator || !configuration.isReady() || !needsChange(options.latest())) return;
      const all = await readAll();
      if (all === undefined) return;
      const own = all.find((ring) => ring.dataCentre === dataCentre);
      if (own === undefined) await create(all);
      else if (needsChange(own)) await changeOnce(own, all);
    },
    removeSelf: async () => {
      const all = await readAll();
      const own = all?.find((ring) => ring.dataCentre === dataCentre);
      if (own === undefined || !own.members.includes(self)) return own !== undefined;
      const members = own.members.filter((vm) => vm !== self);
      return write({ ...toValue(own, { members }), left: [self] }, own.version);
    },
  };
}
