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

const connectionReset = () =>
  createError('upstream_failed', 'connection reset', { effect: 'unknown' });

beforeEach(() => {
  vi.useFakeTimers();
  return () => vi.useRealTimers();
});

function createHarness(decode: DecodeScript, req = createAdmitted()) {
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

test('an answer continues on another engine when the decode engine fails', async () => {
  const harness = createHarness((call) => {
    const isFirst = call.attempt === 1;
    emitTokens(call, isFirst ? 3 : 8, !isFirst);
    return isFirst ? connectionReset() : undefined;
  });
  await harness.serve();
  expect(harness.writer.text()).toBe(WHOLE_ANSWER);
  expect(harness.writer.isFinished()).toBe(true);
  expect(harness.prefills[1]?.prompt).toBe('prompt w0 w1 w2 ');
  expect(harness.decodes[1]).toMatchObject({ startIndex: 3, maxTokens: 5, attempt: 2 });
  expect(harness.placements[1]?.exclude).toEqual([upstreamId('d1')]);
});

test('tokens that arrive after their attempt has failed do not reach the caller', async () => {
  let earlierOnTokens: ((tokens: readonly TokenEvent[]) => void) | undefined;
  const harness = createHarness((call) => {
    if (call.attempt === 1) {
      earlierOnTokens = call.onTokens;
      return connectionReset();
    }
    earlierOnTokens?.([{ index: 0, text: 'late ' }]);
    emitTokens(call, 8, true);
    return undefined;
  });
  await harness.serve();
  expect(harness.writer.text()).toBe(WHOLE_ANSWER);
});

test('tokens that an engine sends again are dropped', async () => {
  const harness = createHarness((call) => {
    emitTokens(call, 4, false);
    call.onTokens([{ index: 1, text: 'again ' }]);
    emitTokens({ ...call, startIndex: 4 }, 8, true);
    return undefined;
  });
  await harness.serve();
  expect(harness.writer.text()).toBe(WHOLE_ANSWER);
});

test('every grant is released and a failed attempt is cancelled on its engines', async () => {
  const harness = createHarness((call) =>
    call.attempt === 1 ? connectionReset() : (emitTokens(call, 8, true), undefined),
  );
  await harness.serve();
  expect(harness.released.map(({ report }) => report.outcome)).toEqual(['failed', 'completed']);
  expect(harness.cancelled).toEqual(['http://p1', 'http://d1']);
});

test('a non-idempotent request is not retried when an engine may have run it', async () => {
  const req = createAdmitted({ route: createRoute({ idempotent: false }) });
  const harness = createHarness(() => connectionReset(), req);
  await harness.serve();
  expect(harness.decodes).toHaveLength(1);
  expect(harness.writer.failures[0]).toMatchObject({ effect: 'unknown' });
});

test('a non-idempotent request is retried when the engine reports that it did not run', async () => {
  const req = createAdmitted({ route: createRoute({ idempotent: false }) });
  const harness = createHarness((call) => {
    if (call.attempt === 1) return createError('upstream_refused', 'full', { effect: 'not_run' });
    emitTokens(call, 8, true);
    return undefined;
  }, req);
  await harness.serve();
  expect(harness.writer.text()).toBe(WHOLE_ANSWER);
});

// Guards against reporting a request as not run after an engine has prefilled its prompt.
test('a request whose prefill ran is not refused as not run', async () => {
  const harness = createHarness(() =>
    createError('upstream_refused', 'full', { effect: 'not_run' }),
  );
  const budget = createRetryBudget();
  while (budget.takeRetry('layout-scribe'));
  await serveModelRequest(harness.context, budget);
  expect(harness.prefills).toHaveLength(1);
  expect(harness.writer.failures[0]).toMatchObject({ effect: 'unknown' });
  expect(harness.refunds).toEqual([harness.context.maxTokens]);
});

test('no retry is made when the retry budget of the pool is used up', async () => {
  const harness = createHarness(() => connectionReset());
  const budget = createRetryBudget();
  while (budget.takeRetry('layout-scribe'));
  await serveModelRequest(harness.context, budget);
  expect(harness.decodes).toHaveLength(1);
});

test('a request whose key is withdrawn while it is queued is not sent', async () => {
  const harness = createHarness(
    () => undefined,
    createAdmitted({ isStillAuthorised: () => false }),
  );
  await harness.serve();
  expect(harness.prefills).toHaveLength(0);
  expect(harness.released[0]?.report.outcome).toBe('unused');
  expect(harness.writer.failures[0]).toMatchObject({
    error: { kind: 'unauthorised' },
    effect: 'not_run',
  });
  expect(harness.refunds).toEqual([harness.charges[0]?.tokens]);
});

test('a grant whose upstream has gone out of service is released unused', async () => {
  const harness = createHarness((call) => {
    emitTokens(call, 8, true);
    return undefined;
  });
  const configuration = createFakeConfiguration({ isUpstreamOutOfService: (id) => id === 'd1' });
  const options = { ...harness.context.options, configuration };
  await serveModelRequest({ ...harness.context, options }, createRetryBudget());
  expect(harness.decodes.map((call) => call.address)).toEqual(['http://d2']);
  expect(harness.released[0]?.report.outcome).toBe('unused');
});

test('the unused part of a charge is refunded', async () => {
  const harness = createHarness((call) => {
    emitTokens(call, 3, true);
    return undefined;
  });
  await harness.serve();
  expect(harness.refunds).toEqual([5]);
});

test('a stalled decode is aborted and continued on another engine', async () => {
  const harness = createHarness((call) => {
    if (call.attempt > 1) {
      emitTokens(call, 8, true);
      return undefined;
    }
    emitTokens(call, 2, false);
    return new Promise((resolve) => {
      call.signal.addEventListener('abort', () => resolve(connectionReset()));
    });
  });
  const served = harness.serve();
  await vi.advanceTimersByTimeAsync(5_000);
  await served;
  expect(harness.writer.text()).toBe(WHOLE_ANSWER);
});

test('a disconnected client cancels the attempt and no further attempt is made', async () => {
  const controller = new AbortController();
  const harness = createHarness(
    (call) => {
      emitTokens(call, 2, false);
      controller.abort();
      return createError('cancelled', 'aborted', { effect: 'unknown' });
    },
    createAdmitted({ signal: controller.signal }),
  );
  await harness.serve();
  expect(harness.decodes).toHaveLength(1);
  expect(harness.released[0]?.report.outcome).toBe('cancelled');
  expect(harness.cancelled).toContain('http://d1');
});
