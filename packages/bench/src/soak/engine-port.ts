/** The engine port of a node to the engines in memory. */
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
import { runOutside } from './process.js';

const CONTROL_TIMEOUT_MS = 1_500;

/** Reports each call that an engine accepted to run. */
export interface EngineObserver {
  onPrefill(engine: FakeEngine, call: PrefillCall): void;
  onDecode(engine: FakeEngine, call: DecodeCall): void;
}

interface Refused {
  readonly status: number;
  readonly notRun: boolean;
  readonly cold?: boolean;
}

function refuse(refusal: Refused, address: string): RouterError {
  return classifyStatus(
    refusal.status,
    {
      ...(refusal.notRun ? { 'x-not-run': '1' } : {}),
      ...(refusal.cold ? { 'x-cold-start': '1' } : {}),
    },
    address,
  );
}

const EVENT = /id: (\d+)\ndata: (.+)\n\n/g;

function parseEvents(text: string): TokenEvent[] {
  return [...text.matchAll(EVENT)].map(([, id, data]) => {
    const body = JSON.parse(data ?? '{}') as { text: string; finish_reason?: 'stop' | 'length' };
    const event = { index: Number(id), text: body.text };
    return body.finish_reason === undefined
      ? event
      : { ...event, finishReason: body.finish_reason };
  });
}

const lost = (address: string): RouterError =>
  createError('upstream_failed', `${address} closed the connection`, { effect: 'unknown' });

interface Reading {
  readonly access: BackEndAccess;
  readonly engine: FakeEngine;
  readonly signal: AbortSignal;
  readonly onTokens: (tokens: readonly TokenEvent[]) => void;
}

/** Reads a stream to its end; tokens reach the node only while the network lets them pass. */
function readStream(reading: Reading, stream: Stream): Promise<Result<void, RouterError>> {
  const { access, engine, signal } = reading;
  const { address, dataCentre } = engine.entry;
  return new Promise((resolve) => {
    let isOver = false;
    const close = (result: Result<void, RouterError>): void => {
      isOver = true;
      access.owner.run(() => resolve(result));
    };
    const deliver = (text: string): void => {
      try {
        reading.onTokens(parseEvents(text));
      } catch (thrown) {
        isOver = true;
        resolve(
          err(createError('upstream_failed', toError(thrown).message, { effect: 'unknown' })),
        );
      }
    };
    const reader = {
      write: (text: string): void => {
        if (isOver || signal.aborted) return;
        if (access.faults.isCut(access.dataCentre, dataCentre)) close(err(lost(address)));
        else access.owner.run(() => deliver(text));
      },
      end: () => close(ok(undefined)),
      cut: () => close(err(lost(address))),
    };
    signal.addEventListener('abort', () => stream.readers.delete(reader));
    runOutside(() => addReader(stream, reader, -1));
  });
}

type Perform<T> = (engine: FakeEngine, core: EngineCore) => Promise<Result<T, RouterError>>;

/** Reaches an engine; an engine that dies before its answer closes the connection. */
async function performOn<T>(
  engine: FakeEngine | undefined,
  address: string,
  perform: Perform<T>,
): Promise<Result<T, RouterError>> {
  if (engine === undefined || !engine.up || engine.refusing) {
    const message = `${address} refuses connections`;
    return err(createError('upstream_failed', message, { effect: 'not_run' }));
  }
  const { core } = engine;
  await core.gate.whenOpen();
  const result = await perform(engine, core);
  await core.gate.whenOpen();
  return engine.up && engine.core === core ? result : err(lost(address));
}

/** Calls of a control path have a time limit of their own, as in the HTTP adapter. */
function callControl<T>(
  access: BackEndAccess,
  engine: FakeEngine | undefined,
  address: string,
  read: (core: EngineCore) => Result<T, RouterError>,
): ResultAsync<T, RouterError> {
  const limit = new AbortController();
  const timer = runOutside(() => setTimeout(() => limit.abort(), CONTROL_TIMEOUT_MS));
  return callBackEnd(access, engine?.entry, limit.signal, async () => {
    const result = await performOn(engine, address, async (_, core) => read(core));
    clearTimeout(timer);
    return result;
  });
}

/** Creates the engine port of one process. */
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
        return 'status' in outcome ? err(refuse(outcome, prefill.address)) : ok(outcome);
      }),
    decode: (decode) =>
      call(decode.address, decode.signal, async (engine, core) => {
        const { kv, signal, onTokens } = decode;
        const started = await core.decode({ ...decode, kvId: kv.kvId, kvSource: kv.address });
        await core.gate.whenOpen();
        if ('status' in started) return err(refuse(started, decode.address));
        observer.onDecode(engine, decode);
        return readStream({ access, engine, signal, onTokens }, started);
      }),
    resume: (resume) =>
      call(resume.address, resume.signal, async (engine, core) => {
        const stream = core.findStream(resume.requestId);
        if (stream === undefined) {
          return err(createError('not_found', 'no such stream', { effect: 'unknown' }));
        }
        await access.owner.whenRunning();
        const { organisation, attempt } = stream;
        const refusal = access.owner.enter(() => resume.onOwner({ organisation, attempt }));
        if (refusal !== undefined) return err(refusal);
        const { signal, onTokens } = resume;
        return readStream({ access, engine, signal, onTokens }, stream);
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
