/**
 * Finds the parts of prompts that crash upstreams, and refuses requests that hold one. A part is
 * quarantined after several upstreams ended, one after the other, while they ran requests with it,
 * and none has answered such a request in between. The decision makes no network calls.
 *
 * Designed for loads in which sound requests share an organisation, an upstream and other parts
 * with the requests that crash it, and in which upstreams also end for other reasons.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';

/** Ends of upstreams after which a part is quarantined. */
const ENDS_TO_QUARANTINE = 3;
/**
 * Time between an end and the decision on its cause, in which the reports of all nodes arrive. The
 * requests of a single node may show a part only that they share with the one that crashed it.
 */
const DECISION_DELAY_MS = 30;
/** Maximum number of ends that are listed for a part. */
const MAX_LISTED_ENDS = 10;
/** Time after which one request at a time may try a quarantined part. Doubles after each failure. */
const FIRST_QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 3_600_000;
/** Time after which another request may try a part although the previous one has not ended. */
const TRIAL_LIMIT_MS = 30_000;
/** Time without an end or a refused request after which a part is forgotten. */
const FORGET_AFTER_MS = 3_600_000;
/** Maximum number of parts that are kept, since callers choose the parts. */
const MAX_PARTS = 2_000;
/** Maximum number of ends whose cause is remembered. */
const MAX_EXPLAINED_ENDS = 200;

/** A request that an upstream was running when it ended. */
export interface EndedRun {
  /** Parts of the prompt that other requests can share, in the order of the prompt. */
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

export interface QuarantinedPart {
  readonly part: string;
  /** Time since the part was quarantined, in milliseconds. */
  readonly ageMs: number;
  /** Length of the quarantine in milliseconds; after it, single requests may try the part. */
  readonly lengthMs: number;
  /** Time since the last end or refused request, in milliseconds. */
  readonly idleMs: number;
  /** Keys of the ends that decided it. */
  readonly ends: readonly string[];
}

export interface PartQuarantine {
  /**
   * Returns the quarantined part for which a request must not be sent. A request that may try a
   * part gets `undefined`, also when it asks again.
   */
  findBlocked(request: string, parts: readonly string[]): QuarantinedPart | undefined;
  /** Whether an upstream has ended under one of the parts since it was last answered. */
  isSuspected(parts: readonly string[]): boolean;
  recordEnd(end: UpstreamEnd): void;
  /** Clears parts that an upstream has answered. Returns those that were suspected. */
  clear(parts: readonly string[]): readonly string[];
  /**
   * Applies a peer's quarantine. Returns false when this node has cleared the part since, so that
   * the peer must be told.
   */
  adopt(quarantined: QuarantinedPart): boolean;
  /** Returns the quarantined parts, the latest first. */
  list(): readonly QuarantinedPart[];
}

export interface PartQuarantineOptions {
  /** Whether this node is the one that tries a quarantined part again. */
  readonly mayTry: (part: string) => boolean;
  readonly telemetry: Telemetry;
}

interface Quarantine {
  since: number;
  lengthMs: number;
  trial: { readonly request: string; readonly until: number } | undefined;
}

interface Suspicion {
  readonly ends: Set<string>;
  /** Largest position in a prompt at which the part was seen; parts further back are more specific. */
  position: number;
  /** Time of the last end that was counted. */
  countedAt: number;
  /** Time of the last end or refused request. */
  usedAt: number;
  quarantine: Quarantine | undefined;
}

/** Creates an empty quarantine. */
export function createPartQuarantine({ mayTry, telemetry }: PartQuarantineOptions): PartQuarantine {
  const suspicions = new Map<string, Suspicion>();
  const clearedAt = new Map<string, number>();
  /** Keys of ends whose cause is known. */
  const explained = new Set<string>();
  let decisionTimer: NodeJS.Timeout | undefined;

  const updateMetrics = (): void => {
    const count = [...suspicions.values()].filter(({ quarantine }) => quarantine !== undefined);
    telemetry.metrics.quarantinedParts.set(count.length);
  };

  const describe = (part: string, suspicion: Suspicion, quarantine: Quarantine) => ({
    part,
    ageMs: monotonicMs() - quarantine.since,
    lengthMs: quarantine.lengthMs,
    idleMs: monotonicMs() - suspicion.usedAt,
    ends: [...suspicion.ends].slice(-MAX_LISTED_ENDS),
  });

  const evictOldest = <T>(map: Map<string, T>, limit: number, age: (value: T) => number): void => {
    if (map.size <= limit) return;
    const [oldest] = [...map].reduce((a, b) => (age(b[1]) < age(a[1]) ? b : a));
    map.delete(oldest);
  };

  const getOrCreate = (part: string): Suspicion => {
    const known = suspicions.get(part);
    if (known !== undefined) return known;
    const created: Suspicion = {
      ends: new Set(),
      position: 0,
      countedAt: -Infinity,
      usedAt: monotonicMs(),
      quarantine: undefined,
    };
    suspicions.set(part, created);
    // Quarantined parts are evicted last.
    evictOldest(suspicions, MAX_PARTS, ({ usedAt, quarantine }) =>
      quarantine === undefined ? usedAt : usedAt + FORGET_AFTER_MS,
    );
    return created;
  };

  const forgetOld = (): void => {
    const before = monotonicMs() - FORGET_AFTER_MS;
    for (const [part, { usedAt }] of suspicions) if (usedAt < before) suspicions.delete(part);
    for (const [part, at] of clearedAt) if (at < before) clearedAt.delete(part);
    updateMetrics();
  };

  /** An end has one cause, so it no longer counts against other parts. */
  const explain = (keys: Iterable<string>, culprit: string): void => {
    for (const key of keys) {
      explained.add(key);
      for (const [part, suspicion] of suspicions) {
        if (part === culprit || !suspicion.ends.delete(key)) continue;
        if (suspicion.ends.size === 0 && suspicion.quarantine === undefined)
          suspicions.delete(part);
      }
    }
    for (const key of explained) {
      if (explained.size <= MAX_EXPLAINED_ENDS) break;
      explained.delete(key);
    }
  };

  const startQuarantine = (part: string, suspicion: Suspicion, lengthMs: number): void => {
    suspicion.quarantine = { since: monotonicMs(), lengthMs, trial: undefined };
    clearedAt.delete(part);
    telemetry.log('partQuarantined', { part, ends: [...suspicion.ends].join(', '), lengthMs });
    updateMetrics();
  };

  /**
   * Counts an end against a part once. Runs that were sent before the previous end was counted give
   * no new evidence: upstreams that end together were running sound parts as well.
   */
  const count = (part: string, position: number, key: string, sentAt: number): void => {
    const suspicion = getOrCreate(part);
    suspicion.position = Math.max(suspicion.position, position);
    if (suspicion.ends.has(key) || sentAt < suspicion.countedAt) return;
    suspicion.ends.add(key);
    suspicion.countedAt = monotonicMs();
    suspicion.usedAt = suspicion.countedAt;
  };

  /** Returns the most specific part with enough ends that is not quarantined yet. */
  const findCulprit = (): readonly [string, Suspicion] | undefined => {
    const [culprit] = [...suspicions]
      .filter(
        ([, { ends, quarantine }]) => quarantine === undefined && ends.size >= ENDS_TO_QUARANTINE,
      )
      .sort(([, a], [, b]) => b.position - a.position);
    return culprit;
  };

  const decide = (): void => {
    decisionTimer = undefined;
    for (let culprit = findCulprit(); culprit !== undefined; culprit = findCulprit()) {
      const [part, suspicion] = culprit;
      startQuarantine(part, suspicion, FIRST_QUARANTINE_MS);
      explain([...suspicion.ends], part);
    }
  };

  /** Counts an end against a part that is already quarantined, such as one that was tried. */
  const extendQuarantine = (part: string, key: string): void => {
    const suspicion = suspicions.get(part);
    if (suspicion?.quarantine === undefined) return;
    suspicion.ends.add(key);
    suspicion.usedAt = monotonicMs();
    const { since, lengthMs, trial } = suspicion.quarantine;
    const wasTried = trial !== undefined || monotonicMs() - since >= lengthMs;
    if (wasTried) startQuarantine(part, suspicion, Math.min(MAX_QUARANTINE_MS, lengthMs * 2));
  };

  return {
    findBlocked: (request, parts) => {
      const now = monotonicMs();
      for (const part of parts) {
        const suspicion = suspicions.get(part);
        const quarantine = suspicion?.quarantine;
        if (suspicion === undefined || quarantine === undefined) continue;
        const { trial } = quarantine;
        if (trial?.request === request) continue;
        suspicion.usedAt = now;
        const isTrialDue =
          now - quarantine.since >= quarantine.lengthMs && now >= (trial?.until ?? 0);
        if (!isTrialDue || !mayTry(part)) return describe(part, suspicion, quarantine);
        quarantine.trial = { request, until: now + TRIAL_LIMIT_MS };
      }
      return undefined;
    },
    isSuspected: (parts) => parts.some((part) => suspicions.has(part)),
    recordEnd: ({ key, runs }) => {
      forgetOld();
      const blocked = runs
        .flatMap(({ parts }) => parts)
        .find((part) => suspicions.get(part)?.quarantine !== undefined);
      if (blocked !== undefined) {
        extendQuarantine(blocked, key);
        explain([key], blocked);
        return;
      }
      if (explained.has(key)) return;
      const now = monotonicMs();
      for (const { parts, ageMs } of runs) {
        parts.forEach((part, position) => count(part, position, key, now - ageMs));
      }
      if (findCulprit() !== undefined) decisionTimer ??= setTimeout(decide, DECISION_DELAY_MS);
    },
    clear: (parts) => {
      const cleared = parts.filter((part) => suspicions.has(part));
      for (const part of cleared) {
        const suspicion = suspicions.get(part);
        if (suspicion?.quarantine !== undefined) {
          telemetry.log('partCleared', { part, ends: [...suspicion.ends].join(', ') });
        }
        suspicions.delete(part);
        clearedAt.set(part, monotonicMs());
        evictOldest(clearedAt, MAX_PARTS, (at) => at);
      }
      if (cleared.length > 0) updateMetrics();
      return cleared;
    },
    adopt: ({ part, ageMs, lengthMs, idleMs, ends }) => {
      const now = monotonicMs();
      const since = now - ageMs;
      if ((clearedAt.get(part) ?? -Infinity) > since) return false;
      if (idleMs > FORGET_AFTER_MS) return true;
      const known = suspicions.get(part);
      // The part is forgotten by all nodes when no request holds it at any of them.
      const usedAt = Math.max(known?.usedAt ?? -Infinity, now - idleMs);
      if (known !== undefined) known.usedAt = usedAt;
      if ((known?.quarantine?.lengthMs ?? -1) >= lengthMs) return true;
      const suspicion = getOrCreate(part);
      suspicion.usedAt = usedAt;
      for (const key of ends) suspicion.ends.add(key);
      startQuarantine(part, suspicion, Math.min(MAX_QUARANTINE_MS, lengthMs));
      if (suspicion.quarantine !== undefined) suspicion.quarantine.since = since;
      explain(ends, part);
      return true;
    },
    list: () => {
      forgetOld();
      return [...suspicions]
        .flatMap(([part, suspicion]) =>
          suspicion.quarantine === undefined
            ? []
            : [describe(part, suspicion, suspicion.quarantine)],
        )
        .sort((a, b) => a.ageMs - b.ageMs);
    },
  };
}
