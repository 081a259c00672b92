/**
 * Records the minimum free capacity of a bucket since any past time, which limits refunds. A refund
 * adds only the tokens that would still be in the bucket if they had never been taken. The hold of
 * the charge reserves their capacity until it expires. From then on, the bucket would have
 * overflowed whenever its free capacity was smaller than the number of these tokens. So a refund
 * adds at most the minimum free capacity since then; tokens beyond this minimum are not added.
 */

/** Above this number the two oldest entries are merged, which can only make refunds smaller. */
const MAX_ENTRIES = 500;

interface Entry {
  at: number;
  freeCapacity: number;
}

export interface FreeCapacityHistory {
  record(at: number, freeCapacity: number): void;
  /** Returns the minimum recorded after `since`; Infinity when nothing was recorded. */
  minimumSince(since: number): number;
  /** Subtracts `tokens` from the free capacity recorded after `since`. */
  subtractSince(since: number, tokens: number): void;
  /** Records the bucket as full at `at`, so that refunds of earlier charges add nothing. */
  markFull(at: number): void;
}

/** Creates an empty history. */
export function createFreeCapacityHistory(): FreeCapacityHistory {
  // The entries are suffix minima: times and free capacities both increase from front to back.
  let entries: Entry[] = [];

  const removeDominated = (): void => {
    const kept: Entry[] = [];
    let minimum = Infinity;
    for (const entry of [...entries].reverse()) {
      if (entry.freeCapacity >= minimum) continue;
      minimum = entry.freeCapacity;
      kept.push(entry);
    }
    entries = kept.reverse();
  };

  return {
    record: (at, freeCapacity) => {
      let last = entries.at(-1);
      while (last !== undefined && last.freeCapacity >= freeCapacity) {
        entries.pop();
        last = entries.at(-1);
      }
      entries.push({ at, freeCapacity });
      if (entries.length <= MAX_ENTRIES) return;
      const [first, second] = entries;
      if (first === undefined || second === undefined) return;
      first.at = second.at;
      entries.splice(1, 1);
    },
    minimumSince: (since) => entries.find((entry) => entry.at > since)?.freeCapacity ?? Infinity,
    subtractSince: (since, tokens) => {
      for (const entry of entries) if (entry.at > since) entry.freeCapacity -= tokens;
      removeDominated();
    },
    markFull: (at) => {
      entries = [{ at, freeCapacity: 0 }];
    },
  };
}
