/**
 * Remembers which requests and prompt parts upstreams answered lately, at this node or at others. Such an answer is
 * the evidence that tells the part that ends upstreams from the sound parts that stand beside it.
 */
import { monotonicMs } from '@hibiscusbank/core';
import { isNonNegative } from './message-values.js';
import { isRequestId } from './request-suspects.js';

/** Time for which an answer counts; in a quiet hour the next request with a part may take as long. */
const RECENT_MS = 60_000;
/**
 * Maximum number of parts that are remembered, and of requests, since callers choose both. Requests are
 * many, and must not displace the parts that they share.
 */
const MAX_PARTS = 10_000;

/** A part that a node knows to have been answered. */
export interface AnsweredPart {
  readonly part: string;
  /** Time since the answer, in milliseconds. */
  readonly ageMs: number;
}

export interface AnsweredParts {
  /** Records whole answers that this node got for the parts of a prompt. */
  record(parts: readonly string[]): void;
  /** Records an answer that another node got. */
  learn(answered: AnsweredPart): void;
  isRecent(part: string): boolean;
  /** Returns recent answers that peers may not know, and assumes that they are told now. */
  takeUntold(parts: Iterable<string>): readonly AnsweredPart[];
}

interface Answer {
  at: number;
  /** When peers learned last that the part had been answered. */
  toldAt: number;
}

/** Whether a value of a message is an answered part. */
export function isAnsweredPart(
  value: unknown,
  isPart: (part: unknown) => boolean,
): value is AnsweredPart {
  const { part, ageMs } = (value ?? {}) as Partial<AnsweredPart>;
  return isPart(part) && isNonNegative(ageMs);
}

/** Creates an empty memory. */
export function createAnsweredParts(): AnsweredParts {
  /** In the order of the last update, so that the oldest are dropped first. */
  const ofParts = new Map<string, Answer>();
  const ofRequests = new Map<string, Answer>();
  const answersWith = (part: string): Map<string, Answer> =>
    isRequestId(part) ? ofRequests : ofParts;

  const update = (part: string, at: number, toldAt: number): void => {
    const answers = answersWith(part);
    const answer = answers.get(part) ?? { at, toldAt };
    answer.at = Math.max(answer.at, at);
    answer.toldAt = Math.max(answer.toldAt, toldAt);
    answers.delete(part);
    answers.set(part, answer);
    const [oldest] = answers.size > MAX_PARTS ? answers.keys() : [];
    if (oldest !== undefined) answers.delete(oldest);
  };

  return {
    record: (parts) => {
      const now = monotonicMs();
      for (const part of parts) update(part, now, -Infinity);
    },
    learn: ({ part, ageMs }) => {
      const at = monotonicMs() - ageMs;
      update(part, at, at);
    },
    isRecent: (part) => monotonicMs() - (answersWith(part).get(part)?.at ?? -Infinity) <= RECENT_MS,
    takeUntold: (parts) => {
      const now = monotonicMs();
      const untold: AnsweredPart[] = [];
      for (const part of new Set(parts)) {
        const answer = answersWith(part).get(part);
        if (answer === undefined || now - answer.at > RECENT_MS) continue;
        // What peers know is renewed long before it is too old to count.
        if (now - answer.toldAt <= RECENT_MS / 2) continue;
        answer.toldAt = now;
        untold.push({ part, ageMs: now - answer.at });
      }
      return untold;
    },
  };
}
