/** The rings that decide what this VM holds: the adopted one and all newer ones. */
import type { OrganisationId, VmId } from '@hibiscusbank/core';
import { findPart, isShrinking } from './ring.js';
import type { Ring } from './ring.js';

export interface Holdings {
  /** Newest ring known. */
  latest(): Ring | undefined;
  /** The ring known before the newest. */
  previous(): Ring | undefined;
  /** Takes note of a newer ring: what it takes away is lost at once. False when it is not newer. */
  apply(ring: Ring): boolean;
  /** Takes what the newest ring adds. */
  adopt(ring: Ring): void;
  /** Gives everything up. */
  drop(): void;
  /** Whether everything that the newest ring assigns to this VM is held. */
  isAdopted(): boolean;
  /** This VM's part of an organisation's rate and burst that it may spend, from 0 to 1. */
  findPart(organisation: OrganisationId): number;
}

/** Creates holdings of nothing. */
export function createHoldings(self: VmId): Holdings {
  let latest: Ring | undefined;
  let previous: Ring | undefined;
  // The VM holds the least that any of these rings allows.
  let basis: Ring[] = [];

  return {
    latest: () => latest,
    previous: () => previous,
    apply: (ring) => {
      if (latest !== undefined && ring.version <= latest.version) return false;
      previous = latest;
      latest = ring;
      const [adopted] = basis;
      if (basis.length === 1 && adopted !== undefined && isShrinking(adopted, ring)) basis = [ring];
      else if (basis.length > 0) basis.push(ring);
      return true;
    },
    adopt: (ring) => {
      basis = [ring];
    },
    drop: () => {
      basis = [];
    },
    isAdopted: () => basis.length === 1 && basis[0] === latest,
    findPart: (organisation) => {
      if (basis.length === 0) return 0;
      return Math.min(...basis.map((ring) => findPart(organisation, ring, self)));
    },
  };
}
