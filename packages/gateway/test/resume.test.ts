import { createError, grantId, poolId, upstreamId } from '@hibiscusbank/core';
import type { EnginePort, ResumeCall, TokenEvent } from '@hibiscusbank/engines';
import type { PoolEntry } from '@hibiscusbank/settings';
import type { Grant, Scheduler } from '@hibiscusbank/scheduler';
import { errAsync, okAsync } from 'neverthrow';
import { expect, test, vi } from 'vitest';
import { parseEventId, serveResumedStream } from '../src/resume-stream.js';
import { createRetryBudget } from '../src/retry-budget.js';
import {
  createAdmitted,
  createFakeConfiguration,
  createFakeEngines,
  createFakeScheduler,
  createFakeWriter,
  createModelContext,
  createOptions,
  emitTokens,
} from './support/fakes.js';

const position = parseEventId('req_0000-1.engine.7.2')._unsafeUnwrap();

const pool = {
  id: poolId('layout-scribe'),
  upstreams: [{ id: upstreamId('engine.7'), address: 'http://e7' }],
} as unknown as PoolEntry;

function createTokens(from: number, to: number, finishes: boolean): TokenEvent[] {
  return Array.from({ length: to - from }, (_, i) => ({
    index: from + i,
    text: `w${from + i} `,
    ...(finishes && from + i === to - 1 ? { finishReason: 'stop' as const } : {}),
  }));
}

function createHarness(
  resume: (call: ResumeCall) => ReturnType<EnginePort['resume']>,
  schedulerOverrides: Partial<Scheduler> = {},
) {
  const fakeEngines = createFakeEngines((call) => {
    emitTokens(call, 8, true);
    return undefined;
  });
  const scheduler = createFakeScheduler();
  const writer = createFakeWriter();
  const options = createOptions({
    engines: { ...fakeEngines.engines, resume },
    scheduler: { ...scheduler.scheduler, ...schedulerOverrides },
    configuration: createFakeConfiguration({ pools: () => new Map([[pool.id, pool]]) }),
  });
  const context = createModelContext(options, createAdmitted(), writer);
  return {
    ...fakeEngines,
    ...scheduler,
    writer,
    serve: () => serveResumedStream(context, createRetryBudget(), position),
  };
}

const owner = { organisation: 'tengri', attempt: 3 };

test('an event id is parsed when its engine id contains dots', () => {
  expect(position).toMatchObject({ engine: 'engine.7', index: 2 });
});

test('an event id in another format is refused', () => {
  expect(parseEventId('42')._unsafeUnwrapErr().kind).toBe('invalid_request');
});

test('the caller gets only the tokens after its last event', async () => {
  const harness = createHarness((call) => {
    call.onOwner(owner);
    call.onTokens(createTokens(0, 6, true));
    return okAsync(undefined);
  });
  await harness.serve();
  expect(harness.writer.text()).toBe('w3 w4 w5 ');
  expect(harness.writer.isFinished()).toBe(true);
});

test('a stream of another organisation is refused and no token is sent', async () => {
  const harness = createHarness((call) => {
    const refused = call.onOwner({ organisation: 'other', attempt: 1 });
    return errAsync(refused ?? createError('internal', 'the owner was accepted'));
  });
  await harness.serve();
  expect(harness.writer.text()).toBe('');
  expect(harness.writer.failures[0]?.error.kind).toBe('forbidden');
  // A cancel call would let one organisation stop the streams of another.
  expect(harness.cancelled).toEqual([]);
});

test('a resumed stream continues on another engine when its engine fails', async () => {
  const harness = createHarness((call) => {
    call.onOwner(owner);
    call.onTokens(createTokens(0, 5, false));
    return errAsync(createError('upstream_failed', 'reset', { effect: 'unknown' }));
  });
  await harness.serve();
  expect(harness.writer.text()).toBe('w3 w4 w5 w6 w7 ');
  expect(harness.decodes[0]).toMatchObject({ startIndex: 5, attempt: 4 });
  expect(harness.prefills[0]?.prompt).toBe('prompt w0 w1 w2 w3 w4 ');
});

test('a stream that the engine no longer has is refused as unknown and not run again', async () => {
  const harness = createHarness(() => errAsync(createError('not_found', 'unknown stream')));
  await harness.serve();
  expect(harness.decodes).toHaveLength(0);
  expect(harness.writer.failures[0]).toMatchObject({
    error: { kind: 'not_found' },
    effect: 'unknown',
  });
});

test('a grant that is adopted after the end of its stream is released', async () => {
  const grant = { id: grantId('grant-7') } as Grant;
  const adoptedGrants: Grant[] = [];
  let completeAdoption = (): void => {};
  const adopt = (): Promise<void> =>
    new Promise((resolve) => {
      completeAdoption = () => {
        adoptedGrants.push(grant);
        resolve();
      };
    });
  const harness = createHarness(
    (call) => {
      call.onOwner(owner);
      call.onTokens(createTokens(0, 6, true));
      return okAsync(undefined);
    },
    { adopt, findGrant: () => adoptedGrants[0] },
  );
  await harness.serve();

  completeAdoption();

  await vi.waitFor(() => {
    expect(harness.released).toMatchObject([{ grant, report: { outcome: 'completed' } }]);
  });
});
