/** Rings of quota holders and the shares that follow from them. */
import { rankByRendezvous } from '@hibiscusbank/core';
import type { DataCentreId, OrganisationId, VmId } from '@hibiscusbank/core';

/** Holders of an organisation's share in one data centre. */
export const HOLDERS_PER_DATA_CENTRE = 2;

/** Value of the object `config/rings/<dc>`. */
export interface RingValue {
  readonly dataCentre: DataCentreId;
  readonly members: readonly VmId[];
  /** Members removed without a handover; gains wait for their answer or the fence. */
  readonly fenced: readonly VmId[];
  /** Members that left in this version; they hand balances over when asked. */
  readonly left: readonly VmId[];
  /** Data centres among which the rate is to be divided. */
  readonly target: readonly DataCentreId[];
  /** Whether all members have acknowledged a version with this target. */
  readonly settled: boolean;
  /** The data centre's share is one part in `divisor`; 0 for none. */
  readonly divisor: number;
}

/** A ring at the version of its object. */
export interface Ring extends RingValue {
  readonly version: number;
}

/** Reads a stored value; fields that an operator left out take their empty value. */
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

/** The value to store for a ring. */
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

/** The VMs that hold an organisation's share, first by rendezvous hash first. */
export function findHolders(
  organisation: OrganisationId,
  members: readonly VmId[],
): readonly VmId[] {
  return rankByRendezvous(organisation, members).slice(0, HOLDERS_PER_DATA_CENTRE);
}

/** Halves of the data centre's share that a VM holds: 0, 1, or 2 when it is the only member. */
export function countHalves(organisation: OrganisationId, ring: Ring, vm: VmId): number {
  const holders = findHolders(organisation, ring.members);
  if (!holders.includes(vm)) return 0;
  return HOLDERS_PER_DATA_CENTRE / holders.length;
}

/** A VM's part of the whole rate and burst under one ring. */
export function findPart(organisation: OrganisationId, ring: Ring, vm: VmId): number {
  if (ring.divisor === 0) return 0;
  return countHalves(organisation, ring, vm) / (HOLDERS_PER_DATA_CENTRE * ring.divisor);
}

/** Whether no VM can hold more of any organisation under `next` than under `previous`. */
export function isShrinking(previous: Ring, next: Ring): boolean {
  const keepsMembers = previous.members.every((vm) => next.members.includes(vm));
  const shrinks = next.divisor === 0 || (previous.divisor > 0 && next.divisor >= previous.divisor);
  return keepsMembers && shrinks;
}

/** Whether two lists of data centres name the same set. */
export function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name) => b.includes(name));
}
