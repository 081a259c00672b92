import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createStatedLimits } from '../src/stated-limits.js';
import type { LimitStatement } from '../src/stated-limits.js';
import { createUpstream } from './support/test-node.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const upstream = createUpstream('u1');
const restarted = createUpstream('u1', { startedAt: 2 });
const statement = (change: Partial<LimitStatement> = {}): LimitStatement => ({
  upstream: 'u1',
  startedAt: 1,
  perSecond: 2,
  ageMs: 0,
  ...change,
});

function createLimits() {
  const told: LimitStatement[] = [];
  const limits = createStatedLimits({
    onFirstStatement: (first) => told.push(first),
    telemetry: createTelemetry({ vm: 'node-1' }, () => {}),
  });
  return { limits, told };
}

const now = (): number => performance.now();

test('a limit holds until a response to a later request states none', () => {
  const { limits } = createLimits();
  const sentBefore = now();
  vi.advanceTimersByTime(100);
  limits.record(upstream, 3, now());
  expect(limits.find(upstream)).toBe(3);
  limits.record(upstream, undefined, sentBefore);
  expect(limits.find(upstream)).toBe(3);
  vi.advanceTimersByTime(1);
  limits.record(upstream, undefined, now());
  expect(limits.find(upstream)).toBeUndefined();
});

test('a restarted upstream does not keep the limit of the process before', () => {
  const { limits } = createLimits();
  limits.record(upstream, 3, now());
  expect(limits.find(restarted)).toBeUndefined();
  limits.record(restarted, 5, now());
  expect(limits.find(restarted)).toBe(5);
});

test('peers are told of a limit once, by the node that learns it first', () => {
  const { limits, told } = createLimits();
  limits.record(upstream, 3, now());
  limits.record(upstream, 2, now());
  expect(told).toHaveLength(1);
  const other = createLimits();
  other.limits.applyReport(limits.report());
  other.limits.record(upstream, 2, now());
  expect(other.told).toHaveLength(0);
});

test('an old report of a peer neither reverts a newer limit nor revives a lifted one', () => {
  const { limits } = createLimits();
  vi.advanceTimersByTime(5_000);
  limits.record(upstream, 3, now());
  limits.applyReport([statement({ perSecond: 9, ageMs: 1_000 })]);
  expect(limits.find(upstream)).toBe(3);
  vi.advanceTimersByTime(10);
  limits.record(upstream, undefined, now());
  limits.applyReport([statement({ perSecond: 9, ageMs: 500 })]);
  expect(limits.find(upstream)).toBeUndefined();
});

test('a lifted limit reaches a peer that still knows it', () => {
  const { limits } = createLimits();
  const other = createLimits().limits;
  limits.record(upstream, 3, now());
  other.applyReport(limits.report());
  expect(other.find(upstream)).toBe(3);
  vi.advanceTimersByTime(50);
  limits.record(upstream, undefined, now());
  other.applyReport(limits.report());
  expect(other.find(upstream)).toBeUndefined();
});

test('statements of another form are dropped without an error', () => {
  const { limits } = createLimits();
  for (const invalid of [
    undefined,
    'text',
    [null, 1, {}],
    [statement({ perSecond: -1 })],
    [statement({ perSecond: Infinity })],
    [{ ...statement(), ageMs: 'new' }],
  ]) {
    limits.applyReport(invalid);
  }
  expect(limits.report()).toHaveLength(0);
});

test('limits of upstreams that are gone or have restarted are not kept', () => {
  const { limits } = createLimits();
  limits.record(upstream, 3, now());
  limits.retain([upstream]);
  expect(limits.find(upstream)).toBe(3);
  limits.retain([restarted]);
  expect(limits.report()).toHaveLength(0);
});

test('a limit that changes with each response is logged when it begins and when it ends', () => {
  const lines: string[] = [];
  const limits = createStatedLimits({
    onFirstStatement: () => {},
    telemetry: createTelemetry({ vm: 'node-1' }, (_, fields, text) =>
      lines.push(`${text} ${JSON.stringify(fields)}`),
    ),
  });
  for (let count = 1; count <= 10; count += 1) {
    vi.advanceTimersByTime(1_000);
    limits.record(upstream, count, now());
  }
  vi.advanceTimersByTime(1_000);
  limits.record(upstream, undefined, now());
  expect(lines).toHaveLength(2);
  expect(lines[1]).toContain('"ms":10000');
});
