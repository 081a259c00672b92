/**
 * Refuses requests that end upstreams, or whose prompts hold parts that do. The id of a request itself counts
 * as one of its parts, one that only its repeats share. Parts are quarantined after several
 * upstreams ended, one after the other, while they ran requests with them, and none has answered such a
 * request in between. While the evidence fits several parts, only requests that hold all of them are
 * refused. The decision makes no network calls.
 *
 * Designed for loads in which sound requests share an organisation, an upstream and other parts
 * with the requests that crash it, and in which upstreams also end for other reasons.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { AnsweredParts } from './answered-parts.js';
import { createPartSuspicions } from './part-suspicions.js';
import type { LikelyCause, UpstreamEnd } from './part-suspicions.js';
import type { QuarantinedParts } from './quarantine-notices.js';
import { isRequestId } from './request-suspects.js';

/**
 * Time between an end and the decision on its cause, in which the reports of all nodes arrive. The
 * requests of a single node may show a part only that they share with the one that crashed it.
 */
const DECISION_DELAY_MS = 30;
/** Maximum number of ends that are listed for a quarantine. */
const MAX_LISTED_ENDS = 10;
/** Maximum number of parts in one quarantine; more parts are spread over several. */
const MAX_JOINT_PARTS = 16;
/** Time after which one request at a time may try quarantined parts. Doubles after each failure. */
const FIRST_QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 3_600_000;
/** The same while other parts may be the cause: a failed trial costs one upstream, a wrong decision all sound requests. */
const AMBIGUOUS_QUARANTINE_MS = 3_000;
/** Time after which another request may try parts although the previous one has not ended. */
const TRIAL_LIMIT_MS = 30_000;
/** Time without an end or a refused request after which a quarantine is forgotten. */
const FORGET_AFTER_MS = 3_600_000;
const FORGET_INTERVAL_MS = 1_000;
/** Maximum number of quarantined parts; those that were needed last are kept. */
const MAX_QUARANTINED = 2_000;
/** Maximum number of cleared parts that are remembered. */
const MAX_CLEARED = 2_000;

export interface PartQuarantine {
  /**
   * Returns the quarantine for which a request must not be sent. A request that may try the parts
   * gets `undefined`, also when it asks again before its trial has ended.
   */
  findBlocked(request: string, parts: readonly string[]): QuarantinedParts | undefined;
  /** Ends the trial of a request, which must not be sent again. */
  endTrial(request: string, parts: readonly string[]): void;
  /** Whether an upstream has ended under one of the parts since it was last answered. */
  isSuspected(parts: readonly string[]): boolean;
  /** Returns the number of upstreams that ended under a part, one after the other; all if it is quarantined. */
  countEnds(part: string): number;
  recordEnd(end: UpstreamEnd): void;
  /** Clears parts that an upstream has answered. Returns those that were suspected. */
  clear(parts: readonly string[]): readonly string[];
  /** Returns the parts that are quarantined together with a part, with it. */
  findJoint(part: string): readonly string[];
  /** Decides again, after other nodes told which parts they know to have been answered. */
  reviewAnswered(): void;
  /** Applies a peer's quarantine. Returns the parts that this node has cleared since. */
  adopt(quarantined: QuarantinedParts): readonly string[];
  /** Returns the quarantines, the latest first. */
  list(): readonly QuarantinedParts[];
}

export interface PartQuarantineOptions {
  /** Whether this node is the one that tries quarantined parts again. */
  readonly mayTry: (parts: readonly string[]) => boolean;
  readonly answered: Pick<AnsweredParts, 'isRecent'>;
  /** Called when a quarantine began, ended or changed. */
  readonly onChange: () => void;
  readonly telemetry: Telemetry;
}

interface Trial {
  readonly request: string;
  readonly until: number;
  hasEnded: boolean;
}

interface Quarantine {
  parts: Set<string>;
  readonly ends: Set<string>;
  since: number;
  lengthMs: number;
  /** Time of the last end or refused request. */
  usedAt: number;
  /** Time of the last change of `parts`; runs that were sent before are no evidence about it. */
  changedAt: number;
  trial: Trial | undefined;
}

/** Creates an empty quarantine. */
export function createPartQuarantine(options: PartQuarantineOptions): PartQuarantine {
  const { mayTry, answered, onChange, telemetry } = options;
  const suspicions = createPartSuspicions(answered.isRecent);
  const quarantineOf = new Map<string, Quarantine>();
  const clearedAt = new Map<string, number>();
  let decisionTimer: NodeJS.Timeout | undefined;
  let forgotAt = -Infinity;

  const all = (): Quarantine[] => [...new Set(quarantineOf.values())];
  const findIn = (parts: readonly string[]): Quarantine[] => [
    ...new Set(parts.flatMap((part) => quarantineOf.get(part) ?? [])),
  ];
  const publish = (): void => {
    telemetry.metrics.quarantinedParts.set(quarantineOf.size);
    onChange();
  };

  const describe = ({ parts, since, lengthMs, usedAt, ends }: Quarantine): QuarantinedParts => ({
    parts: [...parts],
    ageMs: monotonicMs() - since,
    lengthMs,
    idleMs: monotonicMs() - usedAt,
    ends: [...ends].slice(-MAX_LISTED_ENDS),
  });

  const describeForLog = ({ parts, ends, lengthMs }: Quarantine) => ({
    parts: [...parts].join(', '),
    ends: [...ends].join(', '),
    lengthMs,
  });

  const remove = (quarantine: Quarantine): void => {
    for (const part of quarantine.parts) quarantineOf.delete(part);
    publish();
  };

  const start = (
    parts: readonly string[],
    ends: Iterable<string>,
    lengthMs: number,
  ): Quarantine => {
    const now = monotonicMs();
    const quarantine: Quarantine = {
      parts: new Set(parts),
      ends: new Set(ends),
      since: now,
      lengthMs,
      usedAt: now,
      changedAt: now,
      trial: undefined,
    };
    for (const part of parts) {
      quarantineOf.set(part, quarantine);
      suspicions.drop(part);
      clearedAt.delete(part);
    }
    if (quarantineOf.size > MAX_QUARANTINED) {
      remove(all().reduce((a, b) => (b.usedAt < a.usedAt ? b : a)));
    }
    telemetry.log('partQuarantined', describeForLog(quarantine));
    publish();
    return quarantine;
  };

  /** Keeps only some parts of a quarantine; none are left when it is lifted. */
  const narrow = (
    quarantine: Quarantine,
    keep: (part: string) => boolean,
    reason: string,
  ): void => {
    const kept = [...quarantine.parts].filter(keep);
    if (kept.length === quarantine.parts.size) return;
    for (const part of quarantine.parts) if (!keep(part)) quarantineOf.delete(part);
    if (kept.length === 0) {
      telemetry.log('partCleared', describeForLog(quarantine));
    } else {
      quarantine.parts = new Set(kept);
      quarantine.changedAt = monotonicMs();
      telemetry.log('quarantineNarrowed', { ...describeForLog(quarantine), reason });
    }
    publish();
  };

  const forgetOld = (): void => {
    if (monotonicMs() - forgotAt < FORGET_INTERVAL_MS) return;
    forgotAt = monotonicMs();
    const before = monotonicMs() - FORGET_AFTER_MS;
    suspicions.forgetBefore(before);
    for (const quarantine of all()) if (quarantine.usedAt < before) remove(quarantine);
    for (const [part, at] of clearedAt) if (at < before) clearedAt.delete(part);
  };

  /** An answer tells a sound part from the others of its quarantine, unless all were answered lately. */
  const dropAnswered = (quarantine: Quarantine): void => {
    const unanswered = [...quarantine.parts].filter((part) => !answered.isRecent(part));
    if (unanswered.length > 0)
      narrow(quarantine, (part) => !answered.isRecent(part), 'answered lately');
  };

  const quarantineCause = ({ parts, ends, isAmbiguous }: LikelyCause): void => {
    const lengthMs = isAmbiguous ? AMBIGUOUS_QUARANTINE_MS : FIRST_QUARANTINE_MS;
    const request = parts.find(isRequestId);
    if (request === undefined) {
      for (let first = 0; first < parts.length; first += MAX_JOINT_PARTS)
        start(parts.slice(first, first + MAX_JOINT_PARTS), ends, lengthMs);
    } else {
      // With the request among them nothing else is refused, and parts that do not fit need not be.
      const others = parts.filter((part) => part !== request);
      start([...others.slice(0, MAX_JOINT_PARTS - 1), request], ends, lengthMs);
    }
    suspicions.explain(ends);
  };

  const decide = (): void => {
    decisionTimer = undefined;
    let cause = suspicions.findCause();
    while (cause !== undefined) {
      quarantineCause(cause);
      cause = suspicions.findCause();
    }
  };

  /** Counts an end against parts that are already quarantined, such as those that were tried. */
  const extend = (quarantine: Quarantine, key: string): void => {
    if (quarantine.ends.has(key)) return;
    const now = monotonicMs();
    quarantine.ends.add(key);
    quarantine.usedAt = now;
    const { since, lengthMs, trial } = quarantine;
    if (trial === undefined && now - since < lengthMs) return;
    quarantine.since = now;
    quarantine.lengthMs = Math.min(MAX_QUARANTINE_MS, Math.max(FIRST_QUARANTINE_MS, lengthMs * 2));
    quarantine.trial = undefined;
    telemetry.log('partQuarantined', describeForLog(quarantine));
    publish();
  };

  /** Applies an end to a quarantine. Returns whether the quarantine explains it. */
  const applyEnd = (quarantine: Quarantine, { key, runs }: UpstreamEnd): boolean => {
    const { parts, changedAt } = quarantine;
    const held = runs
      .map((run) => ({ ...run, parts: new Set(run.parts.filter((part) => parts.has(part))) }))
      .filter((run) => run.parts.size > 0);
    if (held.some((run) => run.parts.size === parts.size)) {
      extend(quarantine, key);
      return true;
    }
    const now = monotonicMs();
    const fresh = held.filter(({ ageMs }) => now - ageMs >= changedAt);
    const suspects = new Set(fresh.flatMap((run) => [...run.parts]));
    if (suspects.size === 0 || suspects.size === parts.size) return false;
    quarantine.ends.add(key);
    quarantine.usedAt = now;
    quarantine.since = now;
    quarantine.lengthMs = AMBIGUOUS_QUARANTINE_MS;
    narrow(quarantine, (part) => suspects.has(part), 'upstream ended');
    return false;
  };

  /** Whether a request tells of the quarantine alone, since nothing else in it is suspected. */
  const isFitForTrial = (quarantine: Quarantine, parts: readonly string[]): boolean =>
    parts.every(
      (part) => quarantine.parts.has(part) || (!quarantineOf.has(part) && !suspicions.has(part)),
    );

  return {
    findBlocked: (request, parts) => {
      if (quarantineOf.size === 0) return undefined;
      const now = monotonicMs();
      for (const quarantine of findIn(parts)) {
        if (![...quarantine.parts].every((part) => parts.includes(part))) continue;
        const { trial } = quarantine;
        if (trial?.request === request && !trial.hasEnded) continue;
        quarantine.usedAt = now;
        const isTrialDue =
          now - quarantine.since >= quarantine.lengthMs && now >= (trial?.until ?? 0);
        const mayBeTried = isTrialDue && isFitForTrial(quarantine, parts);
        if (!mayBeTried || !mayTry([...quarantine.parts])) return describe(quarantine);
        quarantine.trial = { request, until: now + TRIAL_LIMIT_MS, hasEnded: false };
      }
      return undefined;
    },
    endTrial: (request, parts) => {
      for (const { trial } of findIn(parts)) if (trial?.request === request) trial.hasEnded = true;
    },
    isSuspected: (parts) => parts.some((part) => suspicions.has(part) || quarantineOf.has(part)),
    countEnds: (part) => quarantineOf.get(part)?.ends.size ?? suspicions.countEnds(part),
    recordEnd: (end) => {
      forgetOld();
      const parts = end.runs.flatMap((run) => run.parts);
      const isExplained = findIn(parts)
        .map((quarantine) => applyEnd(quarantine, end))
        .some(Boolean);
      if (isExplained) {
        suspicions.explain([end.key]);
        return;
      }
      if (suspicions.count(end, (part) => !quarantineOf.has(part)))
        decisionTimer ??= setTimeout(decide, DECISION_DELAY_MS);
    },
    clear: (parts) => {
      const now = monotonicMs();
      const cleared = parts.filter((part) => suspicions.has(part) || quarantineOf.has(part));
      for (const quarantine of findIn(cleared))
        narrow(quarantine, (part) => !cleared.includes(part), 'answered');
      for (const part of cleared) {
        suspicions.drop(part);
        clearedAt.delete(part);
        clearedAt.set(part, now);
      }
      for (const part of clearedAt.keys()) {
        if (clearedAt.size <= MAX_CLEARED) break;
        clearedAt.delete(part);
      }
      return cleared;
    },
    findJoint: (part) => [...(quarantineOf.get(part)?.parts ?? [])],
    reviewAnswered: () => all().forEach(dropAnswered),
    adopt: ({ parts, ageMs, lengthMs, idleMs, ends }) => {
      const now = monotonicMs();
      const since = now - ageMs;
      const isCleared = (part: string): boolean => (clearedAt.get(part) ?? -Infinity) > since;
      const cleared = parts.filter(isCleared);
      const others = parts.filter((part) => !isCleared(part));
      const usedAt = now - idleMs;
      if (others.length === 0 || idleMs > FORGET_AFTER_MS) return cleared;
      const known = findIn(others);
      for (const quarantine of known) {
        quarantine.usedAt = Math.max(quarantine.usedAt, usedAt);
        narrow(quarantine, (part) => others.includes(part), 'told by a peer');
        // A peer that has not narrowed it yet tells the length of the wider quarantine.
        if (quarantine.parts.size < parts.length || quarantine.lengthMs >= lengthMs) continue;
        quarantine.since = since;
        quarantine.lengthMs = Math.min(MAX_QUARANTINE_MS, lengthMs);
        quarantine.trial = undefined;
        publish();
      }
      if (known.length > 0) return cleared;
      const adopted = start(others, ends, Math.min(MAX_QUARANTINE_MS, lengthMs));
      adopted.since = since;
      adopted.usedAt = usedAt;
      suspicions.explain(ends);
      return cleared;
    },
    list: () => {
      forgetOld();
      return all()
        .map(describe)
        .sort((a, b) => a.ageMs - b.ageMs);
    },
  };
}
