import { organisationId, requestId } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { createHttpEngine } from '@hibiscusbank/engines';
import type { PrefillResult, TokenEvent } from '@hibiscusbank/engines';
import { computeTag, startEngine, tokenText } from '@hibiscusbank/standins';
import type { EngineOptions, EngineStandin } from '@hibiscusbank/standins';
import type { Result } from 'neverthrow';
import { afterEach, expect, test, vi } from 'vitest';

const FAST_OPTIONS: Partial<EngineOptions> = {
  tokenMs: 1,
  tokenMsPerStream: 0,
  prefillTokensPerMs: 1_000_000,
  linkBytesPerMs: 1e12,
  kvTtlMs: 60_000,
  loadLagMs: 0,
};
const engines = createHttpEngine();
const startedEngines: EngineStandin[] = [];

async function start(options: Partial<EngineOptions> = {}): Promise<EngineStandin> {
  const engine = await startEngine(0, { ...FAST_OPTIONS, ...options });
  startedEngines.push(engine);
  return engine;
}

afterEach(async () => {
  for (const engine of startedEngines.splice(0)) await engine.stop();
});

function readError<T>(result: Result<T, RouterError>): RouterError | undefined {
  return result.isErr() ? result.error : undefined;
}

const neverAborted = new AbortController().signal;

function callBase(id: string, attempt = 1) {
  return {
    requestId: requestId(id),
    attempt,
    organisation: organisationId('tengri'),
    model: 'm',
    priority: 1,
    signal: neverAborted,
  };
}

async function prefill(engine: EngineStandin, id: string, prompt: string): Promise<PrefillResult> {
  const result = await engines.prefill({ ...callBase(id), address: engine.url, prompt });
  if (result.isErr()) throw result.error;
  return result.value;
}

interface DecodeArgs {
  readonly source: EngineStandin;
  readonly engine: EngineStandin;
  readonly id: string;
  readonly kvId: string;
  readonly maxTokens?: number;
  readonly startIndex?: number;
}

async function decode(args: DecodeArgs) {
  const tokens: TokenEvent[] = [];
  const result = await engines.decode({
    ...callBase(args.id),
    address: args.engine.url,
    kv: { address: args.source.url, kvId: args.kvId },
    startIndex: args.startIndex ?? 0,
    maxTokens: args.maxTokens ?? 5,
    onTokens: (batch) => tokens.push(...batch),
  });
  return { result, tokens };
}

test('a decode on another engine returns the deterministic answer to the prompt', async () => {
  const [source, engine] = [await start({ role: 'prefill' }), await start({ role: 'decode' })];
  const { kvId } = await prefill(source, 'r1', 'hello');
  const { result, tokens } = await decode({ source, engine, id: 'r1', kvId });
  expect(result.isOk()).toBe(true);
  const tag = computeTag('hello');
  expect(tokens.map((token) => token.text)).toEqual([0, 1, 2, 3, 4].map((k) => tokenText(tag, k)));
  expect(tokens.at(-1)?.finishReason).toBe('length');
});

test('an engine with all slots in use refuses as not run', async () => {
  const engine = await start({ slots: 0 });
  const { kvId } = await prefill(engine, 'r1', 'hello');
  const { result } = await decode({ source: engine, engine, id: 'r1', kvId });
  expect(readError(result)).toMatchObject({ kind: 'upstream_refused', effect: 'not_run' });
});

test('a second decode of the same attempt is refused, but not as not run', async () => {
  const engine = await start();
  const { kvId } = await prefill(engine, 'r1', 'hello');
  await decode({ source: engine, engine, id: 'r1', kvId });
  const { result } = await decode({ source: engine, engine, id: 'r1', kvId });
  expect(readError(result)?.effect).toBe('unknown');
  expect(engine.readState().decodes).toBe(1);
});

test('a decode without an export on the source is refused as not run', async () => {
  const engine = await start();
  const { result } = await decode({ source: engine, engine, id: 'r1', kvId: 'gone' });
  expect(readError(result)).toMatchObject({ kind: 'upstream_refused', effect: 'not_run' });
  expect(engine.holds()).toEqual([]);
});

test('a finished stream can be resumed after an index and reports its organisation', async () => {
  const engine = await start();
  const { kvId } = await prefill(engine, 'r1', 'hello');
  await decode({ source: engine, engine, id: 'r1', kvId });
  const indexes: number[] = [];
  let owner: string | undefined;
  const resumed = await engines.resume({
    requestId: requestId('r1'),
    attempt: 1,
    address: engine.url,
    lastIndex: 2,
    signal: neverAborted,
    onOwner: ({ organisation }) => {
      owner = organisation;
      return undefined;
    },
    onTokens: (batch) => indexes.push(...batch.map((token) => token.index)),
  });
  expect(resumed.isOk()).toBe(true);
  expect(owner).toBe('tengri');
  expect(indexes).toEqual([3, 4]);
});

test('a crash during a decode breaks the stream and drops all holds', async () => {
  const engine = await start();
  engine.setFaults({ dieAfterTokens: 3 });
  const { kvId } = await prefill(engine, 'r1', 'hello');
  const { result } = await decode({ source: engine, engine, id: 'r1', kvId });
  expect(readError(result)?.effect).toBe('unknown');
  expect(engine.holds()).toEqual([]);
});

test('an order with an older fencing token is rejected only by an engine that checks it', async () => {
  const strict = await start({ checksFencing: true });
  const lax = await start({ checksFencing: false });
  for (const engine of [strict, lax]) {
    await engines.order(engine.url, { epoch: 5, kind: 'role', role: 'decode' });
  }
  const stale = { epoch: 4, kind: 'role', role: 'prefill' } as const;
  expect(readError(await engines.order(strict.url, stale))?.kind).toBe('stale_epoch');
  expect((await engines.order(lax.url, stale)).isOk()).toBe(true);
  expect(strict.readState().role).toBe('decode');
});

test('a stream whose connection broke continues and can be resumed while it runs', async () => {
  const engine = await start();
  engine.setFaults({ cutAfterTokens: 2 });
  const { kvId } = await prefill(engine, 'r1', 'hello');
  const { result, tokens } = await decode({
    source: engine,
    engine,
    id: 'r1',
    kvId,
    maxTokens: 50,
  });
  expect(readError(result)?.effect).toBe('unknown');
  const indexes = tokens.map((token) => token.index);
  const resumed = await engines.resume({
    requestId: requestId('r1'),
    attempt: 1,
    address: engine.url,
    lastIndex: indexes.at(-1) ?? -1,
    signal: neverAborted,
    onOwner: () => undefined,
    onTokens: (batch) => indexes.push(...batch.map((token) => token.index)),
  });
  expect(resumed.isOk()).toBe(true);
  expect(indexes).toEqual(Array.from({ length: 50 }, (_, i) => i));
  expect(engine.readState().decodes).toBe(1);
});

test('an engine refuses connections while the fault is set and accepts them again afterwards', async () => {
  const engine = await start();
  engine.setFaults({ refuse: true });
  expect(readError(await engines.readLoad(engine.url))?.effect).toBe('not_run');
  engine.clearFaults();
  await vi.waitFor(async () => expect((await engines.readLoad(engine.url)).isOk()).toBe(true));
});
