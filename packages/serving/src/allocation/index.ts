/** Allocates the capacity of upstreams that many nodes share: one node of a cell decides for all. */
import type { DataCentreId, PoolId, Telemetry } from '@hibiscusbank/core';
import { dataCentreId, poolId } from '@hibiscusbank/core';
import type { GranterSelection } from '../granter-selection.js';
import type { PeerDatagrams } from '../peer-datagrams.js';
import type { KnownPeer } from '../peer-reports.js';
import { createAllocationClient } from './allocation-client.js';
import type { AllocationRequest, AllocationResult } from './allocation-client.js';
import { createAllocator, describeOpen, toCell } from './allocator.js';
import type { AllocatorOptions, CellView } from './allocator.js';
import { isAnswerMessage, isAskMessage, isCancelMessage, isHoldingsMessage } from './messages.js';
import type { AnswerMessage } from './messages.js';
import type { CellKey, CellKind } from './types.js';

export type { HeldCapacity } from './allocation-client.js';
export type { Refusal } from './messages.js';
export type { AllocationCandidate, CellKey, CellKind } from './types.js';

/** Upstreams up to which a pool is one cell. Prompts are short work, and any engine can take them. */
const MAX_WHOLE_POOL: Readonly<Record<CellKind, number>> = { run: 16, prefill: 64 };

/** The allocation of a pool as one node sees it. */
export interface AllocationView {
  /** The node that allocates, and its address for peers. */
  readonly allocator: { readonly node: string; readonly host: string; readonly port: number };
  /** Set on the allocator itself. */
  readonly cell: CellView | undefined;
}

export interface Allocation {
  /** Whether capacity of a pool is allocated by one node for all. */
  isActive(pool: PoolId): boolean;
  /**
   * Asks for capacity of a pool: at the own data centre, then at others without waiting, and waits at
   * the own one.
   */
  acquire(pool: PoolId, kind: CellKind, req: AllocationRequest): Promise<AllocationResult>;
  /** Returns the requests of this node that are waiting. */
  waiting(pool: PoolId): number;
  /** Returns what this node knows of the allocation of a pool, `undefined` if nobody allocates it. */
  view(pool: PoolId, tokens: number): AllocationView | undefined;
}

export interface AllocationService extends Allocation {
  /** Records that a peer reported, so that it can be asked again. */
  recordReport(node: string): void;
  /** Handles a message from a peer. Returns false when it is not about allocation. */
  receive(message: unknown): boolean;
  start(): void;
  stop(): void;
}

export interface AllocationOptions extends AllocatorOptions {
  readonly self: KnownPeer;
  readonly dataCentre: DataCentreId;
  readonly granters: GranterSelection;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  readonly isActive: (pool: PoolId) => boolean;
  /** Returns the data centres of the usable upstreams of a kind, one for each upstream. */
  readonly dataCentresOf: (pool: PoolId, kind: CellKind) => readonly DataCentreId[];
  readonly random: () => number;
  readonly telemetry: Telemetry;
}

/** Creates the allocation of one node. */
export function createAllocation(options: AllocationOptions): AllocationService {
  const { self, dataCentre, granters, datagrams } = options;
  const allocator = createAllocator(options);
  const client = createAllocationClient({ self, granters, datagrams, allocator });
  const waitingByPool = new Map<PoolId, number>();

  /** Returns the cells of a pool, the own one first and the others in random order. */
  const listCells = (pool: PoolId, kind: CellKind): readonly CellKey[] => {
    const all = options.dataCentresOf(pool, kind);
    if (all.length === 0) return [];
    if (all.length <= MAX_WHOLE_POOL[kind]) return [toCell(pool, kind, undefined)];
    const others = [...new Set(all)]
      .filter((each) => each !== dataCentre)
      .map((each) => ({ each, order: options.random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ each }) => each);
    const local = all.includes(dataCentre) ? [dataCentre] : [];
    return [...local, ...others].map((each) => toCell(pool, kind, each));
  };

  const acquire = async (
    pool: PoolId,
    kind: CellKind,
    req: AllocationRequest,
  ): Promise<AllocationResult> => {
    const cells = listCells(pool, kind);
    const [home] = cells;
    if (home === undefined) return { kind: 'unanswered' };
    if (cells.length === 1) return client.acquire(home, req);
    for (const cell of cells) {
      const result = await client.acquire(cell, { ...req, maxWaitMs: 0 });
      const isFirst = cell === home;
      if (result.kind === 'granted' || req.signal.aborted) return result;
      if (isFirst && result.kind === 'unanswered') return result;
    }
    return req.maxWaitMs > 0 ? client.acquire(home, req) : { kind: 'refused', waitMs: 0 };
  };

  return {
    isActive: options.isActive,
    acquire: async (pool, kind, req) => {
      if (kind === 'prefill') return acquire(pool, kind, req);
      waitingByPool.set(pool, (waitingByPool.get(pool) ?? 0) + 1);
      const result = await acquire(pool, kind, req);
      waitingByPool.set(pool, (waitingByPool.get(pool) ?? 1) - 1);
      return result;
    },
    view: (pool, tokens) => {
      const [cell] = listCells(pool, 'run');
      if (cell === undefined || !options.isActive(pool)) return undefined;
      const { node, host, port } = granters.find(cell.id, cell.dataCentre);
      const isSelf = node === self.node;
      return {
        allocator: { node, host, port },
        cell: isSelf ? allocator.view(cell, tokens) : undefined,
      };
    },
    waiting: (pool) => waitingByPool.get(pool) ?? 0,
    receive: (message) => {
      if (isAnswerMessage(message)) client.receive(message.allocationAnswer);
      else if (isHoldingsMessage(message)) allocator.setHoldings(message.allocationHoldings);
      else if (isCancelMessage(message))
        allocator.cancel(message.allocationCancel.node, message.allocationCancel.id);
      else if (isAskMessage(message)) {
        const { allocationAsk: ask } = message;
        const { cellDataCentre: place } = ask;
        const dataCentreOfCell = place === undefined ? undefined : dataCentreId(place);
        const cell = toCell(poolId(ask.pool), ask.cellKind, dataCentreOfCell);
        const answer = (allocationAnswer: AnswerMessage['allocationAnswer']): void => {
          datagrams.send({ allocationAnswer }, [ask.from]);
        };
        if (granters.find(cell.id, cell.dataCentre).node === self.node)
          allocator.ask(cell, ask, answer);
        else answer(describeOpen(ask.id, 'not_allocator', 0));
      } else return false;
      return true;
    },
    recordReport: granters.confirm,
    start: client.start,
    stop: () => {
      client.stop();
      allocator.stop();
    },
  };
}
