import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createEndNotices, fitIntoMessage } from '../src/end-notices.js';
import { toPartIds } from '../src/part-ids.js';
import type { UpstreamEnd } from '../src/part-suspicions.js';
import type { EndNotice } from '../src/quarantine-notices.js';
import { countLateEnds, createFleet, DEADLY, DEADLY_REQUEST } from './support/crash-fleet.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const MESSAGE_BYTES = 60_000;

let partCount = 0;
const createParts = (count: number, length = 8): string[] =>
  Array.from({ length: count }, () => {
    partCount += 1;
    return partCount.toString(16).padStart(length, '0');
  });

/** Heads of 16,384 bytes hold up to about 1,600 short parts, or 150 of 100 characters. */
const prompts = [
  { before: 0, behind: 0, length: 8 },
  { before: 31, behind: 0, length: 8 },
  { before: 32, behind: 0, length: 8 },
  { before: 40, behind: 40, length: 8 },
  { before: 1_500, behind: 0, length: 8 },
  { before: 150, behind: 0, length: 100 },
];

// Guards against a deadly part that is never blamed because of what stands before it in the prompt.
test.each(prompts)(
  'a deadly part is found behind $before parts and before $behind of $length characters',
  async ({ before, behind, length }) => {
    const fleet = createFleet(6, 12);
    for (let round = 0; round < 16; round += 1) {
      const deadly = DEADLY.padEnd(length, '-');
      const parts = [...createParts(before, length), deadly, ...createParts(behind, length)];
      fleet.serve(fleet.nodes[round % 6] ?? expect.fail(), (round * 5) % 8, parts);
      fleet.serve(fleet.nodes[(round + 1) % 6] ?? expect.fail(), 1, createParts(before + behind));
      await vi.advanceTimersByTimeAsync(2_000);
    }
    expect(fleet.ends.deadly).toBe(3);
    expect(fleet.refusedSound).toEqual([]);
  },
);

// Guards against refusing sound requests because one that is repeated shares more parts with them than a quarantine holds.
test.each([1, 15, 16, 40])('a repeated request with %d parts is refused alone', async (count) => {
  const fleet = createFleet(6, 12);
  const parts = createParts(count);
  for (let round = 0; round < 6; round += 1) {
    const node = fleet.nodes[round % 6] ?? expect.fail();
    fleet.serve(node, (round * 5) % 8, parts, DEADLY_REQUEST);
    await vi.advanceTimersByTimeAsync(2_000);
  }
  fleet.serve(fleet.nodes[0] ?? expect.fail(), 1, parts);
  expect(fleet.refusedSound).toEqual([]);
  expect(fleet.ends.deadly).toBe(3);
});

// Guards against harmless parts, of which callers can send any number, that displace the deadly one.
test('a deadly part is found among engines that run sixty requests of a hundred parts each', async () => {
  const fleet = createFleet(6, 12);
  for (let round = 0; round < 10; round += 1) {
    const engine = (round * 5) % 8;
    for (let index = 0; index < 60; index += 1) {
      fleet.serve(fleet.nodes[index % 6] ?? expect.fail(), engine, createParts(100));
    }
    await vi.advanceTimersByTimeAsync(100);
    fleet.serve(fleet.nodes[round % 6] ?? expect.fail(), engine, ['guide', DEADLY]);
    await vi.advanceTimersByTimeAsync(4_000);
  }
  expect(countLateEnds(fleet)).toBeLessThanOrEqual(3);
  expect(fleet.ends.deadly).toBeLessThanOrEqual(8);
});

test('parts keep their ids up to 16 characters, and longer ones get a short id of their own', () => {
  const [short, long, other] = toPartIds(['0123456789abcdef', 'x'.repeat(200), 'x'.repeat(201)]);
  expect(short).toBe('0123456789abcdef');
  expect(long).toMatch(/^#[0-9a-f]{16}$/);
  expect(other).not.toBe(long);
  expect(toPartIds(['a', '', 'a', 'b'])).toEqual(['a', 'b']);
});

// Guards against nodes that never hear of the sixth upstream that ends within a second.
test('ends beyond the allowance are told later, with the age that the runs had', () => {
  const sent: EndNotice[] = [];
  const notices = createEndNotices((notice) => sent.push(notice));
  const keys = Array.from({ length: 12 }, (_, index) => `engine-${index}`);
  for (const key of keys) notices.tell({ key, runs: [{ parts: ['guide'], ageMs: 40 }] });
  expect(sent).toHaveLength(5);
  vi.advanceTimersByTime(1_000);
  expect(sent).toHaveLength(6);
  expect(sent.flatMap(({ ends }) => ends.map(({ key }) => key))).toEqual(keys);
  expect(sent[0]?.ends[0]?.runs[0]?.ageMs).toBe(40);
  expect(sent[5]?.ends[0]?.runs[0]?.ageMs).toBe(1_040);
});

// Guards against callers who choose by the order or number of parts what nodes tell each other.
test('of an end that fits no message each part is told sooner or later', () => {
  const parts = createParts(12_000);
  const told = new Set<string>();
  for (let index = 0; index < 40; index += 1) {
    const end: UpstreamEnd = { key: `engine-${index}`, runs: [{ parts, ageMs: 40 }] };
    const fitting = fitIntoMessage(end);
    expect(Buffer.byteLength(JSON.stringify({ ends: [fitting] }))).toBeLessThan(MESSAGE_BYTES);
    for (const part of fitting.runs.flatMap((run) => run.parts)) told.add(part);
  }
  expect(told.size).toBe(parts.length);
});

// Guards against a restarted node that hears of the latest quarantines only.
test('reports name all quarantines in turn', async () => {
  const fleet = createFleet(1, 12);
  const [{ protection }] = [fleet.nodes[0] ?? expect.fail()];
  const keys = ['a', 'b', 'c'];
  for (let index = 0; index < 200; index += 1) {
    for (const key of keys) {
      const runs = [{ parts: [`part-${index}`], ageMs: 10 }];
      protection.receive({ ends: [{ key: `${key}-${index}`, runs }] });
      await vi.advanceTimersByTimeAsync(50);
    }
  }
  const reported = new Set<string>();
  for (let round = 0; round < 20; round += 1) {
    const report = protection.report();
    expect(JSON.stringify(report).length).toBeLessThan(10_000);
    for (const part of report.flatMap(({ parts }) => parts)) reported.add(part);
  }
  expect(reported.size).toBe(200);
});
