/**
 * The least free room of a bucket since a time in the past. A refund is worth only what would still
 * be in the bucket if the tokens had never been taken: whatever found no room since then would have
 * overflowed.
 */

/** More entries are merged, which only makes refunds smaller. */
const MAX_ENTRIES = 500;

interface Entry {
  at: number;
  room: number;
}

export interface RoomHistory {
  record(at: number, room: number): void;
  /** Least room recorded after `since`. */
  leastSince(since: number): number;
  /** Takes `tokens` off the room recorded after `since`. */
  lower(since: number, tokens: number): void;
  /** Treats the bucket as full at `at`, so that earlier charges give nothing back. */
  reset(at: number): void;
}

/** Creates an empty history. */
export function createRoomHistory(): RoomHistory {
  // Minima of all suffixes: times and rooms both rise from front to back.
  let entries: Entry[] = [];

  const dropCovered = (): void => {
    const kept: Entry[] = [];
    let least = Infinity;
    for (const entry of [...entries].reverse()) {
      if (entry.room >= least) continue;
      least = entry.room;
      kept.push(entry);
    }
    entries = kept.reverse();
  };

  return {
    record: (at, room) => {
      let last = entries.at(-1);
      while (last !== undefined && last.room >= room) {
        entries.pop();
        last = entries.at(-1);
      }
      entries.push({ at, room });
      if (entries.length <= MAX_ENTRIES) return;
      const [first, second] = entries;
      if (first === undefined || second === undefined) return;
      first.at = second.at;
      entries.splice(1, 1);
    },
    leastSince: (since) => entries.find((entry) => entry.at > since)?.room ?? Infinity,
    lower: (since, tokens) => {
      for (const entry of entries) if (entry.at > since) entry.room -= tokens;
      dropCovered();
    },
    reset: (at) => {
      entries = [{ at, room: 0 }];
    },
  };
}
