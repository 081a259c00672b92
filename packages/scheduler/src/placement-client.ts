/** Asks owners of cells for a placement until one grants it or the request must be refused. */
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

const RETRY_PAUSE_MS = 50;
/** Calls to one cell that may fail in a row before another cell is asked. */
const MAX_FAILED_CALLS = 3;
/** The owner ends the patience of a request; a node adds the time of a call and its repeat. */
const PATIENCE_MARGIN_MS = 2 * PLACE_TIMEOUT_MS;
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

/** `elsewhere`: another cell may have room. `again`: choose anew, the owner or the tables changed. */
type Asked = Grant | RouterError | 'elsewhere' | 'again';

interface Search {
  readonly req: PlacementRequest;
  readonly signal: AbortSignal;
  readonly startedAt: number;
}

const cancelled = (): RouterError =>
  createError('cancelled', 'the caller disconnected', { effect: 'not_run' });

function refused(message: string, retryAfterMs = RETRY_AFTER_MS): RouterError {
  return createError('no_capacity', message, { retryAfterMs, effect: 'not_run' });
}

const isGrant = (asked: Asked): asked is Grant => typeof asked === 'object' && 'target' in asked;

/** Creates the client of one node. */
export function createPlacementClient(options: PlacementClientOptions): PlacementClient {
  const { topology, calls, choice, ledger, reporter, telemetry } = options;

  const leftMs = ({ req, startedAt }: Search): number =>
    req.patienceMs - (monotonicMs() - startedAt);

  const giveBack = (filed: Extract<PlaceReply, { kind: 'granted' }>): void => {
    reporter.release(filed.filed.grant, { outcome: 'unused' });
  };

  const cancelAt = (
    owner: VmId,
    plan: CellPlan,
    { requestId, attempt }: PlacementRequest,
  ): void => {
    const params: CancelParams = { cell: plan.id, requestId, attempt };
    // One message is enough: without further calls the owner drops the request by itself.
    void calls.call(owner, 'cell.cancel', params, CALL_TIMEOUT_MS);
  };

  /** One call; a grant that arrives after the caller has left is given back. */
  const callOwner = async (
    owner: VmId,
    params: PlaceParams,
    signal: AbortSignal,
  ): Promise<Result<PlaceReply, RouterError>> => {
    const call = calls.call<PlaceReply>(owner, 'cell.place', params, PLACE_TIMEOUT_MS);
    let left = false;
    const answered = Promise.resolve(call).then((result: Result<PlaceReply, RouterError>) => {
      if (left && result.isOk() && result.value.kind === 'granted') giveBack(result.value);
      return result;
    });
    let onAbort = (): void => {};
    const aborted = new Promise<Result<PlaceReply, RouterError>>((resolve) => {
      onAbort = () => {
        left = true;
        resolve(err(cancelled()));
      };
      signal.addEventListener('abort', onAbort);
    });
    try {
      return await Promise.race([answered, aborted]);
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  };

  const isOut = (grant: Grant): boolean => {
    const plan = topology.find(grant.cell);
    const used = new Set<string>(upstreamsOf(grant.target));
    return plan?.upstreams.some((u) => used.has(u.id) && topology.isOut(u)) ?? false;
  };

  const accept = (reply: Extract<PlaceReply, { kind: 'granted' }>): Asked => {
    const { grant } = reply.filed;
    if (ledger.isStale(grant)) {
      telemetry.log('staleGrantRejected', { grant: grant.id, cell: grant.cell });
      giveBack(reply);
      return 'again';
    }
    if (isOut(grant)) {
      giveBack(reply);
      return 'again';
    }
    ledger.add(reply.filed, reply.warmth);
    reporter.confirm(grant);
    return grant;
  };

  const handleReply = (reply: PlaceReply): Asked | 'waiting' => {
    if (reply.kind !== 'moved') choice.remember(reply.summary);
    if (reply.kind === 'granted') return accept(reply);
    if (reply.kind === 'refused') return refused(reply.message, reply.retryAfterMs);
    if (reply.kind === 'overflow') return 'elsewhere';
    return reply.kind === 'moved' ? 'again' : 'waiting';
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

  /** Asks the owner of one cell until it decides. A repeat after a lost reply gets the same grant. */
  const askCell = async (plan: CellPlan, search: Search, mayOverflow: boolean): Promise<Asked> => {
    const params = createParams(plan, search, mayOverflow);
    let failures = 0;
    while (failures < MAX_FAILED_CALLS && leftMs(search) > -PATIENCE_MARGIN_MS) {
      const owner = topology.findOwner(plan);
      if (owner === undefined) return 'elsewhere';
      const askedAt = monotonicMs();
      const result = await callOwner(owner, params, search.signal);
      if (search.signal.aborted) {
        if (result.isOk() && result.value.kind === 'granted') giveBack(result.value);
        cancelAt(owner, plan, search.req);
        return cancelled();
      }
      const asked = result.isOk() ? handleReply(result.value) : 'failed';
      if (asked !== 'waiting' && asked !== 'failed') {
        choice.recordRoundTrip(plan.dataCentre, monotonicMs() - askedAt);
        return asked;
      }
      if (asked === 'failed') {
        failures += 1;
        await sleep(RETRY_PAUSE_MS, search.signal);
      } else failures = 0;
      if (failures === MAX_FAILED_CALLS) cancelAt(owner, plan, search.req);
    }
    if (failures < MAX_FAILED_CALLS) return refused(`cell ${plan.id} did not answer in time`);
    choice.markUnreachable(plan.dataCentre);
    return 'elsewhere';
  };

  /** Asks the first cell, then the others, and waits at the first when none has room. */
  const searchOnce = async (search: Search): Promise<Asked> => {
    const first = choice.first(search.req.pool);
    if (first === undefined) {
      return refused(`no upstream of pool ${search.req.pool} is in service; return one to service`);
    }
    const others = choice.alternatives(first);
    const asked = await askCell(first, search, others.length > 0);
    if (asked !== 'elsewhere') return asked;
    for (const plan of others) {
      telemetry.log('placementOverflowed', {
        request: search.req.requestId,
        from: first.id,
        to: plan.id,
      });
      const next = await askCell(plan, search, true);
      if (next !== 'elsewhere') return next;
    }
    return askCell(first, search, false);
  };

  return async (req, signal) => {
    const search: Search = { req, signal, startedAt: monotonicMs() };
    for (;;) {
      if (signal.aborted) return err(cancelled());
      const asked = await searchOnce(search);
      if (isGrant(asked)) return ok(asked);
      if (typeof asked === 'object') return err(asked);
      if (leftMs(search) <= 0) {
        return err(refused('no owner placed the request within its patience; retry later'));
      }
      await sleep(RETRY_PAUSE_MS, signal);
    }
  };
}
