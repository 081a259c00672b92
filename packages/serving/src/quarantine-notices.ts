/** Messages by which nodes tell each other at once which upstreams ended, and which parts are sound. */
import { isAnsweredPart } from './answered-parts.js';
import type { AnsweredPart } from './answered-parts.js';
import { isNonNegative } from './message-values.js';
import type { QuarantinedParts } from './part-quarantine.js';
import type { EndedRun, UpstreamEnd } from './part-suspicions.js';

/** Limits of what is accepted from callers and peers. */
const MAX_PART_LENGTH = 64;
const MAX_PARTS_PER_RUN = 32;
const MAX_RUNS = 256;
const MAX_KEYS = 64;
const MAX_KEY_LENGTH = 256;

export interface EndNotice {
  readonly end: UpstreamEnd;
}

export interface ClearNotice {
  readonly clearedParts: readonly string[];
  /** Whether an operator lifted the quarantine, so that other parts of it are free as well. */
  readonly isLifted?: boolean;
}

/** Tells which parts of requests that an ended upstream was running were answered lately. */
export interface AnsweredNotice {
  readonly answeredParts: readonly AnsweredPart[];
}

/** Whether a value is the id of a part of a prompt. */
export function isPart(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_PART_LENGTH;
}

function isPartList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.length <= MAX_PARTS_PER_RUN && value.every(isPart);
}

const isKey = (value: unknown): value is string =>
  typeof value === 'string' && value.length <= MAX_KEY_LENGTH;

function isEndedRun(value: unknown): value is EndedRun {
  const { parts, ageMs } = (value ?? {}) as Partial<EndedRun>;
  return isPartList(parts) && isNonNegative(ageMs);
}

/** Whether a message tells that an upstream ended. */
export function isEndNotice(value: unknown): value is EndNotice {
  const { key, runs } = ((value ?? {}) as Partial<EndNotice>).end ?? ({} as Partial<UpstreamEnd>);
  return isKey(key) && Array.isArray(runs) && runs.length <= MAX_RUNS && runs.every(isEndedRun);
}

/** Whether a message tells that parts were answered. */
export function isClearNotice(value: unknown): value is ClearNotice {
  return isPartList(((value ?? {}) as Partial<ClearNotice>).clearedParts);
}

/** Whether a message tells that parts were answered lately. */
export function isAnsweredNotice(value: unknown): value is AnsweredNotice {
  const { answeredParts } = (value ?? {}) as Partial<AnsweredNotice>;
  return (
    Array.isArray(answeredParts) &&
    answeredParts.every((answered) => isAnsweredPart(answered, isPart))
  );
}

/** Whether a value from a peer's report is a quarantine. */
export function isQuarantine(value: unknown): value is QuarantinedParts {
  const { parts, ageMs, lengthMs, idleMs, ends } = (value ?? {}) as Partial<QuarantinedParts>;
  return (
    isPartList(parts) &&
    parts.length > 0 &&
    isNonNegative(ageMs) &&
    isNonNegative(lengthMs) &&
    isNonNegative(idleMs) &&
    Array.isArray(ends) &&
    ends.length <= MAX_KEYS &&
    ends.every(isKey)
  );
}

/** Returns the parts that are taken into account: too long ids and the parts beyond a limit are not. */
export function limitParts(parts: readonly string[]): readonly string[] {
  return parts.filter(isPart).slice(0, MAX_PARTS_PER_RUN);
}
