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
  const heads: number[] = [];
  const res = new Writable({
    write: (chunk, _encoding, done) => {
      chunks.push(String(chunk));
      done();
    },
  }) as unknown as ServerResponse;
  res.writeHead = (status: number) => {
    heads.push(status);
    return res;
  };
  return { res, text: () => chunks.join(''), heads };
}

function answer(text: string): UpstreamAnswer {
  return { status: 200, headers: {}, body: Readable.from([text]) };
}

function arrange(reply: (call: UpstreamCall, count: number) => Reply, route = createRoute()) {
  const calls: UpstreamCall[] = [];
  const scheduler = createFakeScheduler('plain');
  const outgoing = createOutgoing();
  const latencies = createLatencyWindow();
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
      latencies,
      keepsAnswer: false,
    });
  return { ...scheduler, ...outgoing, calls, latencies, serve };
}

const booking = createRoute({ idempotent: false, urgency: 'urgent' });

test('a booking whose connection breaks is not sent again and its outcome is unknown', async () => {
  const bench = arrange(
    async () => createError('upstream_failed', 'reset', { effect: 'unknown' }),
    booking,
  );
  await bench.serve();
  expect(bench.calls).toHaveLength(1);
  expect(bench.heads).toEqual([502]);
  expect(bench.text()).toContain('"outcome":"unknown"');
});

test('a booking refused before it was sent goes to another upstream', async () => {
  const bench = arrange(
    async (_call, count) =>
      count === 1 ? createError('upstream_failed', 'refused', { effect: 'not_run' }) : answer('ok'),
    booking,
  );
  await bench.serve();
  expect(bench.calls.map((call) => call.address)).toEqual(['http://u1', 'http://u2']);
  expect(bench.text()).toBe('ok');
});

test('a slow lookup gets a second attempt and the slower answer is dropped', async () => {
  const slow = new PassThrough();
  const bench = arrange(
    async (call, count) => {
      if (count > 1) return answer('fast');
      return new Promise<UpstreamAnswer | RouterError>((resolve) => {
        call.signal.addEventListener('abort', () => {
          resolve({ status: 200, headers: {}, body: slow });
        });
      });
    },
    createRoute({ urgency: 'urgent' }),
  );
  for (let i = 0; i < 64; i += 1) bench.latencies.record(10);
  const served = bench.serve();
  await vi.advanceTimersByTimeAsync(50);
  await served;
  expect(bench.text()).toBe('fast');
  expect(slow.destroyed).toBe(true);
  expect(bench.released.map(({ report }) => report.outcome).sort()).toEqual([
    'cancelled',
    'completed',
  ]);
});

test('a booking never gets a second attempt', async () => {
  const bench = arrange(
    () =>
      new Promise((resolve) => {
        setTimeout(() => resolve(answer('late')), 1_000);
      }),
    booking,
  );
  for (let i = 0; i < 64; i += 1) bench.latencies.record(10);
  const served = bench.serve();
  await vi.advanceTimersByTimeAsync(2_000);
  await served;
  expect(bench.calls).toHaveLength(1);
  expect(bench.text()).toBe('late');
});

test('no header carries the key, nor do hop-by-hop headers pass', () => {
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
