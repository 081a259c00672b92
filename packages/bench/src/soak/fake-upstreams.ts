/** In-memory plain upstreams and the upstream port through which a node calls them. */
import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import { createError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { classifyStatus } from '@hibiscusbank/engines';
import type { UpstreamAnswer, UpstreamCall, UpstreamPort } from '@hibiscusbank/engines';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { createUpstreamCore, UPSTREAM_DEFAULTS } from '@hibiscusbank/standins';
import type { UpstreamCore } from '@hibiscusbank/standins';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { callBackEnd } from './calls.js';
import type { BackEndAccess } from './calls.js';
import { runOutsideProcesses } from './process.js';

const MEAN_SERVICE_TIME_MS = 40;

export interface FakeUpstream {
  readonly entry: UpstreamEntry;
  readonly core: UpstreamCore;
  refusing: boolean;
  /** Time of the first refusal in the current cold start; before it, the router cannot know of the cold start. */
  refusedColdAtMs: number | undefined;
}

export interface FakeUpstreams {
  list(): readonly FakeUpstream[];
  find(address: string): FakeUpstream | undefined;
}

/** Receives each request that an upstream has started to run. */
export type UpstreamObserver = (upstream: FakeUpstream, call: UpstreamCall) => void;

/** Creates an upstream for each entry of a plain pool. */
export function createFakeUpstreams(
  entries: readonly UpstreamEntry[],
  seed: number,
): FakeUpstreams {
  const upstreams = new Map<string, FakeUpstream>();
  for (const entry of entries) {
    const setRefusing = (refusing: boolean): void => {
      const upstream = upstreams.get(entry.address);
      if (upstream !== undefined) upstream.refusing = refusing;
    };
    const options = {
      ...UPSTREAM_DEFAULTS,
      serviceMs: MEAN_SERVICE_TIME_MS,
      distribution: 'exponential' as const,
      seed,
      capacity: entry.capacity,
      coldLimit: entry.coldLimit,
      coldMs: entry.coldStepMs,
      coldAnswer: 'not_run' as const,
    };
    const core = runOutsideProcesses(() => createUpstreamCore(options, setRefusing));
    upstreams.set(entry.address, { entry, core, refusing: false, refusedColdAtMs: undefined });
  }
  return { list: () => [...upstreams.values()], find: (address) => upstreams.get(address) };
}

const createClosedError = (address: string): RouterError =>
  createError('upstream_failed', `${address} closed the connection`, { effect: 'unknown' });

async function consumeBody(call: UpstreamCall): Promise<void> {
  if (call.body instanceof Readable) await buffer(call.body);
}

async function send(
  upstream: FakeUpstream | undefined,
  call: UpstreamCall,
  observe: UpstreamObserver,
): Promise<Result<UpstreamAnswer, RouterError>> {
  if (upstream === undefined || upstream.refusing) {
    const message = `${call.address} refuses connections`;
    return err(createError('upstream_failed', message, { effect: 'not_run' }));
  }
  await consumeBody(call);
  await upstream.core.gate.whenOpen();
  const runsBefore = upstream.core.readState().runs;
  const key = call.headers['idempotency-key'];
  const outcomePromise = upstream.core.run({
    requestId: String(call.headers['x-request-id']),
    idempotencyKey: key === undefined ? undefined : String(key),
  });
  if (upstream.core.readState().runs > runsBefore) observe(upstream, call);
  const outcome = await outcomePromise;
  if (outcome === 'cut') return err(createClosedError(call.address));
  if (outcome === 'cold_not_run' || outcome === 'cold_failed') {
    upstream.refusedColdAtMs ??= performance.now();
    const notRun = outcome === 'cold_not_run' ? { 'x-not-run': '1' } : {};
    return err(classifyStatus(503, { 'x-cold-start': '1', ...notRun }, call.address));
  }
  return ok({
    status: 200,
    headers: { 'content-type': 'text/plain' },
    body: Readable.from([Buffer.from(`done ${String(call.headers['x-soak-call'])}`)]),
  });
}

/** Creates the upstream port of one node process. */
export function createUpstreamPort(
  upstreams: FakeUpstreams,
  access: BackEndAccess,
  observe: UpstreamObserver,
): UpstreamPort {
  return {
    send: (call) => {
      const upstream = upstreams.find(call.address);
      return callBackEnd(access, upstream?.entry, call.signal, () => send(upstream, call, observe));
    },
  };
}
