/**
 * Deterministic answers. Token k is ` <tag>.<k>`, where the tag is the hash of the marked part of
 * the prompt as eight hexadecimal digits. The marked part lies between the first `[[` and the last
 * `]]`; in a prompt without marks it is the whole prompt, except for generated tokens at its end.
 * If a prompt ends with tokens of its own answer, the answer continues after the last of them.
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

/** Returns the tag of a prompt that ends with no generated tokens. */
export function computeTag(prompt: string): string {
  return formatTag(findMarkedPart(prompt) ?? prompt);
}

/** Returns the text of the token with an index. */
export function tokenText(tag: string, index: number): string {
  return ` ${tag}.${index}`;
}

/** Finds the tag of a prompt and the index at which its answer continues. */
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
 * Returns the number of tokens still to generate. With `variesLength`, the tag determines the
 * length of the whole answer: 1 token up to the limit of the whole answer. A continuation therefore
 * ends at the same token.
 */
export function countRemaining(plan: AnswerPlan, maxTokens: number, variesLength: boolean): number {
  if (!variesLength) return maxTokens;
  const wholeCount = 1 + (Number.parseInt(plan.tag, 16) % (plan.nextIndex + maxTokens));
  return Math.max(1, wholeCount - plan.nextIndex);
}
