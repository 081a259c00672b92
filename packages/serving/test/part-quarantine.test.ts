import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createPartQuarantine } from '../src/part-quarantine.js';
import type { PartQuarantine } from '../src/part-quarantine.js';
import type { EndedRun } from '../src/part-suspicions.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const MINUTE_MS = 60_000;

interface QuarantineOptions {
  readonly mayTry?: boolean;
  /** Parts that were answered lately. */
  readonly answered?: readonly string[];
}

function createQuarantine({
  mayTry = true,
  answered = [],
}: QuarantineOptions = {}): PartQuarantine {
  return createPartQuarantine({
    mayTry: () => mayTry,
    answered: { isRecent: (part) => answered.includes(part) },
    onChange: () => {},
    telemetry: createTelemetry({}, () => {}),
  });
}

const run = (ageMs: number, ...parts: string[]): EndedRun => ({ parts, ageMs });
/** Returns the parts for which a request is refused, after the reports of all nodes have arrived. */
function blockedPart(quarantine: PartQuarantine, ...parts: string[]): string | undefined {
  vi.advanceTimersByTime(50);
  return quarantine.findBlocked('probe', parts)?.parts.join(' ');
}

/** Ends one engine after the other under a new request with each of the lists of parts. */
function endInTurn(quarantine: PartQuarantine, lists: readonly (readonly string[])[]): void {
  lists.forEach((parts, index) => {
    vi.advanceTimersByTime(1_000);
    quarantine.recordEnd({ key: `engine-${index}`, runs: [run(50, ...parts)] });
  });
  vi.advanceTimersByTime(50);
}

const deadly = ['guide', 'deadly'];

test('a part under which three engines ended in turn is quarantined', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly]);
  expect(blockedPart(quarantine, ...deadly)).toBeUndefined();
  vi.advanceTimersByTime(1_000);
  quarantine.recordEnd({ key: 'third', runs: [run(50, ...deadly)] });
  expect(blockedPart(quarantine, ...deadly)).toBe('deadly');
});

// Guards against blocking an organisation's sound requests, which share its first part.
test('only the part without an answer is quarantined, and other parts are no longer suspected', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  expect(blockedPart(quarantine, 'guide')).toBeUndefined();
  expect(quarantine.isSuspected(['guide'])).toBe(false);
});

// Guards against a node whose own requests share only the first part with the one that ends engines.
test('the first part is not quarantined when its ends are reported before those of the deadly part', () => {
  const quarantine = createQuarantine();
  for (const key of ['a', 'b', 'c']) {
    vi.advanceTimersByTime(1_000);
    quarantine.recordEnd({ key, runs: [run(20, 'guide')] });
    vi.advanceTimersByTime(5);
    quarantine.recordEnd({ key, runs: [run(60, ...deadly)] });
  }
  expect(blockedPart(quarantine, 'guide')).toBeUndefined();
  expect(blockedPart(quarantine, ...deadly)).toBe('guide deadly');
  quarantine.clear(['guide']);
  expect(blockedPart(quarantine, ...deadly)).toBe('deadly');
});

test('a part that an engine answers between the ends is not quarantined', () => {
  const quarantine = createQuarantine();
  endInTurn(quarantine, [['guide'], ['guide']]);
  quarantine.clear(['guide']);
  vi.advanceTimersByTime(1_000);
  quarantine.recordEnd({ key: 'third', runs: [run(50, 'guide')] });
  expect(blockedPart(quarantine, 'guide')).toBeUndefined();
});

// Guards against condemning sound parts when a rack or a data centre loses power.
test('engines that end together count once for the parts that they were running', () => {
  const quarantine = createQuarantine();
  for (const key of ['a', 'b', 'c', 'd']) {
    quarantine.recordEnd({ key, runs: [run(2_000, 'guide'), run(900, 'other')] });
    vi.advanceTimersByTime(20);
  }
  expect(blockedPart(quarantine, 'guide', 'other')).toBeUndefined();
});

test('an end that several nodes report counts once', () => {
  const quarantine = createQuarantine();
  for (const ageMs of [50, 40, 30, 20]) {
    vi.advanceTimersByTime(100);
    quarantine.recordEnd({ key: 'engine-1', runs: [run(ageMs, ...deadly)] });
  }
  expect(blockedPart(quarantine, ...deadly)).toBeUndefined();
});

// Guards against condemning a sound stream that is resumed on one ending engine after the other.
test('a part that was running beside the deadly one is not suspected after the quarantine', () => {
  const quarantine = createQuarantine();
  for (const key of ['a', 'b', 'c']) {
    vi.advanceTimersByTime(1_000);
    quarantine.recordEnd({ key, runs: [run(500, 'sound'), run(40, ...deadly)] });
  }
  expect(blockedPart(quarantine, ...deadly)).toBe('guide deadly');
  expect(quarantine.isSuspected(['sound'])).toBe(false);
  // A late report of another node about the same end does not bring the suspicion back.
  quarantine.recordEnd({ key: 'c', runs: [run(400, 'sound')] });
  expect(quarantine.isSuspected(['sound'])).toBe(false);
});

test('after the quarantine one request at a time tries the part, at one node', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  const elsewhere = createQuarantine({ mayTry: false, answered: ['guide'] });
  for (const node of [quarantine, elsewhere]) endInTurn(node, [deadly, deadly, deadly]);
  vi.advanceTimersByTime(MINUTE_MS);
  expect(elsewhere.findBlocked('one', deadly)?.parts).toEqual(['deadly']);
  expect(quarantine.findBlocked('one', deadly)).toBeUndefined();
  expect(quarantine.findBlocked('one', deadly)).toBeUndefined();
  expect(quarantine.findBlocked('two', deadly)?.parts).toEqual(['deadly']);
});

test('a part that recovered is free after its first answer', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  vi.advanceTimersByTime(MINUTE_MS);
  expect(quarantine.findBlocked('one', deadly)).toBeUndefined();
  expect(quarantine.clear(deadly)).toEqual(['deadly']);
  expect(quarantine.findBlocked('two', deadly)).toBeUndefined();
});

test('a failed try doubles the quarantine', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  vi.advanceTimersByTime(MINUTE_MS);
  quarantine.findBlocked('one', deadly);
  quarantine.recordEnd({ key: 'again', runs: [run(30, ...deadly)] });
  vi.advanceTimersByTime(MINUTE_MS + 1_000);
  expect(quarantine.findBlocked('two', deadly)?.lengthMs).toBe(2 * MINUTE_MS);
});

// Guards against a quarantine that lasts forever because no other upstream ends.
test('a part that no request held at any node for an hour is forgotten', () => {
  const quarantine = createQuarantine({ mayTry: false, answered: ['guide'] });
  const peer = createQuarantine({ mayTry: false, answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  quarantine.list().forEach(peer.adopt);
  vi.advanceTimersByTime(59 * MINUTE_MS);
  expect(blockedPart(quarantine, ...deadly)).toBe('deadly');
  quarantine.list().forEach(peer.adopt);
  for (let minute = 0; minute < 59; minute += 1) {
    vi.advanceTimersByTime(MINUTE_MS);
    expect(peer.list()).toHaveLength(1);
    quarantine.list().forEach(peer.adopt);
    peer.list().forEach(quarantine.adopt);
  }
  vi.advanceTimersByTime(2 * MINUTE_MS);
  expect([quarantine.list(), peer.list()]).toEqual([[], []]);
  expect(blockedPart(quarantine, ...deadly)).toBeUndefined();
});

// Guards against memory that grows with callers who send endless new parts.
test('the number of suspected parts is bounded, and quarantined ones are kept', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  let suspected = 0;
  for (let end = 0; end < 40; end += 1) {
    vi.advanceTimersByTime(1_000);
    const runs = Array.from({ length: 500 }, (_, index) => run(10, `part-${end}-${index}`));
    quarantine.recordEnd({ key: `flood-${end}`, runs });
  }
  for (let end = 0; end < 40; end += 1) {
    for (let index = 0; index < 500; index += 1) {
      if (quarantine.isSuspected([`part-${end}-${index}`])) suspected += 1;
    }
  }
  expect(suspected).toBeLessThanOrEqual(10_000);
  expect(blockedPart(quarantine, ...deadly)).toBe('deadly');
});

// Guards against a restarted node that sends what its peers know to be deadly.
test('a node adopts the quarantine of a peer, unless it has cleared the part since', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  const [known] = quarantine.list();
  if (known === undefined) throw new Error('no part is quarantined');
  const restarted = createQuarantine();
  expect(restarted.adopt(known)).toEqual([]);
  expect(blockedPart(restarted, ...deadly)).toBe('deadly');
  vi.advanceTimersByTime(1_000);
  restarted.clear(deadly);
  expect(restarted.adopt({ ...known, ageMs: known.ageMs + 1_000 })).toEqual(['deadly']);
  expect(blockedPart(restarted, ...deadly)).toBeUndefined();
});

// Guards against refusing the sound requests that share a part with the requests that end engines.
test('of two parts with the same ends only requests that hold both are refused', () => {
  const quarantine = createQuarantine();
  endInTurn(quarantine, [deadly, deadly, deadly]);
  expect(blockedPart(quarantine, 'guide')).toBeUndefined();
  expect(blockedPart(quarantine, 'deadly')).toBeUndefined();
  expect(blockedPart(quarantine, 'subject', ...deadly)).toBe('guide deadly');
});

test('the first end of an engine under one of two parts decides between them', () => {
  const quarantine = createQuarantine();
  endInTurn(quarantine, [deadly, deadly, deadly]);
  vi.advanceTimersByTime(1_000);
  quarantine.recordEnd({ key: 'fourth', runs: [run(50, 'other', 'deadly')] });
  expect(blockedPart(quarantine, 'deadly')).toBe('deadly');
  expect(blockedPart(quarantine, 'guide')).toBeUndefined();
});

// Guards against deciding by runs that had been sent before the quarantine began.
test('an engine that ends with a run from before the quarantine decides nothing', () => {
  const quarantine = createQuarantine();
  endInTurn(quarantine, [deadly, deadly, deadly]);
  vi.advanceTimersByTime(100);
  quarantine.recordEnd({ key: 'fourth', runs: [run(5_000, 'guide')] });
  expect(blockedPart(quarantine, 'guide')).toBeUndefined();
});

test('a peer that knows one of two parts to be sound leaves the other', () => {
  const answered: string[] = [];
  const quarantine = createQuarantine({ answered });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  answered.push('guide');
  quarantine.reviewAnswered();
  expect(blockedPart(quarantine, 'deadly')).toBe('deadly');
  expect(blockedPart(quarantine, 'guide')).toBeUndefined();
});

// Guards against a shared part that turns deadly for servers of another version.
test('a part that was answered lately is quarantined after more ends, and tried after seconds', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [['guide'], ['guide'], ['guide'], ['guide']]);
  expect(blockedPart(quarantine, 'guide')).toBeUndefined();
  vi.advanceTimersByTime(1_000);
  quarantine.recordEnd({ key: 'fifth', runs: [run(50, 'guide')] });
  expect(blockedPart(quarantine, 'guide')).toBe('guide');
  vi.advanceTimersByTime(3_000);
  expect(quarantine.findBlocked('trial', ['guide'])).toBeUndefined();
  quarantine.recordEnd({ key: 'sixth', runs: [run(50, 'guide')] });
  vi.advanceTimersByTime(3_000);
  expect(quarantine.findBlocked('another', ['guide'])?.lengthMs).toBe(MINUTE_MS);
});

// Guards against blaming a part for the end of an engine under another part of the request that tries it.
test('a request with another suspected part is no trial', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  quarantine.recordEnd({ key: 'other', runs: [run(10, 'suspect')] });
  vi.advanceTimersByTime(MINUTE_MS);
  expect(quarantine.findBlocked('one', [...deadly, 'suspect'])?.parts).toEqual(['deadly']);
  expect(quarantine.findBlocked('two', deadly)).toBeUndefined();
});

// Guards against a resumable request whose trial ends a second engine.
test('a trial that broke off is not sent again', () => {
  const quarantine = createQuarantine({ answered: ['guide'] });
  endInTurn(quarantine, [deadly, deadly, deadly]);
  vi.advanceTimersByTime(MINUTE_MS);
  expect(quarantine.findBlocked('one', deadly)).toBeUndefined();
  quarantine.endTrial('one', deadly);
  expect(quarantine.findBlocked('one', deadly)?.parts).toEqual(['deadly']);
});

test('of two deadly parts in one prompt both are found', () => {
  const quarantine = createQuarantine({ mayTry: false, answered: ['guide'] });
  const both = ['guide', 'first', 'second'];
  endInTurn(quarantine, [both, both, both]);
  for (const [index, part] of ['first', 'second', 'second', 'second'].entries()) {
    vi.advanceTimersByTime(1_000);
    quarantine.recordEnd({ key: `single-${index}`, runs: [run(50, 'guide', part)] });
  }
  expect(blockedPart(quarantine, 'first')).toBe('first');
  expect(blockedPart(quarantine, 'second')).toBe('second');
});

// Guards against a report that was under way while an end told two parts apart.
test('a report on both parts does not put off the trial of the one that is left', () => {
  const quarantine = createQuarantine();
  endInTurn(quarantine, [deadly, deadly, deadly]);
  const [both] = quarantine.list();
  vi.advanceTimersByTime(1_000);
  quarantine.recordEnd({ key: 'fourth', runs: [run(50, 'other', 'deadly')] });
  quarantine.adopt(both ?? expect.fail());
  expect(quarantine.findBlocked('one', ['deadly'])?.lengthMs).toBe(3_000);
  vi.advanceTimersByTime(3_000);
  expect(quarantine.findBlocked('two', ['deadly'])).toBeUndefined();
});
