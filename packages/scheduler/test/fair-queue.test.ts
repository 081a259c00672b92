import { expect, test } from 'vitest';
import { createFairQueue } from '../src/fair-queue.js';
import type { Queueable } from '../src/fair-queue.js';

interface Entry extends Queueable {
  readonly name: string;
}

const entry = (organisation: string, extra: Partial<Entry> = {}): Entry => ({
  name: organisation,
  organisation,
  urgency: 'urgent',
  cost: 100,
  arrivedAt: 0,
  patienceMs: 10_000,
  lateAt: Infinity,
  ...extra,
});

function serveAll(queue: ReturnType<typeof createFairQueue<Entry>>, now = 0): string[] {
  const served: string[] = [];
  for (let next = queue.pick(now); next !== undefined; next = queue.pick(now)) {
    queue.serve(next);
    served.push(next.name);
  }
  return served;
}

// Guards against heavy senders that displace others.
test('an organisation with ten times the requests takes turns with the others', () => {
  const queue = createFairQueue<Entry>();
  for (let i = 0; i < 30; i += 1) queue.add(entry('heavy'));
  for (let i = 0; i < 3; i += 1) queue.add(entry('light'));
  expect(
    serveAll(queue)
      .slice(0, 6)
      .filter((name) => name === 'light'),
  ).toHaveLength(3);
});

// Guards against turns that are counted by request instead of by cost.
test('an organisation with prompts of ten times the cost gets a tenth of the turns', () => {
  const queue = createFairQueue<Entry>();
  for (let i = 0; i < 5; i += 1) queue.add(entry('long', { cost: 1_000 }));
  for (let i = 0; i < 30; i += 1) queue.add(entry('short'));
  expect(
    serveAll(queue)
      .slice(0, 22)
      .filter((name) => name === 'long'),
  ).toHaveLength(2);
});

// Guards against patient work that delays urgent work, and against starving patient work.
test('urgent work goes first until patient work has waited half its patience', () => {
  const queue = createFairQueue<Entry>();
  queue.add(entry('patient', { urgency: 'patient', patienceMs: 1_000 }));
  queue.add(entry('urgent'));
  expect(queue.pick(400)?.name).toBe('urgent');
  expect(queue.pick(600)?.name).toBe('patient');
});

// Guards against aged backlogs of a heavy sender that displace urgent work of others.
test('aged work of an organisation over its share does not pass urgent work', () => {
  const queue = createFairQueue<Entry>();
  for (let i = 0; i < 4; i += 1) queue.add(entry('heavy', { urgency: 'patient' }));
  queue.serve(queue.pick(0)!);
  queue.add(entry('urgent'));
  expect(queue.pick(9_000)?.name).toBe('urgent');
});

// Guards against organisations that pay for requests that were never served.
test('a request that leaves the queue unserved costs its organisation nothing', () => {
  const queue = createFairQueue<Entry>();
  const left = entry('a', { cost: 10_000 });
  queue.add(left);
  queue.remove(left);
  queue.add(entry('b'));
  queue.serve(queue.pick(0)!);
  queue.add(entry('a'));
  queue.add(entry('b'));
  expect(queue.pick(0)?.name).toBe('a');
});

// Guards against estimates that make light organisations pay for the queue of heavy ones.
test('only work that would be served before counts as ahead', () => {
  const queue = createFairQueue<Entry>();
  for (let i = 0; i < 50; i += 1) queue.add(entry('heavy'));
  let ahead = 0;
  queue.visitAhead(entry('light'), 0, () => {
    ahead += 1;
  });
  expect(ahead).toBeLessThanOrEqual(1);
  queue.visitAhead(entry('heavy'), 0, () => {
    ahead += 1;
  });
  expect(ahead).toBeGreaterThanOrEqual(50);
});

// Guards against overload in which each request is served just after its first-token target.
test('requests that can still meet their target precede late ones of their organisation', () => {
  const queue = createFairQueue<Entry>();
  queue.add(entry('a', { name: 'late', lateAt: 800 }));
  queue.add(entry('a', { name: 'punctual', lateAt: 1_500 }));
  expect(serveAll(queue, 900)).toEqual(['punctual', 'late']);
});

// Guards against lateness that takes the turn of an organisation away.
test('a late request keeps the turn of its organisation', () => {
  const queue = createFairQueue<Entry>();
  queue.add(entry('a', { name: 'late', lateAt: 800 }));
  queue.add(entry('b', { name: 'b1' }));
  queue.add(entry('b', { name: 'b2' }));
  expect(serveAll(queue, 900).indexOf('late')).toBeLessThan(2);
});

// Guards against estimates of the wait that count late requests and refuse punctual ones for them.
test('late requests of an organisation are not ahead of a new one', () => {
  const queue = createFairQueue<Entry>();
  queue.add(entry('a', { name: 'late', lateAt: 800 }));
  queue.add(entry('a', { name: 'punctual', lateAt: 1_500 }));
  const ahead: string[] = [];
  queue.visitAhead(entry('a', { lateAt: 1_600 }), 900, ({ name }) => ahead.push(name));
  expect(ahead).toEqual(['punctual']);
});
