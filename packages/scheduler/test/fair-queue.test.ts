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
  targetExpiresAt: Infinity,
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

// Guards against organisations with many requests that displace others.
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

// Guards against turns that are counted per request instead of by cost.
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

// Guards against patient requests that delay urgent ones, and against their starvation.
test('urgent requests are served first until a patient one has waited half its maximum wait', () => {
  const queue = createFairQueue<Entry>();
  queue.add(entry('patient', { urgency: 'patient', patienceMs: 1_000 }));
  queue.add(entry('urgent'));
  expect(queue.pick(400)?.name).toBe('urgent');
  expect(queue.pick(600)?.name).toBe('patient');
});

// Guards against the aged backlog of one organisation that displaces urgent requests of others.
test('aged requests of an organisation over its share do not precede urgent ones', () => {
  const queue = createFairQueue<Entry>();
  for (let i = 0; i < 4; i += 1) queue.add(entry('heavy', { urgency: 'patient' }));
  queue.serve(queue.pick(0)!);
  queue.add(entry('urgent'));
  expect(queue.pick(9_000)?.name).toBe('urgent');
});

// Guards against organisations that are charged for requests that were never served.
test('a request that is removed unserved costs its organisation nothing', () => {
  const queue = createFairQueue<Entry>();
  const removed = entry('a', { cost: 10_000 });
  queue.add(removed);
  queue.remove(removed);
  queue.add(entry('b'));
  queue.serve(queue.pick(0)!);
  queue.add(entry('a'));
  queue.add(entry('b'));
  expect(queue.pick(0)?.name).toBe('a');
});

// Guards against wait estimates that count the queue of a heavy organisation for a light one.
test('only requests that would be served earlier count as ahead', () => {
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
test('requests that can still meet their target precede those that missed it', () => {
  const queue = createFairQueue<Entry>();
  queue.add(entry('a', { name: 'missed', targetExpiresAt: 800 }));
  queue.add(entry('a', { name: 'on-target', targetExpiresAt: 1_500 }));
  expect(serveAll(queue, 900)).toEqual(['on-target', 'missed']);
});

// Guards against an organisation that loses its turn because its request missed the target.
test('a request that missed its target keeps the turn of its organisation', () => {
  const queue = createFairQueue<Entry>();
  queue.add(entry('a', { name: 'missed', targetExpiresAt: 800 }));
  queue.add(entry('b', { name: 'b1' }));
  queue.add(entry('b', { name: 'b2' }));
  expect(serveAll(queue, 900).indexOf('missed')).toBeLessThan(2);
});

// Guards against wait estimates that count requests that missed their target and so refuse others.
test('requests that missed their target are not ahead of a new one of their organisation', () => {
  const queue = createFairQueue<Entry>();
  queue.add(entry('a', { name: 'missed', targetExpiresAt: 800 }));
  queue.add(entry('a', { name: 'on-target', targetExpiresAt: 1_500 }));
  const ahead: string[] = [];
  queue.visitAhead(entry('a', { targetExpiresAt: 1_600 }), 900, ({ name }) => ahead.push(name));
  expect(ahead).toEqual(['on-target']);
});
