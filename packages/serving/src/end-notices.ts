/**
 * Tells peers which upstreams ended and what they were running. Ends within the allowance are told at
 * once, further ones together and later, so that the loss of many upstreams does not flood a large fleet.
 */
import { hash32, monotonicMs } from '@hibiscusbank/core';
import type { EndedRun, UpstreamEnd } from './part-suspicions.js';
import type { EndNotice } from './quarantine-notices.js';

/** Maximum number of messages that a node sends within `WINDOW_MS`. */
const MAX_IN_WINDOW = 5;
const WINDOW_MS = 1_000;
/** Maximum size of the ends in a message, which has to fit into one datagram. */
const MAX_MESSAGE_BYTES = 50_000;
/** Maximum number of ends that wait to be told; the oldest are dropped. */
const MAX_WAITING = 2_000;

export interface EndNotices {
  /** Tells an end, or keeps it until the allowance permits. */
  tell(end: UpstreamEnd): void;
}

interface WaitingEnd {
  readonly end: UpstreamEnd;
  readonly since: number;
}

const sizeOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/**
 * Keeps as many parts of an end as fit into a message. The choice differs from end to end, so that no
 * caller can choose it, and a part that ends upstreams is told sooner or later.
 */
export function fitIntoMessage(end: UpstreamEnd): UpstreamEnd {
  const { key, runs } = end;
  const size = sizeOf(end);
  if (size <= MAX_MESSAGE_BYTES) return end;
  const ranked = runs
    .flatMap(({ parts, ageMs }) =>
      parts.map((part) => ({ part, ageMs, rank: hash32(`${key} ${part}`) })),
    )
    .sort((a, b) => a.rank - b.rank);
  const partsByAge = new Map<number, string[]>();
  let left = MAX_MESSAGE_BYTES - sizeOf({ key, runs: [] });
  for (const { part, ageMs } of ranked) {
    const run = partsByAge.get(ageMs);
    left -= sizeOf(part) + 1 + (run === undefined ? sizeOf({ parts: [], ageMs }) : 0);
    if (left < 0) break;
    if (run === undefined) partsByAge.set(ageMs, [part]);
    else run.push(part);
  }
  return { key, runs: [...partsByAge].map(([ageMs, parts]): EndedRun => ({ parts, ageMs })) };
}

/** Creates the notices of one node. */
export function createEndNotices(send: (notice: EndNotice) => void): EndNotices {
  let sentAt: number[] = [];
  let waiting: WaitingEnd[] = [];
  let timer: NodeJS.Timeout | undefined;

  const takeMessage = (): readonly UpstreamEnd[] => {
    const now = monotonicMs();
    const ends: UpstreamEnd[] = [];
    let size = 0;
    for (const { end, since } of waiting) {
      const runs = end.runs.map(({ parts, ageMs }) => ({ parts, ageMs: ageMs + now - since }));
      const fitting = fitIntoMessage({ ...end, runs });
      size += sizeOf(fitting);
      if (ends.length > 0 && size > MAX_MESSAGE_BYTES) break;
      ends.push(fitting);
    }
    waiting = waiting.slice(ends.length);
    return ends;
  };

  const flush = (): void => {
    timer = undefined;
    const now = monotonicMs();
    sentAt = sentAt.filter((at) => now - at < WINDOW_MS);
    while (waiting.length > 0 && sentAt.length < MAX_IN_WINDOW) {
      sentAt.push(now);
      send({ ends: takeMessage() });
    }
    if (waiting.length > 0) timer = setTimeout(flush, WINDOW_MS - (now - (sentAt[0] ?? now)));
  };

  return {
    tell: (end) => {
      waiting.push({ end, since: monotonicMs() });
      if (waiting.length > MAX_WAITING) waiting.shift();
      if (timer === undefined) flush();
    },
  };
}
