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
    const whole = generate(prompt, 20);
    const begun = generate(prompt, 7);
    expect(begun + generate(prompt + begun, 13)).toBe(whole);
  },
);

test('text around the marks does not change the answer', () => {
  expect(computeTag('user: [[a]]\n')).toBe(computeTag('[[a]]'));
});

test('a prompt that quotes the answer of another prompt starts its own answer', () => {
  expect(planAnswer(`other${generate('first', 3)}`).nextIndex).toBe(0);
});

test('an answer of varying length ends at the same token after a continuation', () => {
  const plan = { tag: '0000ffff', nextIndex: 0 };
  const whole = countRemaining(plan, 100, true);
  expect(countRemaining({ ...plan, nextIndex: 10 }, 90, true)).toBe(whole - 10);
});
