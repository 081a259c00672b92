/** Serves streaming requests to model engines: reservation, prefill, decode, relay. */
import { monotonicMs } from '@hibiscusbank/core';
import { sendBuffered, sendError, startResponse } from './responses.js';
import { mayStillServe, organisationOf, readExpectedOutput, remainingMs } from './context.js';
import type { AdmittedRequest, EngineReservation, ServingContext } from './context.js';
import { describeBlocked, describeFailure, describeTimeout } from './failures.js';
import type { ServingFailure } from './failures.js';
import { readFullBody } from './http-exchange.js';
import { prefillPrompt } from './prefill-prompt.js';
import type { PrefillOutcome } from './prefill-prompt.js';
import { relayEvents } from './relay-events.js';
import type { StreamState } from './stream-state.js';
import type { VersionRun } from './rollouts/index.js';
import { startTimeLimit } from './time-limit.js';
import type { EngineSettings, KvHandle, SendFailure, UpstreamReply } from './types.js';
import { waitForReservation } from './wait-for-reservation.js';
import { bindResumed, recordOrigin } from './resumed-streams.js';
import { watchStall } from './watch-stall.js';

/** Maximum number of sends of one request, including those that the upstream refuses. */
const MAX_SENDS = 4;
/** Fraction of a KV cache's lifetime in which its handle is still sent to an engine. */
const HANDLE_REUSE_SHARE = 0.6;
/** Retry delay for refused callers: about the rest of a short burst. */
const RETRY_AFTER_MS = 3_000;

const EVENT_STREAM_TYPE = 'text/event-stream';

type RunOutcome =
  | { readonly kind: 'answered' }
  | { readonly kind: 'failed'; readonly failure: SendFailure }
  /** The request was not sent, since it had ended or the engine had become unusable. */
  | { readonly kind: 'not_sent' };

function isEventStream({ headers }: UpstreamReply): boolean {
  const type = headers['content-type'];
  return type === undefined || String(type).startsWith(EVENT_STREAM_TYPE);
}

async function relay(
  context: ServingContext,
  state: StreamState,
  { upstream, observePause }: EngineReservation,
  reply: UpstreamReply,
  versionRun: VersionRun,
): Promise<RunOutcome> {
  const { admitted, progress } = state;
  const { outgoing } = admitted;
  const broken: RunOutcome = {
    kind: 'failed',
    failure: { effect: 'unknown', wasSent: true, reason: 'broken' },
  };
  // The caller has the head of an earlier response, so only further events can follow.
  const isContinued = outgoing.headersSent;
  if (reply.status >= 300) {
    const body = await readFullBody(reply);
    if (body === undefined || isContinued) return broken;
    sendBuffered(outgoing, reply, body);
    return { kind: 'answered' };
  }
  if (isContinued && !isEventStream(reply)) {
    reply.abort();
    return broken;
  }
  startResponse(outgoing, reply);
  state.version ??= upstream.version;
  const blocksBefore = progress.blocks;
  const onPause = (pauseMs: number): void => {
    context.pace.record(upstream.id, pauseMs);
    observePause?.(pauseMs);
    versionRun.recordPause(pauseMs);
  };
  const onFirstEvent = (): void => {
    versionRun.recordFirst();
    const ms = Math.round(monotonicMs() - admitted.startedAt);
    context.telemetry.metrics.firstTokenSeconds.observe({ pool: admitted.pool.id }, ms / 1_000);
    recordOrigin(context, admitted, upstream.version);
    context.telemetry.log('streamStarted', {
      request: admitted.req.id,
      ms,
      version: upstream.version,
    });
  };
  const isComplete = await relayEvents(reply, outgoing, progress, onFirstEvent, onPause);
  // Without events, a response may have been cut off after its head. Only a caller that resumes its stream
  // may have all events already.
  const mayBeEmpty = admitted.req.lastEventId !== undefined && !isContinued;
  if (!isComplete || (progress.blocks === blocksBefore && !mayBeEmpty)) return broken;
  outgoing.end();
  return { kind: 'answered' };
}

async function decode(
  context: ServingContext,
  state: StreamState,
  reservation: EngineReservation,
  handle: KvHandle | undefined,
): Promise<RunOutcome> {
  const { transport, health } = context;
  const { admitted, progress } = state;
  const { req, route } = admitted;
  const blocksBefore = progress.blocks;
  const lastEventId = progress.lastId ?? req.lastEventId;
  const limit = startTimeLimit(admitted.signal, remainingMs(admitted));
  const stall = new AbortController();
  const abortRun = (): void => stall.abort();
  limit.signal.addEventListener('abort', abortRun, { once: true });
  const stopWatch = route.isResumable ? watchStall(progress, route, abortRun) : () => {};
  reservation.coldPermit.recordSend();
  context.unavailable.recordSend(reservation.upstream);
  const finishRun = context.crashProtection.beginRun(
    reservation.upstream,
    req.id,
    admitted.suspects,
  );
  const versionRun = context.rollouts.beginRun(reservation.upstream, route.id, 'request');
  const sent = await transport.send({
    upstream: reservation.upstream,
    req,
    body: admitted.body,
    organisation: organisationOf(admitted),
    remainingMs: remainingMs(admitted),
    reservation: reservation.id,
    priority: admitted.organisation?.priority ?? route.priority,
    signal: stall.signal,
    ...(handle === undefined ? {} : { kvSource: handle }),
    ...(lastEventId === undefined ? {} : { lastEventId }),
  });
  const outcome: RunOutcome = sent.isErr()
    ? { kind: 'failed', failure: sent.error }
    : await relay(context, state, reservation, sent.value, versionRun);
  const wasBroken = outcome.kind === 'failed' && outcome.failure.effect === 'unknown';
  if (wasBroken && !stall.signal.aborted) finishRun('broken');
  else
    finishRun(outcome.kind === 'answered' && progress.blocks > blocksBefore ? 'answered' : 'other');
  stopWatch();
  limit.stop();
  const isFailed = sent.isOk() && sent.value.status >= 500;
  if (isFailed || (wasBroken && !stall.signal.aborted)) versionRun.end('failed');
  else versionRun.end(outcome.kind === 'answered' ? 'answered' : 'none');
  if (outcome.kind === 'answered') health.recordSuccess(reservation.upstream);
  else if (
    outcome.kind === 'failed' &&
    outcome.failure.effect === 'unknown' &&
    !admitted.signal.aborted
  ) {
    health.recordFailure(reservation.upstream, 'answered');
  }
  return outcome;
}

/** Reuses the KV cache that an earlier decode engine did not fetch, or prefills the prompt. */
async function obtainKvHandle(
  context: ServingContext,
  state: StreamState,
  reservation: EngineReservation,
): Promise<PrefillOutcome> {
  const { unfetchedKv, admitted, failedPrefill } = state;
  state.unfetchedKv = undefined;
  if (unfetchedKv !== undefined && monotonicMs() < unfetchedKv.until) {
    const { handle } = unfetchedKv;
    const isOfVersion = handle.upstream.version === reservation.upstream.version;
    if (isOfVersion || !context.rollouts.isRunning(admitted.pool.id))
      return { kind: 'prefilled', handle };
    context.transport.dropHandle(handle);
  }
  const prefilled = await prefillPrompt(context, admitted, reservation, failedPrefill, {
    isRetry: state.wasPrefilled,
    isResumed: admitted.req.lastEventId !== undefined,
  });
  if (prefilled.kind === 'prefilled') state.wasPrefilled = true;
  return prefilled;
}

function dropUnfetchedKv(context: ServingContext, state: StreamState): void {
  if (state.unfetchedKv !== undefined) context.transport.dropHandle(state.unfetchedKv.handle);
}

function describeNotSent({ signal }: AdmittedRequest, isBlocked: boolean): string {
  if (signal.aborted) return 'request ended';
  return isBlocked ? 'request quarantined' : 'engine out of service';
}

async function runOnce(
  context: ServingContext,
  state: StreamState,
  reservation: EngineReservation,
): Promise<RunOutcome> {
  const { transport, crashProtection } = context;
  const { admitted, progress } = state;
  const isBlocked = (): boolean =>
    crashProtection.findBlocked(admitted.req.id, admitted.suspects) !== undefined;
  // A part of the prompt may have been quarantined while the request waited.
  if (isBlocked()) {
    transport.dropReservation(reservation.upstream, reservation.id);
    return { kind: 'not_sent' };
  }
  // Another prefill would use the retry budget twice for a stream that continues here.
  const prefilled: PrefillOutcome = progress.hasEvents
    ? { kind: 'not_prefilled' }
    : await obtainKvHandle(context, state, reservation);
  const handle = prefilled.kind === 'prefilled' ? prefilled.handle : undefined;
  const releaseUnused = (): void => {
    transport.dropReservation(reservation.upstream, reservation.id);
    if (handle === undefined) return;
    if (admitted.signal.aborted) transport.dropHandle(handle);
    else
      state.unfetchedKv = {
        handle,
        until: monotonicMs() + state.engineSettings.kvHandleTtlMs * HANDLE_REUSE_SHARE,
      };
  };
  const isUsable = mayStillServe(context, reservation.upstream);
  if (admitted.signal.aborted || isBlocked() || !isUsable) {
    releaseUnused();
    context.telemetry.log('runNotSent', {
      request: admitted.req.id,
      upstream: reservation.upstream.id,
      hasPrompt: handle !== undefined,
      reason: describeNotSent(admitted, isBlocked()),
    });
    return { kind: 'not_sent' };
  }
  if (prefilled.kind === 'budget_exhausted') {
    releaseUnused();
    return { kind: 'failed', failure: { effect: 'not_run', wasSent: true, reason: 'refused' } };
  }
  if (prefilled.kind === 'engines_ended') {
    releaseUnused();
    return { kind: 'failed', failure: { effect: 'unknown', wasSent: true, reason: 'broken' } };
  }
  const outcome = await decode(context, state, reservation, handle);
  if (outcome.kind !== 'failed' || outcome.failure.effect !== 'not_run') return outcome;
  if (outcome.failure.reason === 'moved') context.moved.record(reservation.upstream);
  if (outcome.failure.reason === 'refused' && handle !== undefined) {
    // The engine may have refused because it could not fetch the KV cache from this prefill engine.
    state.failedPrefill.add(handle.upstream.id);
    context.health.recordFailure(handle.upstream, 'answered');
    transport.dropReservation(reservation.upstream, reservation.id);
    transport.dropHandle(handle);
  } else releaseUnused();
  return outcome;
}

/** Whether the request may be sent again after a run that failed in this way. */
function mayRetry(context: ServingContext, state: StreamState, failure: SendFailure): boolean {
  const { route, pool } = state.admitted;
  if (failure.effect === 'unknown' && !route.isResumable) return false;
  // Without the id of the last event a stream that has begun cannot be resumed.
  if (state.progress.hasEvents && state.progress.lastId === undefined) return false;
  if (state.runs >= route.maxAttempts) return false;
  return !failure.wasSent || context.retryBudget.take(pool.id);
}

function respondWithFailure(state: StreamState, failure: ServingFailure): ServingFailure {
  sendError(state.admitted.outgoing, failure.error, failure.effect);
  return failure;
}

/** Records how long a complete stream took, unless several runs contributed to it. */
function recordDuration(
  { durations }: ServingContext,
  { admitted, progress, runs }: StreamState,
  runStartedAt: number,
): void {
  if (runs > 0 || !progress.hasEvents) return;
  durations.record(admitted.pool.id, {
    firstMs: progress.firstEventAt - runStartedAt,
    restMs: progress.lastEventAt - progress.firstEventAt,
    reads: progress.blocks,
    ...readExpectedOutput(admitted),
  });
}

/** Serves one admitted stream to its end. Resolves to the failure, if any. */
export async function serveStream(
  context: ServingContext,
  admitted: AdmittedRequest,
  engineSettings: EngineSettings,
): Promise<ServingFailure | undefined> {
  const { signal, req } = admitted;
  const state: StreamState = {
    admitted,
    engineSettings,
    progress: { lastId: undefined, hasEvents: false, blocks: 0, firstEventAt: 0, lastEventAt: 0 },
    failedPrefill: new Set(),
    failedDecode: new Set(),
    unfetchedKv: undefined,
    wasPrefilled: false,
    runs: 0,
    effect: 'not_run',
    version: undefined,
  };
  const bound = await bindResumed(context, admitted);
  if (bound.isErr()) return respondWithFailure(state, { error: bound.error, effect: 'not_run' });
  state.version = bound.value;
  let lastFailure: SendFailure = { effect: 'not_run', wasSent: false, reason: 'unreachable' };
  for (let sends = 0; sends < MAX_SENDS && !signal.aborted; sends += 1) {
    const blocked = context.crashProtection.findBlocked(req.id, admitted.suspects);
    if (blocked !== undefined) {
      dropUnfetchedKv(context, state);
      return respondWithFailure(state, describeBlocked(blocked, state.effect));
    }
    const reserved = await waitForReservation(context, state);
    if (reserved.isErr()) {
      if (signal.aborted) break;
      return respondWithFailure(state, {
        error: state.effect === 'not_run' ? reserved.error : describeTimeout('unknown').error,
        effect: state.effect,
      });
    }
    const reservation = reserved.value;
    const runStartedAt = monotonicMs();
    const outcome = await runOnce(context, state, reservation);
    reservation.release();
    context.queueFor(admitted.pool.id).notifyFreeMemory();
    if (outcome.kind === 'answered') {
      recordDuration(context, state, runStartedAt);
      return undefined;
    }
    if (outcome.kind === 'not_sent') continue;
    lastFailure = outcome.failure;
    context.telemetry.log('runFailed', {
      request: req.id,
      upstream: reservation.upstream.id,
      reason: lastFailure.reason,
      effect: lastFailure.effect,
      lastEvent: state.progress.lastId,
    });
    if (lastFailure.effect === 'unknown') {
      state.runs += 1;
      state.effect = 'unknown';
      state.failedDecode.add(reservation.upstream.id);
    }
    if (signal.aborted || !mayRetry(context, state, lastFailure)) break;
    if (lastFailure.effect === 'unknown') {
      const { upstream } = reservation;
      if (!(await context.crashProtection.mayRepeat(upstream, admitted.suspects))) break;
    }
  }
  dropUnfetchedKv(context, state);
  if (signal.aborted) return respondWithFailure(state, describeTimeout(state.effect));
  return respondWithFailure(
    state,
    describeFailure({ ...lastFailure, effect: state.effect }, RETRY_AFTER_MS),
  );
}
