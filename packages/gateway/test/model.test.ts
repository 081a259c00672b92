import { createError, upstreamId } from '@hibiscusbank/core';
import type { TokenEvent } from '@hibiscusbank/engines';
import { beforeEach, expect, test, vi } from 'vitest';
import { createRetryBudget } from '../src/retry-budget.js';
import { serveModelRequest } from '../src/serve-model.js';
import {
  createAdmitted,
  createFakeConfiguration,
  createFakeEngines,
  createFakeQuota,
  createFakeScheduler,
  createFakeWriter,
  createModelContext,
  createOptions,
  createRoute,
  emitTokens,
} from './support/fakes.js';
import type { DecodeScript } from './support/fakes.js';

const WHOLE_ANSWER = 'w0 w1 w2 w3 w4 w5 w6 w7 ';

const broken = () => createError('upstream_failed', 'connection reset', { effect: 'unknown' });

beforeEach(() => {
  vi.useFakeTimers();
  return () => vi.useRealTimers();
});

function arrange(decode: DecodeScript, req = createAdmitted()) {
  const engines = createFakeEngines(decode);
  const scheduler = createFakeScheduler();
  const quota = createFakeQuota();
  const writer = createFakeWriter();
  const options = createOptions({
    engines: engines.engines,
    scheduler: scheduler.scheduler,
    quota: quota.quota,
  });
  const context = createModelContext(options, req, writer);
  const serve = () => serveModelRequest(context, createRetryBudget());
  return { ...engines, ...scheduler, ...quota, writer, context, serve };
}

test('an answer continues on another engine when the decode engine dies', async () => {
  const bench = arrange((call) => {
    const isFirst = call.attempt === 1;
    emitTokens(call, isFirst ? 3 : 8, !isFirst);
    return isFirst ? broken() : undefined;
  });
  await bench.serve();
  expect(bench.writer.text()).toBe(WHOLE_ANSWER);
  expect(bench.writer.isFinished()).toBe(true);
  expect(bench.prefills[1]?.prompt).toBe('prompt w0 w1 w2 ');
  expect(bench.decodes[1]).toMatchObject({ startIndex: 3, maxTokens: 5, attempt: 2 });
  expect(bench.placements[1]?.exclude).toEqual([upstreamId('d1')]);
});

test('tokens of an attempt that was given up never reach the caller', async () => {
  let late: ((tokens: readonly TokenEvent[]) => void) | undefined;
  const bench = arrange((call) => {
    if (call.attempt === 1) {
      late = call.onTokens;
      return broken();
    }
    late?.([{ index: 0, text: 'late ' }]);
    emitTokens(call, 8, true);
    return undefined;
  });
  await bench.serve();
  expect(bench.writer.text()).toBe(WHOLE_ANSWER);
});

test('repeated tokens of a crossed answer are dropped', async () => {
  const bench = arrange((call) => {
    emitTokens(call, 4, false);
    call.onTokens([{ index: 1, text: 'again ' }]);
    emitTokens({ ...call, startIndex: 4 }, 8, true);
    return undefined;
  });
  await bench.serve();
  expect(bench.writer.text()).toBe(WHOLE_ANSWER);
});

test('every grant is released and the engines are told to free the attempt', async () => {
  const bench = arrange((call) =>
    call.attempt === 1 ? broken() : (emitTokens(call, 8, true), undefined),
  );
  await bench.serve();
  expect(bench.released.map(({ report }) => report.outcome)).toEqual(['failed', 'completed']);
  expect(bench.cancelled).toEqual(['http://p1', 'http://d1']);
});

test('a non-idempotent request is not sent again after bytes were sent', async () => {
  const req = createAdmitted({ route: createRoute({ idempotent: false }) });
  const bench = arrange(() => broken(), req);
  await bench.serve();
  expect(bench.decodes).toHaveLength(1);
  expect(bench.writer.failures[0]).toMatchObject({ effect: 'unknown' });
});

test('a non-idempotent request is repeated when the engine says that it did not run', async () => {
  const req = createAdmitted({ route: createRoute({ idempotent: false }) });
  const bench = arrange((call) => {
    if (call.attempt === 1) return createError('upstream_refused', 'full', { effect: 'not_run' });
    emitTokens(call, 8, true);
    return undefined;
  }, req);
  await bench.serve();
  expect(bench.writer.text()).toBe(WHOLE_ANSWER);
});

// Guards against a refusal as not run of a request whose prompt an engine has already processed.
test('a request whose prefill ran is not refused as not run', async () => {
  const bench = arrange(() => createError('upstream_refused', 'full', { effect: 'not_run' }));
  const budget = createRetryBudget();
  while (budget.takeRetry('layout-scribe'));
  await serveModelRequest(bench.context, budget);
  expect(bench.prefills).toHaveLength(1);
  expect(bench.writer.failures[0]).toMatchObject({ effect: 'unknown' });
  expect(bench.refunds).toEqual([bench.context.maxTokens]);
});

test('retries end with the budget of the pool', async () => {
  const bench = arrange(() => broken());
  const budget = createRetryBudget();
  while (budget.takeRetry('layout-scribe'));
  await serveModelRequest(bench.context, budget);
  expect(bench.decodes).toHaveLength(1);
});

test('a key withdrawn while the request waits stops it before it is sent', async () => {
  const bench = arrange(() => undefined, createAdmitted({ isAllowed: () => false }));
  await bench.serve();
  expect(bench.prefills).toHaveLength(0);
  expect(bench.released[0]?.report.outcome).toBe('unused');
  expect(bench.writer.failures[0]).toMatchObject({
    error: { kind: 'unauthorised' },
    effect: 'not_run',
  });
  expect(bench.refunds).toEqual([bench.charges[0]?.tokens]);
});

test('a grant on an upstream that has left meanwhile is given back unused', async () => {
  const bench = arrange((call) => {
    emitTokens(call, 8, true);
    return undefined;
  });
  const configuration = createFakeConfiguration({ isUpstreamOut: (id) => id === 'd1' });
  const options = { ...bench.context.options, configuration };
  await serveModelRequest({ ...bench.context, options }, createRetryBudget());
  expect(bench.decodes.map((call) => call.address)).toEqual(['http://d2']);
  expect(bench.released[0]?.report.outcome).toBe('unused');
});

test('the unused part of a charge is refunded', async () => {
  const bench = arrange((call) => {
    emitTokens(call, 3, true);
    return undefined;
  });
  await bench.serve();
  expect(bench.refunds).toEqual([5]);
});

test('a stalled decode is aborted and continued elsewhere', async () => {
  const bench = arrange((call) => {
    if (call.attempt > 1) {
      emitTokens(call, 8, true);
      return undefined;
    }
    emitTokens(call, 2, false);
    return new Promise((resolve) => {
      call.signal.addEventListener('abort', () => resolve(broken()));
    });
  });
  const served = bench.serve();
  await vi.advanceTimersByTimeAsync(5_000);
  await served;
  expect(bench.writer.text()).toBe(WHOLE_ANSWER);
});

test('a caller that leaves cancels the work and no further attempt is made', async () => {
  const controller = new AbortController();
  const bench = arrange(
    (call) => {
      emitTokens(call, 2, false);
      controller.abort();
      return createError('cancelled', 'aborted', { effect: 'unknown' });
    },
    createAdmitted({ signal: controller.signal }),
  );
  await bench.serve();
  expect(bench.decodes).toHaveLength(1);
  expect(bench.released[0]?.report.outcome).toBe('cancelled');
  expect(bench.cancelled).toContain('http://d1');
});
