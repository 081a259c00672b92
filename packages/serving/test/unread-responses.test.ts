import { EventEmitter } from 'node:events';
import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createUnreadResponses } from '../src/memory/index.js';

const MAX_BYTES = 1_000_000;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout'] });
});

afterEach(() => {
  vi.useRealTimers();
});

function createResponse(bytes: number) {
  const emitter = new EventEmitter();
  return Object.assign(emitter, {
    writableLength: bytes,
    writableFinished: false,
    destroyed: false,
    destroy: vi.fn(),
  }) as never as EventEmitter & Parameters<ReturnType<typeof create>['track']>[0];
}

const create = () =>
  createUnreadResponses(
    MAX_BYTES,
    createTelemetry({}, () => {}),
  );

test('the largest responses that callers leave unread are given up when there are too many', () => {
  const responses = create();
  const [small, large] = [createResponse(300_000), createResponse(600_000)];
  responses.track(small);
  responses.track(large);
  vi.advanceTimersByTime(2_000);
  const last = createResponse(500_000);
  responses.track(last);
  expect(large.destroy).toHaveBeenCalledOnce();
  expect(small.destroy).not.toHaveBeenCalled();
  expect(last.destroy).not.toHaveBeenCalled();
});

test('responses that callers are reading are not given up', () => {
  const responses = create();
  const first = createResponse(900_000);
  responses.track(first);
  vi.advanceTimersByTime(1_900);
  responses.track(createResponse(900_000));
  expect(first.destroy).not.toHaveBeenCalled();
  first.emit('finish');
  expect(responses.unreadBytes()).toBe(900_000);
});

test('a response whose connection has closed takes no memory', () => {
  const responses = create();
  responses.track(Object.assign(createResponse(10), { destroyed: true }));
  expect(responses.unreadBytes()).toBe(0);
});

test('a response that is never read does not stay for ever', () => {
  const responses = create();
  const unread = createResponse(10);
  responses.track(unread);
  vi.advanceTimersByTime(30_000);
  expect(unread.destroy).toHaveBeenCalledOnce();
});
