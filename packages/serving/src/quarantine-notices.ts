/** Messages by which nodes tell each other at once which upstreams ended, and which parts are sound. */
import { isNonNegative } from './message-values.js';
import type { EndedRun, QuarantinedPart, UpstreamEnd } from './part-quarantine.js';

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

/** Whether a value from a peer's report is a quarantined part. */
export function isQuarantinedPart(value: unknown): value is QuarantinedPart {
  const { part, ageMs, lengthMs, idleMs, ends } = (value ?? {}) as Partial<QuarantinedPart>;
  return (
    isPart(part) &&
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
