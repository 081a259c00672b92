/**
 * Deterministic answers. The k-th token is ` <tag>.<k>`, where the tag is the hash of the marked part
 * of the prompt in eight hexadecimal digits. The marked part lies between the first `[[` and the
 * last `]]`; in a prompt without marks it is the whole prompt without generated tokens at its end.
 * A prompt that ends with tokens of its own answer continues after the last of them.
 */
import { hash32 } from '@hibiscusbank/core';

const TAG_DIGITS = 8;
const GENERATED_TAIL = /(?: [0-9a-f]{8}\.\d+)+$/;
const LAST_TOKEN = / ([0-9a-f]{8})\.(\d+)$/;

export interface AnswerPlan {
  readonly tag: string;
  /** Index of the first token to generate. */
  readonly nextIndex: number;
}

function formatTag(text: string): string {
  return hash32(text).toString(16).padStart(TAG_DIGITS, '0');
}

function findMarkedPart(prompt: string): string | undefined {
  const start = prompt.indexOf('[[');
  const end = prompt.lastIndexOf(']]');
  return start === -1 || end < start ? undefined : prompt.slice(start + 2, end);
}

/** The tag of an original prompt. */
export function computeTag(prompt: string): string {
  return formatTag(findMarkedPart(prompt) ?? prompt);
}

/** Text of the token with an index. */
export function tokenText(tag: string, index: number): string {
  return ` ${tag}.${index}`;
}

/** Finds the tag of a prompt and where its answer continues. */
export function planAnswer(prompt: string): AnswerPlan {
  const tail = GENERATED_TAIL.exec(prompt);
  const last = tail === null ? null : LAST_TOKEN.exec(tail[0]);
  if (tail === null || last === null) return { tag: computeTag(prompt), nextIndex: 0 };
  const [, tag = '', index = '0'] = last;
  const first = tail[0].lastIndexOf(tokenText(tag, 0));
  const original = prompt.slice(0, tail.index + Math.max(first, 0));
  if (first === -1 || computeTag(original) !== tag) {
    return { tag: computeTag(prompt), nextIndex: 0 };
  }
  return { tag, nextIndex: Number(index) + 1 };
}

/**
 * Tokens still to generate. With `varies` the whole answer has 1 to `max` tokens by its tag, where
 * `max` is the limit of the whole answer, so that a continuation ends at the same token.
 */
export function countRemaining(plan: AnswerPlan, maxTokens: number, varies: boolean): number {
  if (!varies) return maxTokens;
  const whole = 1 + (Number.parseInt(plan.tag, 16) % (plan.nextIndex + maxTokens));
  return Math.max(1, whole - plan.nextIndex);
}
