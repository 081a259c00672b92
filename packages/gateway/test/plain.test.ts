import { PassThrough, Readable, Writable } from 'node:stream';
import type { ServerResponse } from 'node:http';
import { createError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import type { UpstreamAnswer, UpstreamCall } from '@hibiscusbank/engines';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { beforeEach, expect, test, vi } from 'vitest';
import { createUpstreamHeaders } from '../src/headers.js';
import { createLatencyWindow } from '../src/latency-window.js';
import { createRetryBudget } from '../src/retry-budget.js';
import { servePlainRequest } from '../src/serve-plain.js';
import {
  createAdmitted,
  createFakeScheduler,
  createIncoming,
  createOptions,
  createRoute,
} from './support/fakes.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] });
  return () => vi.useRealTimers();
});

type Reply = Promise<UpstreamAnswer | RouterError>;

function createOutgoing() {
  const chunks: string[] = [];
  const statuses: number[] = [];
  const res = new Writable({
    write: (chunk, _encoding, done) => {
      chunks.push(String(chunk));
      done();
    },
  }) as unknown as ServerResponse;
  res.writeHead = (status: number) => {
    statuses.push(status);
    return res;
  };
  return { res, text: () => chunks.join(''), statuses };
}

function createAnswer(text: string): UpstreamAnswer {
  return { status: 200, headers: {}, body: Readable.from([text]) };
}

function createHarness(reply: (call: UpstreamCall, count: number) => Reply, route = createRoute()) {
  const calls: UpstreamCall[] = [];
  const scheduler = createFakeScheduler('plain');
  const outgoing = createOutgoing();
  const latencyWindow = createLatencyWindow();
  const options = createOptions({
    scheduler: scheduler.scheduler,
    upstreams: {
      send: (call) => {
        calls.push(call);
        return new ResultAsync(
          reply(call, calls.length).then((result) =>
            result instanceof Error ? errAsync(result) : okAsync(result),
          ),
        );
      },
    },
  });
  const serve = () =>
    servePlainRequest({
      options,
      req: createAdmitted({ route }),
      incoming: createIncoming('POST', '/bookings'),
      body: Buffer.from('{}'),
      outgoing: outgoing.res,
      budget: createRetryBudget(),
      latencyWindow,
      storesAnswer: false,
    });
  return { ...scheduler, ...outgoing, calls, latencyWindow, serve };
}

const nonIdempotentRoute = createRoute({ idempotent: false, urgency: 'urgent' });

test('a non-idempotent request is not retried after a connection failure; its outcome is unknown', async () => {
  const harness = createHarness(
    async () => createError('upstream_failed', 'reset', { effect: 'unknown' }),
    nonIdempotentRoute,
  );
  await harness.serve();
  expect(harness.calls).toHaveLength(1);
  expect(harness.statuses).toEqual([502]);
  expect(harness.text()).toContain('"outcome":"unknown"');
});

test('a non-idempotent request that was not sent is retried on another upstream', async () => {
  const harness = createHarness(
    async (_call, count) =>
      count === 1
        ? createError('upstream_failed', 'refused', { effect: 'not_run' })
        : createAnswer('ok'),
    nonIdempotentRoute,
  );
  await harness.serve();
  expect(harness.calls.map((call) => call.address)).toEqual(['http://u1', 'http://u2']);
  expect(harness.text()).toBe('ok');
});

test('a slow idempotent request gets a second attempt and the slower answer is discarded', async () => {
  const slowBody = new PassThrough();
  const harness = createHarness(
    async (call, count) => {
      if (count > 1) return createAnswer('fast');
      return new Promise<UpstreamAnswer | RouterError>((resolve) => {
        call.signal.addEventListener('abort', () => {
          resolve({ status: 200, headers: {}, body: slowBody });
        });
      });
    },
    createRoute({ urgency: 'urgent' }),
  );
  for (let i = 0; i < 64; i += 1) harness.latencyWindow.record(10);
  const served = harness.serve();
  await vi.advanceTimersByTimeAsync(50);
  await served;
  expect(harness.text()).toBe('fast');
  expect(slowBody.destroyed).toBe(true);
  expect(harness.released.map(({ report }) => report.outcome).sort()).toEqual([
    'cancelled',
    'completed',
  ]);
});

// The refusal of the second attempt hid that the first one may have run.
test('when both hedged attempts fail and one may have run, the outcome is unknown', async () => {
  const harness = createHarness(
    (_call, count) =>
      new Promise((resolve) => {
        const effect = count === 1 ? 'unknown' : 'not_run';
        const error = createError('upstream_failed', 'reset', { effect });
        setTimeout(() => resolve(error), count === 1 ? 30 : 60);
      }),
    createRoute({ urgency: 'urgent', timeLimitMs: 120 }),
  );
  for (let i = 0; i < 64; i += 1) harness.latencyWindow.record(10);
  const served = harness.serve();
  await vi.advanceTimersByTimeAsync(5_000);
  await served;
  expect(harness.text()).toContain('"outcome":"unknown"');
});

test('a non-idempotent request never gets a hedged second attempt', async () => {
  const harness = createHarness(
    () =>
      new Promise((resolve) => {
        setTimeout(() => resolve(createAnswer('late')), 1_000);
      }),
    nonIdempotentRoute,
  );
  for (let i = 0; i < 64; i += 1) harness.latencyWindow.record(10);
  const served = harness.serve();
  await vi.advanceTimersByTimeAsync(2_000);
  await served;
  expect(harness.calls).toHaveLength(1);
  expect(harness.text()).toBe('late');
});

test('upstream headers contain neither the key nor hop-by-hop headers', () => {
  const headers = createUpstreamHeaders(
    {
      authorization: 'Bearer sk-secret',
      'x-api-key': 'sk-secret',
      connection: 'close, x-trace',
      'x-trace': '1',
      'x-hibiscusbank-organisation': 'somebody-else',
      accept: 'application/json',
    },
    createAdmitted(),
    2,
  );
  expect(headers).toEqual({
    accept: 'application/json',
    'x-request-id': 'req_0000-1',
    'x-hibiscusbank-attempt': '2',
    'x-hibiscusbank-organisation': 'tengri',
  });
});
