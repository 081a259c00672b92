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

function tokens(from: number, to: number, finishes: boolean): TokenEvent[] {
  return Array.from({ length: to - from }, (_, i) => ({
    index: from + i,
    text: `w${from + i} `,
    ...(finishes && from + i === to - 1 ? { finishReason: 'stop' as const } : {}),
  }));
}

function arrange(
  resume: (call: ResumeCall) => ReturnType<EnginePort['resume']>,
  changes: Partial<Scheduler> = {},
) {
  const fake = createFakeEngines((call) => {
    emitTokens(call, 8, true);
    return undefined;
  });
  const scheduler = createFakeScheduler();
  const writer = createFakeWriter();
  const options = createOptions({
    engines: { ...fake.engines, resume },
    scheduler: { ...scheduler.scheduler, ...changes },
    configuration: createFakeConfiguration({ pools: () => new Map([[pool.id, pool]]) }),
  });
  const context = createModelContext(options, createAdmitted(), writer);
  return {
    ...fake,
    ...scheduler,
    writer,
    serve: () => serveResumedStream(context, createRetryBudget(), position),
  };
}

const owner = { organisation: 'tengri', attempt: 3 };

test('an engine id with dots is read whole from an event id', () => {
  expect(position).toMatchObject({ engine: 'engine.7', index: 2 });
});

test('an event id that this router did not give out is refused', () => {
  expect(parseEventId('42')._unsafeUnwrapErr().kind).toBe('invalid_request');
});

test('the caller gets only the tokens after its last event', async () => {
  const bench = arrange((call) => {
    call.onOwner(owner);
    call.onTokens(tokens(0, 6, true));
    return okAsync(undefined);
  });
  await bench.serve();
  expect(bench.writer.text()).toBe('w3 w4 w5 ');
  expect(bench.writer.isFinished()).toBe(true);
});

test('a stream of another organisation is refused and gives no token', async () => {
  const bench = arrange((call) => {
    const refused = call.onOwner({ organisation: 'other', attempt: 1 });
    return errAsync(refused ?? createError('internal', 'must not happen'));
  });
  await bench.serve();
  expect(bench.writer.text()).toBe('');
  expect(bench.writer.failures[0]?.error.kind).toBe('forbidden');
  // Cancelling would let one organisation stop the streams of another.
  expect(bench.cancelled).toEqual([]);
});

test('a resumed stream continues on another engine when its engine dies', async () => {
  const bench = arrange((call) => {
    call.onOwner(owner);
    call.onTokens(tokens(0, 5, false));
    return errAsync(createError('upstream_failed', 'reset', { effect: 'unknown' }));
  });
  await bench.serve();
  expect(bench.writer.text()).toBe('w3 w4 w5 w6 w7 ');
  expect(bench.decodes[0]).toMatchObject({ startIndex: 5, attempt: 4 });
  expect(bench.prefills[0]?.prompt).toBe('prompt w0 w1 w2 w3 w4 ');
});

test('a stream that is gone is refused as unknown rather than run again', async () => {
  const bench = arrange(() => errAsync(createError('not_found', 'unknown stream')));
  await bench.serve();
  expect(bench.decodes).toHaveLength(0);
  expect(bench.writer.failures[0]).toMatchObject({
    error: { kind: 'not_found' },
    effect: 'unknown',
  });
});

test('a grant that is adopted after the end of its stream is released', async () => {
  const grant = { id: grantId('grant-7') } as Grant;
  const found: Grant[] = [];
  let adopted = (): void => {};
  const adopt = (): Promise<void> =>
    new Promise((resolve) => {
      adopted = () => {
        found.push(grant);
        resolve();
      };
    });
  const bench = arrange(
    (call) => {
      call.onOwner(owner);
      call.onTokens(tokens(0, 6, true));
      return okAsync(undefined);
    },
    { adopt, findGrant: () => found[0] },
  );
  await bench.serve();

  adopted();

  await vi.waitFor(() => {
    expect(bench.released).toMatchObject([{ grant, report: { outcome: 'completed' } }]);
  });
});
