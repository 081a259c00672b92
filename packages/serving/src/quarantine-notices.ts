/** Messages by which nodes tell each other at once which upstreams ended, and which parts are sound. */
import { isAnsweredPart } from './answered-parts.js';
import type { AnsweredPart } from './answered-parts.js';
import { isNonNegative } from './message-values.js';
import type { EndedRun, UpstreamEnd } from './part-suspicions.js';

/** Limits of what is accepted from peers, whose messages are bounded as a whole. */
const MAX_PART_LENGTH = 64;
const MAX_KEYS = 64;
const MAX_KEY_LENGTH = 256;

/** Requests and parts that are refused together: in requests that hold all of them. */
export interface QuarantinedParts {
  /** Ids of prompt parts, and of a request. Several while the evidence cannot tell which of them ends upstreams. */
  readonly parts: readonly string[];
  /** Time since the parts were quarantined, in milliseconds. */
  readonly ageMs: number;
  /** Length of the quarantine in milliseconds; after it, single requests may try the parts. */
  readonly lengthMs: number;
  /** Time since the last end or refused request, in milliseconds. */
  readonly idleMs: number;
  /** Keys of the ends that decided it. */
  readonly ends: readonly string[];
}

export interface EndNotice {
  readonly ends: readonly UpstreamEnd[];
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
  return Array.isArray(value) && value.every(isPart);
}

const isKey = (value: unknown): value is string =>
  typeof value === 'string' && value.length <= MAX_KEY_LENGTH;

function isEndedRun(value: unknown): value is EndedRun {
  const { parts, ageMs } = (value ?? {}) as Partial<EndedRun>;
  return isPartList(parts) && isNonNegative(ageMs);
}

function isUpstreamEnd(value: unknown): value is UpstreamEnd {
  const { key, runs } = (value ?? {}) as Partial<UpstreamEnd>;
  return isKey(key) && Array.isArray(runs) && runs.every(isEndedRun);
}

/** Whether a message tells that upstreams ended. */
export function isEndNotice(value: unknown): value is EndNotice {
  const { ends } = (value ?? {}) as Partial<EndNotice>;
  return Array.isArray(ends) && ends.every(isUpstreamEnd);
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
