/** Implements the engine port of a node on top of the in-memory engines. */
import { createError, toError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { classifyStatus } from '@hibiscusbank/engines';
import type {
  DecodeCall,
  EngineHold,
  EngineLoad,
  EnginePort,
  PrefillCall,
  TokenEvent,
} from '@hibiscusbank/engines';
import { addReader } from '@hibiscusbank/standins';
import type { EngineCore, Stream } from '@hibiscusbank/standins';
import { err, ok } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import { callBackEnd } from './calls.js';
import type { BackEndAccess } from './calls.js';
import type { FakeEngine, FakeEngines } from './fake-engines.js';
import { runOutsideProcesses } from './process.js';

const CONTROL_TIMEOUT_MS = 1_500;

/** Receives each prefill sent to a reachable engine and each decode that an engine has started. */
export interface EngineObserver {
  onPrefill(engine: FakeEngine, call: PrefillCall): void;
  onDecode(engine: FakeEngine, call: DecodeCall): void;
}

interface EngineRefusal {
  readonly status: number;
  readonly notRun: boolean;
  readonly cold?: boolean;
}

function createRefusalError(refusal: EngineRefusal, address: string): RouterError {
  return classifyStatus(
    refusal.status,
    {
      ...(refusal.notRun ? { 'x-not-run': '1' } : {}),
      ...(refusal.cold ? { 'x-cold-start': '1' } : {}),
    },
    address,
  );
}

const EVENT_PATTERN = /id: (\d+)\ndata: (.+)\n\n/g;

function parseEvents(text: string): TokenEvent[] {
  return [...text.matchAll(EVENT_PATTERN)].map(([, id, data]) => {
    const body = JSON.parse(data ?? '{}') as { text: string; finish_reason?: 'stop' | 'length' };
    const event = { index: Number(id), text: body.text };
    return body.finish_reason === undefined
      ? event
      : { ...event, finishReason: body.finish_reason };
  });
}

const createClosedError = (address: string): RouterError =>
  createError('upstream_failed', `${address} closed the connection`, { effect: 'unknown' });

interface StreamSubscription {
  readonly access: BackEndAccess;
  readonly engine: FakeEngine;
  readonly signal: AbortSignal;
  readonly onTokens: (tokens: readonly TokenEvent[]) => void;
}

/** Reads a token stream to its end; a network partition between the node and the engine closes the stream. */
function followStream(
  subscription: StreamSubscription,
  stream: Stream,
): Promise<Result<void, RouterError>> {
  const { access, engine, signal } = subscription;
  const { address, dataCentre } = engine.entry;
  return new Promise((resolve) => {
    let isClosed = false;
    const close = (result: Result<void, RouterError>): void => {
      isClosed = true;
      access.nodeProcess.run(() => resolve(result));
    };
    const deliver = (text: string): void => {
      try {
        subscription.onTokens(parseEvents(text));
      } catch (thrown) {
        isClosed = true;
        resolve(
          err(createError('upstream_failed', toError(thrown).message, { effect: 'unknown' })),
        );
      }
    };
    const reader = {
      write: (text: string): void => {
        if (isClosed || signal.aborted) return;
        if (access.faults.isPartitioned(access.dataCentre, dataCentre))
          close(err(createClosedError(address)));
        else access.nodeProcess.run(() => deliver(text));
      },
      end: () => close(ok(undefined)),
      disconnect: () => close(err(createClosedError(address))),
    };
    signal.addEventListener('abort', () => stream.readers.delete(reader));
    runOutsideProcesses(() => addReader(stream, reader, -1));
  });
}

type Perform<T> = (engine: FakeEngine, core: EngineCore) => Promise<Result<T, RouterError>>;

/** Performs a call on an engine; fails with effect `unknown` when the engine stops before it responds. */
async function performOn<T>(
  engine: FakeEngine | undefined,
  address: string,
  perform: Perform<T>,
): Promise<Result<T, RouterError>> {
  if (engine === undefined || !engine.isUp || engine.refusing) {
    const message = `${address} refuses connections`;
    return err(createError('upstream_failed', message, { effect: 'not_run' }));
  }
  const { core } = engine;
  await core.gate.whenOpen();
  const result = await perform(engine, core);
  await core.gate.whenOpen();
  return engine.isUp && engine.core === core ? result : err(createClosedError(address));
}

/** Performs a call on a control path, with a separate timeout as in the HTTP adapter. */
function callControl<T>(
  access: BackEndAccess,
  engine: FakeEngine | undefined,
  address: string,
  read: (core: EngineCore) => Result<T, RouterError>,
): ResultAsync<T, RouterError> {
  const timeout = new AbortController();
  const timer = runOutsideProcesses(() => setTimeout(() => timeout.abort(), CONTROL_TIMEOUT_MS));
  return callBackEnd(access, engine?.entry, timeout.signal, async () => {
    const result = await performOn(engine, address, async (_, core) => read(core));
    clearTimeout(timer);
    return result;
  });
}

/** Creates the engine port of one node process. */
export function createEnginePort(
  engines: FakeEngines,
  access: BackEndAccess,
  observer: EngineObserver,
): EnginePort {
  const call = <T>(address: string, signal: AbortSignal, perform: Perform<T>) => {
    const engine = engines.find(address);
    return callBackEnd(access, engine?.entry, signal, () => performOn(engine, address, perform));
  };
  const control = <T>(address: string, read: (core: EngineCore) => T) =>
    callControl(access, engines.find(address), address, (core) => ok(read(core)));

  return {
    prefill: (prefill) =>
      call(prefill.address, prefill.signal, async (engine, core) => {
        observer.onPrefill(engine, prefill);
        const outcome = await core.prefill(prefill);
        return 'status' in outcome
          ? err(createRefusalError(outcome, prefill.address))
          : ok(outcome);
      }),
    decode: (decode) =>
      call(decode.address, decode.signal, async (engine, core) => {
        const { kv, signal, onTokens } = decode;
        const started = await core.decode({ ...decode, kvId: kv.kvId, kvSource: kv.address });
        await core.gate.whenOpen();
        if ('status' in started) return err(createRefusalError(started, decode.address));
        observer.onDecode(engine, decode);
        return followStream({ access, engine, signal, onTokens }, started);
      }),
    resume: (resume) =>
      call(resume.address, resume.signal, async (engine, core) => {
        const stream = core.findStream(resume.requestId);
        if (stream === undefined) {
          return err(createError('not_found', 'no such stream', { effect: 'unknown' }));
        }
        await access.nodeProcess.whenRunning();
        const { organisation, attempt } = stream;
        const refusal = access.nodeProcess.runImmediately(() =>
          resume.onOwner({ organisation, attempt }),
        );
        if (refusal !== undefined) return err(refusal);
        const { signal, onTokens } = resume;
        return followStream({ access, engine, signal, onTokens }, stream);
      }),
    cancel: (address, ref) => control(address, (core) => core.cancel(ref.requestId, ref.attempt)),
    listHolds: (address) => control(address, (core) => core.holds() as unknown as EngineHold[]),
    readLoad: (address) => control(address, (core) => core.readLoad() as EngineLoad),
    readCacheEvents: (address, after) => control(address, (core) => core.cache.readEvents(after)),
    order: (address, order) =>
      callControl(access, engines.find(address), address, (core) =>
        core.orders.apply(order)
          ? ok(undefined)
          : err(createError('stale_epoch', `${address} has seen a newer epoch`)),
      ),
  };
}
