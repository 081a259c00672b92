/** Allocates the capacity of cells: grants upstreams to requests, and keeps those that have to wait. */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId, Telemetry } from '@hibiscusbank/core';
import { createUpstreamSpeeds } from '../costs/index.js';
import type { UpstreamSpeeds } from '../costs/index.js';
import { chooseReserved, chooseUpstream, fits, orderRequests } from './allocation-order.js';
import type { WaitingRequest } from './allocation-order.js';
import { createCapacityLedger } from './capacity-ledger.js';
import type { CapacityLedger } from './capacity-ledger.js';
import type { AnswerMessage, AskMessage, HoldingsMessage } from './messages.js';
import type {
  AllocationCandidate,
  AllocationCell,
  CapacityUse,
  CellKey,
  CellKind,
} from './types.js';

/** Interval in which waiting requests are tried again, for capacity that came free unnoticed. */
const RETRY_MS = 50;
/** Time after which a waiting request that its node does not repeat is dropped. */
const ASK_TTL_MS = 1_500;
/** Time in which a new allocator counts what nodes report, until they have stated what they hold. */
const TAKEOVER_MS = 2_500;
/** Time in which grants count for the shares of organisations and for the expected wait. */
const GRANTED_WINDOW_MS = 4_000;
const PRUNE_INTERVAL_MS = 1_000;
/** Time with waiting requests, and grants in it, that an expected wait needs. */
const MIN_PRESSURE_MS = 600;
const MIN_GRANTS = 5;
/** Factor by which an expected wait may exceed the time left, since the rate varies. */
const HOPELESS_FACTOR = 1.3;
/** Waiting requests of a cell, a protection of the memory. */
const MAX_WAITING = 2_000;

type Ask = AskMessage['allocationAsk'];
type Answer = AnswerMessage['allocationAnswer'];

interface WaitingAsk extends WaitingRequest {
  readonly ask: Ask;
  readonly until: number;
  readonly reply: (answer: Answer) => void;
  repeatedAt: number;
}

interface CellState {
  readonly key: CellKey;
  readonly since: number;
  readonly ledger: CapacityLedger;
  readonly speeds: UpstreamSpeeds;
  readonly waiting: Map<string, WaitingAsk>;
  /** Grants of the last seconds. */
  grants: { readonly at: number; readonly organisation: string; readonly cost: number }[];
  prunedAt: number;
  granted: number;
  /** Begin of the time in which requests have been waiting, and the grants before it. */
  pressure: { readonly since: number; readonly grantedBefore: number } | undefined;
}

/** An upstream as its allocator sees it. */
export interface ViewedUpstream {
  readonly upstream: string;
  readonly requests: number;
  readonly tokens: number;
  readonly capacity: CapacityUse;
  readonly speed: number;
  readonly penalty: number;
  readonly isFull: boolean;
}

export interface CellView {
  readonly cell: AllocationCell;
  readonly upstreams: readonly ViewedUpstream[];
  readonly waiting: number;
  /** Expected wait of a further request; 0 while the rate is unknown. */
  readonly expectedWaitMs: number;
  /** Upstream that a request of this size would get now; `undefined` if it would wait. */
  readonly next: string | undefined;
}

export interface AllocatorOptions {
  /** Returns the upstreams of a cell that may get requests now. */
  readonly listCandidates: (cell: CellKey) => readonly AllocationCandidate[];
  readonly telemetry: Telemetry;
}

export interface Allocator {
  /** Decides about a request, at once or later; `reply` may be called several times. */
  ask(cell: CellKey, ask: Ask, reply: (answer: Answer) => void): void;
  cancel(node: string, id: number): void;
  setHoldings(statement: HoldingsMessage['allocationHoldings']): void;
  /** Returns what this allocator knows of a cell, for operators. */
  view(key: CellKey, tokens: number): CellView;
  stop(): void;
}

/** Returns an answer without a grant. */
export function describeOpen(
  id: number,
  kind: Exclude<Answer['kind'], 'granted'>,
  waitMs: number,
): Answer {
  return { id, kind, upstream: undefined, grant: 0, aheadTokens: 0, waitMs };
}

/** Creates the allocator of one node. */
export function createAllocator({ listCandidates, telemetry }: AllocatorOptions): Allocator {
  const cells = new Map<AllocationCell, CellState>();
  let timer: NodeJS.Timeout | undefined;

  const cellOf = (key: CellKey): CellState => {
    const known = cells.get(key.id);
    if (known !== undefined) return known;
    const state: CellState = {
      key,
      since: monotonicMs(),
      ledger: createCapacityLedger(),
      speeds: createUpstreamSpeeds(),
      waiting: new Map(),
      grants: [],
      prunedAt: monotonicMs(),
      granted: 0,
      pressure: undefined,
    };
    cells.set(key.id, state);
    return state;
  };

  const readUse = (cell: CellState, candidate: AllocationCandidate): CapacityUse => {
    const used = cell.ledger.used(candidate.id);
    if (monotonicMs() - cell.since > TAKEOVER_MS) return used;
    return {
      requests: Math.max(used.requests, candidate.reported.requests),
      tokens: Math.max(used.tokens, candidate.reported.tokens),
    };
  };

  const listOpen = (cell: CellState): readonly AllocationCandidate[] =>
    listCandidates(cell.key).filter(({ id }) => !cell.ledger.isFull(id));

  const choose = (
    cell: CellState,
    { ask, onTargetUntil }: Pick<WaitingAsk, 'ask' | 'onTargetUntil'>,
    candidates: readonly AllocationCandidate[],
  ): AllocationCandidate | undefined =>
    chooseUpstream(
      candidates.filter(({ id }) => !ask.excluded.includes(id)),
      (candidate) => readUse(cell, candidate),
      ({ id }) => cell.speeds.speedOf(id),
      {
        tokens: ask.tokens,
        dataCentre: ask.dataCentre,
        pastTarget: monotonicMs() >= onTargetUntil,
      },
    );

  const grant = (cell: CellState, { ask, reply }: WaitingAsk, upstream: string): void => {
    const aheadTokens = cell.ledger.used(upstream).tokens;
    const number = cell.ledger.addGrant(ask.from.node, upstream, ask.tokens);
    const { organisation } = ask;
    cell.grants.push({ at: monotonicMs(), organisation, cost: Math.max(1, ask.tokens) });
    cell.granted += 1;
    cell.waiting.delete(`${ask.from.node} ${ask.id}`);
    telemetry.metrics.allocations.inc({ pool: cell.key.pool, outcome: 'granted' });
    reply({ id: ask.id, kind: 'granted', upstream, grant: number, aheadTokens, waitMs: 0 });
  };

  const refuse = (cell: CellState, { ask, reply }: WaitingAsk, waitMs: number): void => {
    cell.waiting.delete(`${ask.from.node} ${ask.id}`);
    telemetry.metrics.allocations.inc({ pool: cell.key.pool, outcome: 'refused' });
    reply(describeOpen(ask.id, 'refused', waitMs));
  };

  /** Drops what is out of date, once a second at most. */
  const prune = (cell: CellState): void => {
    const now = monotonicMs();
    if (now - cell.prunedAt < PRUNE_INTERVAL_MS) return;
    cell.prunedAt = now;
    cell.ledger.prune();
    cell.grants = cell.grants.filter(({ at }) => now - at < GRANTED_WINDOW_MS);
  };

  const recentCosts = (cell: CellState): Map<string, number> => {
    const costs = new Map<string, number>();
    for (const { organisation, cost } of cell.grants)
      costs.set(organisation, (costs.get(organisation) ?? 0) + cost);
    return costs;
  };

  /** Returns the wait behind `ahead` requests by the rate at which they are served; 0 while it is unknown. */
  const expectedWaitMs = ({ pressure, granted }: CellState, ahead: number): number => {
    if (pressure === undefined) return 0;
    const elapsedMs = monotonicMs() - pressure.since;
    const served = granted - pressure.grantedBefore;
    if (elapsedMs < MIN_PRESSURE_MS || served < MIN_GRANTS) return 0;
    return ((ahead + 1) * elapsedMs) / served;
  };

  /** Refuses requests that cannot be served in the time that they have left. */
  const refuseHopeless = (cell: CellState, now: number): void => {
    const ordered = orderRequests([...cell.waiting.values()], recentCosts(cell), 0, now);
    let ahead = 0;
    for (const each of ordered) {
      const waitMs = expectedWaitMs(cell, ahead);
      if (waitMs > (each.until - now) * HOPELESS_FACTOR) refuse(cell, each, waitMs);
      else ahead += 1;
    }
  };

  /** Grants what fits, in order, until the first request that has to wait keeps its upstream. */
  const serve = (cell: CellState): void => {
    const now = monotonicMs();
    for (const each of [...cell.waiting.values()]) {
      if (now - each.repeatedAt > ASK_TTL_MS)
        cell.waiting.delete(`${each.ask.from.node} ${each.ask.id}`);
      else if (now >= each.until) refuse(cell, each, expectedWaitMs(cell, cell.waiting.size));
    }
    if (cell.waiting.size === 0) {
      cell.pressure = undefined;
      return;
    }
    let open = listOpen(cell);
    let ordered = orderRequests([...cell.waiting.values()], recentCosts(cell), cell.granted, now);
    while (ordered.length > 0 && open.length > 0) {
      const [next] = ordered;
      if (next === undefined) return;
      const upstream = choose(cell, next, open);
      if (upstream !== undefined) grant(cell, next, upstream.id);
      else if (now < next.onTargetUntil) {
        const kept = chooseReserved(open, (candidate) => readUse(cell, candidate));
        open = open.filter((candidate) => candidate !== kept);
      }
      ordered = ordered.slice(1);
    }
    refuseHopeless(cell, now);
  };

  const serveAll = (): void => {
    for (const cell of cells.values()) {
      prune(cell);
      serve(cell);
    }
    if ([...cells.values()].every(({ waiting }) => waiting.size === 0)) {
      clearInterval(timer);
      timer = undefined;
    }
  };

  /** Returns the requests that would be served before a new one. */
  const countAhead = (cell: CellState, { priority, onTargetUntil }: WaitingAsk): number => {
    const isPast = monotonicMs() >= onTargetUntil;
    return [...cell.waiting.values()].filter(
      (each) => isPast || (each.priority <= priority && monotonicMs() < each.onTargetUntil),
    ).length;
  };

  return {
    ask: (key, ask, reply) => {
      const cell = cellOf(key);
      prune(cell);
      cell.ledger.setHoldings(ask.from.node, ask.sequence, ask.holdings, ask.lastGrant);
      ask.observed.forEach(cell.speeds.record);
      const { refusedBy } = ask;
      if (refusedBy !== undefined) cell.ledger.markFull(refusedBy.upstream, refusedBy.isAlive);
      const id = `${ask.from.node} ${ask.id}`;
      const now = monotonicMs();
      const known = cell.waiting.get(id);
      if (known !== undefined) {
        known.repeatedAt = now;
        reply(describeOpen(ask.id, 'waiting', 0));
        return;
      }
      const entry: WaitingAsk = {
        ask,
        organisation: ask.organisation,
        priority: ask.priority,
        tokens: ask.tokens,
        arrivedAt: now,
        onTargetUntil: now + ask.onTargetMs,
        until: now + ask.maxWaitMs,
        reply,
        repeatedAt: now,
      };
      const waitMs = expectedWaitMs(cell, countAhead(cell, entry));
      const mustWait = [...cell.waiting.values()].some(
        ({ priority, onTargetUntil }) => priority <= ask.priority && now < onTargetUntil,
      );
      const upstream = mustWait ? undefined : choose(cell, entry, listOpen(cell));
      if (upstream !== undefined) {
        grant(cell, entry, upstream.id);
        return;
      }
      const isHopeless = cell.waiting.size > 0 && waitMs > ask.maxWaitMs * HOPELESS_FACTOR;
      if (ask.maxWaitMs === 0 || isHopeless || cell.waiting.size >= MAX_WAITING) {
        refuse(cell, entry, waitMs);
        return;
      }
      cell.waiting.set(id, entry);
      cell.pressure ??= { since: now, grantedBefore: cell.granted };
      reply(describeOpen(ask.id, 'waiting', waitMs));
      timer ??= setInterval(serveAll, RETRY_MS);
    },
    cancel: (node, id) => {
      for (const { waiting } of cells.values()) waiting.delete(`${node} ${id}`);
    },
    setHoldings: ({ cell: id, node, sequence, holdings, lastGrant, observed }) => {
      const cell = cells.get(id);
      if (cell === undefined) return;
      cell.ledger.setHoldings(node, sequence, holdings, lastGrant);
      observed.forEach(cell.speeds.record);
      serve(cell);
    },
    view: (key, tokens) => {
      const cell = cellOf(key);
      const open = listOpen(cell);
      const use = (candidate: AllocationCandidate): CapacityUse => readUse(cell, candidate);
      const speed = ({ id }: AllocationCandidate): number => cell.speeds.speedOf(id);
      const next = chooseUpstream(open, use, speed, {
        tokens,
        dataCentre: key.dataCentre ?? '',
        pastTarget: false,
      });
      return {
        cell: key.id,
        waiting: cell.waiting.size,
        expectedWaitMs: Math.round(expectedWaitMs(cell, cell.waiting.size)),
        next: cell.waiting.size === 0 ? next?.id : undefined,
        upstreams: listCandidates(key).map((candidate) => ({
          upstream: candidate.id,
          ...use(candidate),
          capacity: candidate.capacity,
          speed: speed(candidate),
          penalty: candidate.penalty,
          isFull: !open.includes(candidate) || !fits(candidate, use(candidate), tokens, false),
        })),
      };
    },
    stop: () => clearInterval(timer),
  };
}

/** Returns the cell of an upstream: small pools form one cell, others one for each data centre. */
export function toCell(pool: PoolId, kind: CellKind, dataCentre: CellKey['dataCentre']): CellKey {
  const id = `${pool}/${kind}/${dataCentre ?? ''}`;
  return { id: id as AllocationCell, pool, kind, dataCentre };
}
