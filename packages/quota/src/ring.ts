/** Rings of quota holders, and the shares that they assign to VMs. */
import { rankByRendezvous } from '@hibiscusbank/core';
import type { DataCentreId, OrganisationId, VmId } from '@hibiscusbank/core';

/** Number of holders of an organisation's share in one data centre. */
export const HOLDERS_PER_DATA_CENTRE = 2;

/** Value of the object `config/rings/<dc>`. */
export interface RingValue {
  readonly dataCentre: DataCentreId;
  readonly members: readonly VmId[];
  /**
   * Members removed without a handover. A share that grows is adopted only after these have
   * acknowledged the ring or have been fenced for `REMOVAL_FENCE_MS`.
   */
  readonly fenced: readonly VmId[];
  /** Members that left in this version. They hand over their balances when asked. */
  readonly left: readonly VmId[];
  /** Data centres among which the rate is to be divided. */
  readonly target: readonly DataCentreId[];
  /** Whether all members have acknowledged a version with this target. */
  readonly settled: boolean;
  /** The data centre's share is the whole rate and burst divided by this; 0 for no share. */
  readonly divisor: number;
}

/** A ring with the version of its stored object. */
export interface Ring extends RingValue {
  readonly version: number;
}

/** Parses a stored value. Fields that an operator left out get their empty value. */
export function parseRing(
  dataCentre: DataCentreId,
  value: unknown,
  version: number,
): Ring | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const stored = value as Partial<RingValue>;
  if (!Array.isArray(stored.members)) return undefined;
  return {
    dataCentre,
    members: stored.members,
    fenced: stored.fenced ?? [],
    left: stored.left ?? [],
    target: stored.target ?? [],
    settled: stored.settled ?? false,
    divisor: stored.divisor ?? 0,
    version,
  };
}

/** Returns the value of `ring` with `changes` applied; `left` is empty unless `changes` sets it. */
export function toValue(ring: Ring, changes: Partial<RingValue>): RingValue {
  return {
    dataCentre: ring.dataCentre,
    members: ring.members,
    fenced: ring.fenced,
    left: [],
    target: ring.target,
    settled: ring.settled,
    divisor: ring.divisor,
    ...changes,
  };
}

/** Returns the VMs that hold an organisation's share, in the order of the rendezvous hash. */
export function findHolders(
  organisation: OrganisationId,
  members: readonly VmId[],
): readonly VmId[] {
  return rankByRendezvous(organisation, members).slice(0, HOLDERS_PER_DATA_CENTRE);
}

/** Returns how many halves of the data centre's share a VM holds: 0, 1, or 2 as the only member. */
export function countHalves(organisation: OrganisationId, ring: Ring, vm: VmId): number {
  const holders = findHolders(organisation, ring.members);
  if (!holders.includes(vm)) return 0;
  return HOLDERS_PER_DATA_CENTRE / holders.length;
}

/** Returns a VM's fraction of the whole rate and burst under one ring. */
export function findFraction(organisation: OrganisationId, ring: Ring, vm: VmId): number {
  if (ring.divisor === 0) return 0;
  return countHalves(organisation, ring, vm) / (HOLDERS_PER_DATA_CENTRE * ring.divisor);
}

/** Returns whether no VM can hold more of any organisation under `next` than under `previous`. */
export function isShrinking(previous: Ring, next: Ring): boolean {
  const keepsMembers = previous.members.every((vm) => next.members.includes(vm));
  const shrinks = next.divisor === 0 || (previous.divisor > 0 && next.divisor >= previous.divisor);
  return keepsMembers && shrinks;
}

/** Returns whether two lists of data centres contain the same names. */
export function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name) => b.includes(name));
}
