/** Detects resources that engines still hold for requests that have ended. */
import { repeatUntilAborted } from '@hibiscusbank/core';
import type { EngineStandin } from '@hibiscusbank/standins';
import type { TrafficRecord } from './traffic.js';

const POLL_MS = 100;
/** Engines release holds within this time of the end of a request unless a fault prevents it. */
const NORMAL_RELEASE_MS = 500;
/** Response headers tell the load generator the id of a request before its hold is this old. */
const MAX_UNKNOWN_ID_AGE_MS = 3_000;

export interface HoldWatch {
  /**
   * Monotonic time at which a stale hold was last seen, -Infinity if never. A hold is stale when it
   * outlives its request by over `NORMAL_RELEASE_MS`, or when its request is unknown and the hold is
   * older than `MAX_UNKNOWN_ID_AGE_MS`.
   */
  lastStaleAtMs(): number;
  /** Longest time that a hold outlived its request, in ms. */
  longestAfterEndMs(): number;
  /** Current holds, as `engine: kind request/attempt`. */
  list(): readonly string[];
  stop(): Promise<void>;
}

interface RequestIds {
  readonly live: ReadonlySet<string>;
  readonly endedAtMs: ReadonlyMap<string, number>;
}

function classifyRequestIds(records: readonly TrafficRecord[]): RequestIds {
  const live = new Set<string>();
  const endedAtMs = new Map<string, number>();
  for (const record of records) {
    for (const { requestId, endedAtMs: exchangeEndMs } of record.exchanges) {
      if (requestId !== undefined && !record.isFinished) live.add(requestId);
      if (requestId !== undefined && record.isFinished) {
        endedAtMs.set(requestId, Math.max(exchangeEndMs, endedAtMs.get(requestId) ?? 0));
      }
    }
  }
  return { live, endedAtMs };
}

/** Starts to poll the engines. Requests are matched by the ids in their response headers. */
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
    const { live, endedAtMs } = classifyRequestIds(readRecords());
    const now = performance.now();
    for (const { requestId, ageMs } of holds) {
      const endedAt = endedAtMs.get(requestId);
      const heldMs = endedAt === undefined ? 0 : now - endedAt;
      const isStale =
        endedAt === undefined ? ageMs > MAX_UNKNOWN_ID_AGE_MS : heldMs > NORMAL_RELEASE_MS;
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
