/** Stores the ids of recent messages, so that a repeated message has no effect. */

const MAX_IDS = 20_000;

export interface RecentIds {
  has(id: string): boolean;
  add(id: string): void;
}

/** Creates an empty set that evicts the oldest id first. */
export function createRecentIds(): RecentIds {
  const ids = new Set<string>();
  return {
    has: (id) => ids.has(id),
    add: (id) => {
      ids.add(id);
      const [oldest] = ids;
      if (ids.size > MAX_IDS && oldest !== undefined) ids.delete(oldest);
    },
  };
}
