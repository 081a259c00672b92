/** Requests a placement from the owners of cells until one grants or refuses it. */
import { createError, monotonicMs, sleep } from '@hibiscusbank/core';
import type { RouterError, Telemetry, VmId } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { upstreamsOf } from './cell-state.js';
import type { CellChoice } from './cell-choice.js';
import type { GrantLedger } from './grant-ledger.js';
import type { GrantReporter } from './grant-reporter.js';
import { CALL_TIMEOUT_MS, PLACE_TIMEOUT_MS } from './messages.js';
import type { CancelParams, PlaceParams, PlaceReply } from './messages.js';
import type { CellPlan } from './partition.js';
import type { PeerCalls } from './peer-calls.js';
import type { Topology } from './topology.js';
import type { Grant, PlacementRequest } from './types.js';

const RETRY_DELAY_MS = 50;
/** Consecutive failed calls to one cell after which another cell is asked. */
const MAX_FAILED_CALLS = 3;
/** The owner enforces the maximum wait; the node adds the time of one call and its retry. */
const MAX_WAIT_MARGIN_MS = 2 * PLACE_TIMEOUT_MS;
const RETRY_AFTER_MS = 1_000;

export interface PlacementClientOptions {
  readonly topology: Topology;
  readonly calls: PeerCalls;
  readonly choice: CellChoice;
  readonly ledger: GrantLedger;
  readonly reporter: GrantReporter;
  readonly telemetry: Telemetry;
}

export type PlacementClient = (
  req: PlacementRequest,
  signal: AbortSignal,
) => Promise<Result<Grant, RouterError>>;

/** `otherCell`: another cell may have free capacity. `retry`: the owner or the tables changed. */
type CellAnswer = Grant | RouterError | 'otherCell' | 'retry';

interface Search {
  readonly req: PlacementRequest;
  readonly signal: AbortSignal;
  readonly startedAt: number;
}

const cancelledError = (): RouterError =>
  createError('cancelled', 'the caller disconnected', { effect: 'not_run' });

function refusedError(message: string, retryAfterMs = RETRY_AFTER_MS): RouterError {
  return createError('no_capacity', message, { retryAfterMs, effect: 'not_run' });
}

const isGrant = (answer: CellAnswer): answer is Grant =>
  typeof answer === 'object' && 'target' in answer;

/** Creates the client of one node. */
export function createPlacementClient(options: PlacementClientOptions): PlacementClient {
  const { topology, calls, choice, ledger, reporter, telemetry } = options;

  const remainingWaitMs = ({ req, startedAt }: Search): number =>
    req.patienceMs - (monotonicMs() - startedAt);

  const releaseUnused = (reply: Extract<PlaceReply, { kind: 'granted' }>): void => {
    reporter.release(reply.filed.grant, { outcome: 'unused' });
  };

  const sendCancel = (
    owner: VmId,
    plan: CellPlan,
    { requestId, attempt }: PlacementRequest,
  ): void => {
    const params: CancelParams = { cell: plan.id, requestId, attempt };
    // A lost message needs no retry: the owner drops a request that is no longer polled for.
    void calls.call(owner, 'cell.cancel', params, CALL_TIMEOUT_MS);
  };

  /** Sends one call; a grant that arrives after the client has disconnected is released. */
  const callPlace = async (
    owner: VmId,
    params: PlaceParams,
    signal: AbortSignal,
  ): Promise<Result<PlaceReply, RouterError>> => {
    const call = calls.call<PlaceReply>(owner, 'cell.place', params, PLACE_TIMEOUT_MS);
    let disconnected = false;
    const settled = Promise.resolve(call).then((result: Result<PlaceReply, RouterError>) => {
      if (disconnected && result.isOk() && result.value.kind === 'granted')
        releaseUnused(result.value);
      return result;
    });
    let onAbort = (): void => {};
    const aborted = new Promise<Result<PlaceReply, RouterError>>((resolve) => {
      onAbort = () => {
        disconnected = true;
        resolve(err(cancelledError()));
      };
      signal.addEventListener('abort', onAbort);
    });
    try {
      return await Promise.race([settled, aborted]);
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  };

  const usesOutOfServiceUpstream = (grant: Grant): boolean => {
    const plan = topology.find(grant.cell);
    const used = new Set<string>(upstreamsOf(grant.target));
    return plan?.upstreams.some((u) => used.has(u.id) && topology.isOutOfService(u)) ?? false;
  };

  const accept = (reply: Extract<PlaceReply, { kind: 'granted' }>): CellAnswer => {
    const { grant } = reply.filed;
    if (ledger.isStale(grant)) {
      telemetry.log('staleGrantRejected', { grant: grant.id, cell: grant.cell });
      releaseUnused(reply);
      return 'retry';
    }
    if (usesOutOfServiceUpstream(grant)) {
      releaseUnused(reply);
      return 'retry';
    }
    ledger.add(reply.filed, reply.warmth);
    reporter.confirm(grant);
    return grant;
  };

  const handleReply = (reply: PlaceReply): CellAnswer | 'waiting' => {
    if (reply.kind !== 'moved') choice.recordSummary(reply.summary);
    if (reply.kind === 'granted') return accept(reply);
    if (reply.kind === 'refused') return refusedError(reply.message, reply.retryAfterMs);
    if (reply.kind === 'overflow') return 'otherCell';
    return reply.kind === 'moved' ? 'retry' : 'waiting';
  };

  const createParams = (plan: CellPlan, search: Search, mayOverflow: boolean): PlaceParams => {
    const elapsedMs = monotonicMs() - search.startedAt;
    const { req } = search;
    return {
      cell: plan.id,
      mayOverflow,
      req: {
        ...req,
        firstTokenTargetMs: Math.max(0, req.firstTokenTargetMs - elapsedMs),
        patienceMs: Math.max(0, req.patienceMs - elapsedMs),
      },
    };
  };

  /** Calls the owner of a cell until it decides. A retry after a lost reply gets the same grant. */
  const requestFromCell = async (
    plan: CellPlan,
    search: Search,
    mayOverflow: boolean,
  ): Promise<CellAnswer> => {
    const params = createParams(plan, search, mayOverflow);
    let failures = 0;
    while (failures < MAX_FAILED_CALLS && remainingWaitMs(search) > -MAX_WAIT_MARGIN_MS) {
      const owner = topology.findOwner(plan);
      if (owner === undefined) return 'otherCell';
      const askedAt = monotonicMs();
      const result = await callPlace(owner, params, search.signal);
      if (search.signal.aborted) {
        if (result.isOk() && result.value.kind === 'granted') releaseUnused(result.value);
        sendCancel(owner, plan, search.req);
        return cancelledError();
      }
      const answer = result.isOk() ? handleReply(result.value) : 'failed';
      if (answer !== 'waiting' && answer !== 'failed') {
        choice.recordRoundTrip(plan.dataCentre, monotonicMs() - askedAt);
        return answer;
      }
      if (answer === 'failed') {
        failures += 1;
        await sleep(RETRY_DELAY_MS, search.signal);
      } else failures = 0;
      if (failures === MAX_FAILED_CALLS) sendCancel(owner, plan, search.req);
    }
    if (failures < MAX_FAILED_CALLS) return refusedError(`cell ${plan.id} did not answer in time`);
    choice.markUnreachable(plan.dataCentre);
    return 'otherCell';
  };

  /** Asks the first cell, then the others, and queues at the first if none has free capacity. */
  const searchOnce = async (search: Search): Promise<CellAnswer> => {
    const first = choice.first(search.req.pool);
    if (first === undefined) {
      return refusedError(
        `no upstream of pool ${search.req.pool} is in service; return one to service`,
      );
    }
    const others = choice.alternatives(first);
    const answer = await requestFromCell(first, search, others.length > 0);
    if (answer !== 'otherCell') return answer;
    for (const plan of others) {
      telemetry.log('placementOverflowed', {
        request: search.req.requestId,
        from: first.id,
        to: plan.id,
      });
      const next = await requestFromCell(plan, search, true);
      if (next !== 'otherCell') return next;
    }
    return requestFromCell(first, search, false);
  };

  return async (req, signal) => {
    const search: Search = { req, signal, startedAt: monotonicMs() };
    for (;;) {
      if (signal.aborted) return err(cancelledError());
      const answer = await searchOnce(search);
      if (isGrant(answer)) return ok(answer);
      if (typeof answer === 'object') return err(answer);
      if (remainingWaitMs(search) <= 0) {
        return err(refusedError('no owner placed the request within its patience; retry later'));
      }
      await sleep(RETRY_DELAY_MS, signal);
    }
  };
}
