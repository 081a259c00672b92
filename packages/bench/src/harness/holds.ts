/** Watches what engines hold for requests that have ended. */
import { repeatUntilAborted } from '@hibiscusbank/core';
import type { EngineStandin } from '@hibiscusbank/standins';
import type { TrafficRecord } from './traffic.js';

const POLL_MS = 100;
/** A hold that is released in the ordinary course of events is gone by then. */
const ORDINARY_RELEASE_MS = 500;
/** By this age of its hold a caller has the id of the request from the headers of the answer. */
const MAX_UNSEEN_MS = 3_000;

export interface HoldWatch {
  /** Monotonic time at which an engine last held something of a request that is gone. */
  lastStaleAtMs(): number;
  /** Longest time that something was held after its request had ended. */
  longestAfterEndMs(): number;
  /** Present holds, as `engine: kind request/attempt`. */
  list(): readonly string[];
  stop(): Promise<void>;
}

interface RequestIds {
  readonly live: ReadonlySet<string>;
  readonly endedAtMs: ReadonlyMap<string, number>;
}

function readIds(records: readonly TrafficRecord[]): RequestIds {
  const live = new Set<string>();
  const endedAtMs = new Map<string, number>();
  for (const record of records) {
    for (const { requestId, endedAtMs: at } of record.exchanges) {
      if (requestId !== undefined && !record.isOver) live.add(requestId);
      if (requestId !== undefined && record.isOver) {
        endedAtMs.set(requestId, Math.max(at, endedAtMs.get(requestId) ?? 0));
      }
    }
  }
  return { live, endedAtMs };
}

/** Starts to watch. The requests are those of the load, by the ids that their answers gave. */
export function watchHolds(
  engines: readonly EngineStandin[],
  readRecords: () => readonly TrafficRecord[],
): HoldWatch {
  const stopping = new AbortController();
  let lastStaleAtMs = -Infinity;
  let longestAfterEndMs = 0;

  const poll = async (): Promise<void> => {
    const holds = engines.flatMap((engine) => engine.holds());
    if (holds.length === 0) return;
    const { live, endedAtMs } = readIds(readRecords());
    const now = performance.now();
    for (const { requestId, ageMs } of holds) {
      const endedAt = endedAtMs.get(requestId);
      const heldMs = endedAt === undefined ? 0 : now - endedAt;
      const isStale = endedAt === undefined ? ageMs > MAX_UNSEEN_MS : heldMs > ORDINARY_RELEASE_MS;
      if (isStale && !live.has(requestId)) {
        lastStaleAtMs = now;
        longestAfterEndMs = Math.max(longestAfterEndMs, heldMs);
      }
    }
  };
  const polling = repeatUntilAborted(stopping.signal, () => POLL_MS, poll);

  return {
    lastStaleAtMs: () => lastStaleAtMs,
    longestAfterEndMs: () => longestAfterEndMs,
    list: () =>
      engines.flatMap((engine) =>
        engine
          .holds()
          .map(({ kind, requestId, attempt }) => `${engine.url}: ${kind} ${requestId}/${attempt}`),
      ),
    stop: async () => {
      stopping.abort();
      await polling;
    },
  };
}
