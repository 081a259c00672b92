/** Verifies answers in one JSON body. */
import { countRemaining, tokenText } from '../engine/answer-text.js';
import type { Expectation } from './plan-request.js';

export interface BodyVerdict {
  /** Why the answer is wrong, or `undefined`. */
  readonly fault: string | undefined;
  readonly tokens: number;
}

interface WireChoice {
  readonly text?: string;
  readonly message?: { readonly content?: string };
  readonly finish_reason?: string;
}

function verifyModel(
  body: { readonly choices?: readonly WireChoice[] },
  expected: Extract<Expectation, { kind: 'model' }>,
): BodyVerdict {
  const choice = body.choices?.[0];
  const text = choice?.message?.content ?? choice?.text ?? '';
  const stopped = choice?.finish_reason === 'stop';
  const plan = { tag: expected.tag, nextIndex: 0 };
  const tokens = countRemaining(plan, expected.maxTokens, stopped);
  let whole = '';
  for (let i = 0; i < tokens; i += 1) whole += tokenText(expected.tag, i);
  return text === whole
    ? { fault: undefined, tokens }
    : { fault: `answer differs after ${text.length} characters`, tokens: 0 };
}

/** Verifies the text of a body. */
export function verifyBody(text: string, expected: Expectation): BodyVerdict {
  let body: Record<string, unknown>;
  try {
    body = JSON.parse(text) as Record<string, unknown>;
  } catch {
    return { fault: 'the body is not JSON', tokens: 0 };
  }
  if (expected.kind === 'model') return verifyModel(body, expected);
  const isOwn = body.path === expected.path && body.bytes === expected.bytes;
  return { fault: isOwn ? undefined : `answer for ${String(body.path)}`, tokens: 0 };
}
