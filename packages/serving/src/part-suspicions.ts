/**
 * Counts, for each part of prompts and for each request itself, the upstreams that ended while they ran requests with it, and finds
 * the parts that explain these ends.
 */
import { hash32, monotonicMs } from '@hibiscusbank/core';

/** Ends of upstreams, one after the other, after which a part counts as their cause. */
const ENDS_TO_QUARANTINE = 3;
/** The same for a part that was answered lately, and so is more likely to stand beside the cause. */
const ENDS_TO_QUARANTINE_ANSWERED = 5;
/** Maximum number of parts that are suspected, since callers choose the parts. */
const MAX_PARTS = 10_000;
/** Maximum number of ends whose cause is remembered. */
const MAX_EXPLAINED_ENDS = 200;

/** A request that an upstream was running when it ended. */
export interface EndedRun {
  /** Parts of the prompt that other requests can share, in the order of the prompt, and the id of the request. */
  readonly parts: readonly string[];
  /** Time since the request was sent to the upstream, in milliseconds. */
  readonly ageMs: number;
}

/** The end of an upstream's process, with the requests that one node had sent to it. */
export interface UpstreamEnd {
  /** Id and start time of the process; nodes that report the same end use the same key. */
  readonly key: string;
  readonly runs: readonly EndedRun[];
}

/** Parts that explain the same ends equally well, since the same runs held all of them. */
export interface LikelyCause {
  readonly parts: readonly string[];
  readonly ends: readonly string[];
  /** Whether they were answered lately all the same, or parts of other runs explain the ends as well. */
  readonly isAmbiguous: boolean;
}

export interface PartSuspicions {
  has(part: string): boolean;
  /** Returns the number of upstreams that ended under a part, one after the other. */
  countEnds(part: string): number;
  /**
   * Counts an end against the parts of the runs for which `isCounted` holds. Returns whether one of them
   * may have enough ends now.
   */
  count(end: UpstreamEnd, isCounted: (part: string) => boolean): boolean;
  findCause(): LikelyCause | undefined;
  /** An end has one cause, so explained ends no longer count against any part. */
  explain(keys: Iterable<string>): void;
  drop(part: string): void;
  forgetBefore(time: number): void;
}

interface Suspicion {
  /** The runs with the part that each end broke off. */
  readonly ends: Map<string, Set<number>>;
  /** Sum of the least ages of these runs; an upstream ends as it begins to answer the cause. */
  ageMs: number;
  /** Time of the last end that was counted, and of the one before. */
  countedAt: number;
  countedBefore: number;
}

const sharesRun = (a: ReadonlySet<number>, b: ReadonlySet<number> | undefined): boolean =>
  b !== undefined && [...a].some((run) => b.has(run));

/** Creates the counts of one node. `wasAnswered`: whether a part was answered lately. */
export function createPartSuspicions(wasAnswered: (part: string) => boolean): PartSuspicions {
  const suspicions = new Map<string, Suspicion>();
  const explained = new Set<string>();
  let runCount = 0;

  /**
   * Counts an end against a part once. Runs that were sent before the previous end was counted give
   * no new evidence: upstreams that end together were running sound parts as well.
   */
  const countPart = (part: string, key: string, run: number, sentAt: number): number => {
    const now = monotonicMs();
    const suspicion = suspicions.get(part) ?? {
      ends: new Map(),
      ageMs: 0,
      countedAt: -Infinity,
      countedBefore: -Infinity,
    };
    const runs = suspicion.ends.get(key);
    if (runs !== undefined) {
      if (sentAt >= suspicion.countedBefore) runs.add(run);
      return 0;
    }
    if (sentAt < suspicion.countedAt) return 0;
    suspicions.set(part, suspicion);
    suspicion.ends.set(key, new Set([run]));
    suspicion.ageMs += now - sentAt;
    suspicion.countedBefore = suspicion.countedAt;
    suspicion.countedAt = now;
    return suspicion.ends.size;
  };

  /**
   * Drops parts beyond the limit, those with the fewest ends first. The choice among equals differs from
   * end to end, so that no caller can choose it and a part that ends upstreams is counted sooner or later.
   */
  const limit = (key: string): void => {
    if (suspicions.size <= MAX_PARTS) return;
    const ranked = [...suspicions]
      .map(([part, { ends }]) => ({ part, ends: ends.size, tie: hash32(`${key} ${part}`) }))
      .sort((a, b) => a.ends - b.ends || a.tie - b.tie);
    for (const { part } of ranked.slice(0, suspicions.size - MAX_PARTS)) suspicions.delete(part);
  };

  return {
    has: (part) => suspicions.has(part),
    countEnds: (part) => suspicions.get(part)?.ends.size ?? 0,
    count: ({ key, runs }, isCounted) => {
      if (explained.has(key)) return false;
      const now = monotonicMs();
      let most = 0;
      // The youngest first, whose age is the one that counts.
      for (const { parts, ageMs } of [...runs].sort((a, b) => a.ageMs - b.ageMs)) {
        runCount += 1;
        for (const part of parts) {
          if (isCounted(part)) most = Math.max(most, countPart(part, key, runCount, now - ageMs));
        }
      }
      limit(key);
      return most >= ENDS_TO_QUARANTINE;
    },
    findCause: () => {
      const candidates = [...suspicions]
        .filter(([, { ends }]) => ends.size >= ENDS_TO_QUARANTINE)
        .map(([part, suspicion]) => ({ part, ...suspicion, answered: wasAnswered(part) }))
        .filter(({ ends, answered }) => !answered || ends.size >= ENDS_TO_QUARANTINE_ANSWERED)
        .sort(
          (a, b) =>
            Number(a.answered) - Number(b.answered) ||
            b.ends.size - a.ends.size ||
            a.ageMs - b.ageMs,
        );
      const [first] = candidates;
      if (first === undefined) return undefined;
      const equal = candidates.filter(
        ({ ends, answered }) => answered === first.answered && ends.size === first.ends.size,
      );
      const together = equal.filter(({ ends }) =>
        [...ends].every(([key, runs]) => sharesRun(runs, first.ends.get(key))),
      );
      return {
        parts: together.map(({ part }) => part),
        ends: [...first.ends.keys()],
        isAmbiguous: first.answered || together.length < equal.length,
      };
    },
    explain: (keys) => {
      for (const key of keys) {
        if (explained.has(key)) continue;
        explained.add(key);
        for (const [part, { ends }] of suspicions) {
          if (ends.delete(key) && ends.size === 0) suspicions.delete(part);
        }
      }
      for (const key of explained) {
        if (explained.size <= MAX_EXPLAINED_ENDS) break;
        explained.delete(key);
      }
    },
    drop: (part) => suspicions.delete(part),
    forgetBefore: (time) => {
      for (const [part, { countedAt }] of suspicions) if (countedAt < time) suspicions.delete(part);
    },
  };
}
