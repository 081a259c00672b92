import { computeTag, planAnswer, tokenText } from '@hibiscusbank/standins';
import { expect, test } from 'vitest';
import { countRemaining } from '../src/engine/answer-text.js';

const generate = (prompt: string, count: number): string => {
  const { tag, nextIndex } = planAnswer(prompt);
  return Array.from({ length: count }, (_, i) => tokenText(tag, nextIndex + i)).join('');
};

test.each(['plain prompt', 'user: [[marked prompt]]\n', ''])(
  'the answer to %j continues with the same tokens on another engine',
  (prompt) => {
    const complete = generate(prompt, 20);
    const firstPart = generate(prompt, 7);
    expect(firstPart + generate(prompt + firstPart, 13)).toBe(complete);
  },
);

test('text outside the marks does not change the answer', () => {
  expect(computeTag('user: [[a]]\n')).toBe(computeTag('[[a]]'));
});

test('a prompt that ends with the answer to another prompt starts a new answer', () => {
  expect(planAnswer(`other${generate('first', 3)}`).nextIndex).toBe(0);
});

test('an answer of varying length ends at the same token after a continuation', () => {
  const plan = { tag: '0000ffff', nextIndex: 0 };
  const totalTokens = countRemaining(plan, 100, true);
  expect(countRemaining({ ...plan, nextIndex: 10 }, 90, true)).toBe(totalTokens - 10);
});
