/** Verifies answers that arrive as one JSON body. */
import { countRemaining, tokenText } from '../engine/answer-text.js';
import type { Expectation } from './plan-request.js';

export interface BodyCheck {
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
): BodyCheck {
  const choice = body.choices?.[0];
  const text = choice?.message?.content ?? choice?.text ?? '';
  const variesLength = choice?.finish_reason === 'stop';
  const plan = { tag: expected.tag, nextIndex: 0 };
  const tokens = countRemaining(plan, expected.maxTokens, variesLength);
  let expectedText = '';
  for (let i = 0; i < tokens; i += 1) expectedText += tokenText(expected.tag, i);
  return text === expectedText
    ? { fault: undefined, tokens }
    : { fault: `answer of ${text.length} characters differs from the expected text`, tokens: 0 };
}

/** Verifies the body of a response. */
export function verifyBody(text: string, expected: Expectation): BodyCheck {
  let body: Record<string, unknown>;
  try {
    body = JSON.parse(text) as Record<string, unknown>;
  } catch {
    return { fault: 'response body is not JSON', tokens: 0 };
  }
  if (expected.kind === 'model') return verifyModel(body, expected);
  const matchesRequest = body.path === expected.path && body.bytes === expected.bytes;
  return {
    fault: matchesRequest ? undefined : `answer to another request, for path ${String(body.path)}`,
    tokens: 0,
  };
}
