/** The rings that determine which shares this VM holds: the adopted ring and all newer ones. */
import type { OrganisationId, VmId } from '@hibiscusbank/core';
import { findFraction, isShrinking } from './ring.js';
import type { Ring } from './ring.js';

export interface Holdings {
  /** Returns the newest known ring. */
  latest(): Ring | undefined;
  /** Returns the ring that was the newest before. */
  previous(): Ring | undefined;
  /** Records a newer ring and gives up what it removes. Returns false when it is not newer. */
  apply(ring: Ring): boolean;
  /** Adopts the ring, including the shares that it adds. */
  adopt(ring: Ring): void;
  /** Gives up all shares. */
  drop(): void;
  /** Returns whether this VM holds everything that the newest ring assigns to it. */
  isAdopted(): boolean;
  /** Returns the fraction of an organisation's rate and burst that this VM may spend. */
  findFraction(organisation: OrganisationId): number;
}

/** Creates holdings without any share. */
export function createHoldings(self: VmId): Holdings {
  let latest: Ring | undefined;
  let previous: Ring | undefined;
  // The VM holds the minimum of the fractions that these rings assign to it.
  let boundingRings: Ring[] = [];

  return {
    latest: () => latest,
    previous: () => previous,
    apply: (ring) => {
      if (latest !== undefined && ring.version <= latest.version) return false;
      previous = latest;
      latest = ring;
      const [adopted] = boundingRings;
      if (boundingRings.length === 1 && adopted !== undefined && isShrinking(adopted, ring))
        boundingRings = [ring];
      else if (boundingRings.length > 0) boundingRings.push(ring);
      return true;
    },
    adopt: (ring) => {
      boundingRings = [ring];
    },
    drop: () => {
      boundingRings = [];
    },
    isAdopted: () => boundingRings.length === 1 && boundingRings[0] === latest,
    findFraction: (organisation) => {
      if (boundingRings.length === 0) return 0;
      return Math.min(...boundingRings.map((ring) => findFraction(organisation, ring, self)));
    },
  };
}
