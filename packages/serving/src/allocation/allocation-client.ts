/** Asks allocators for capacity, and states what this node holds. */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import { createSpeedObserver } from '../costs/index.js';
import type { SpeedObserver } from '../costs/index.js';
import type { GranterSelection } from '../granter-selection.js';
import type { PeerDatagrams } from '../peer-datagrams.js';
import type { KnownPeer } from '../peer-reports.js';
import type { Allocator } from './allocator.js';
import type {
  AnswerMessage,
  AskMessage,
  HoldingsMessage,
  HoldingsStatement,
  Refusal,
} from './messages.js';
import type {
  AllocationAsk,
  AllocationCell,
  AllocationDecision,
  CellKey,
  Holding,
} from './types.js';

/** Time-out of an answer; nodes answer within a round trip. */
const ANSWER_TIMEOUT_MS = 120;
/** Interval in which a waiting request is asked for again, so that its allocator keeps it. */
const REPEAT_MS = 500;
/** Interval in which a node states what it holds, if it holds anything. */
const STATEMENT_MS = 1_000;

type Answer = AnswerMessage['allocationAnswer'];

/** Capacity that this node holds for one request. */
export interface HeldCapacity {
  readonly upstream: UpstreamId;
  /** Tokens of other requests that the upstream had in use or queued. */
  readonly aheadTokens: number;
  /** Records that the upstream took `ms` for work of `units` of a kind. */
  observe(key: string, ms: number, units: number): void;
  /** Returns the capacity; may be called more than once. */
  release(): void;
}

export type AllocationResult =
  | { readonly kind: 'granted'; readonly held: HeldCapacity }
  | Exclude<AllocationDecision, { readonly kind: 'granted' }>;

export interface AllocationRequest extends AllocationAsk {
  /** Upstream that did not take what was granted for the request before. */
  readonly refusedBy: Refusal | undefined;
  readonly signal: AbortSignal;
}

export interface AllocationClientOptions {
  readonly self: KnownPeer;
  readonly granters: GranterSelection;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  /** The allocator of this node, for the cells that it allocates itself. */
  readonly allocator: Allocator;
}

export interface AllocationClient {
  /** Asks for capacity in one cell; waits for it up to `maxWaitMs`. */
  acquire(cell: CellKey, req: AllocationRequest): Promise<AllocationResult>;
  receive(answer: Answer): void;
  start(): void;
  stop(): void;
}

interface CellHoldings {
  readonly key: CellKey;
  readonly byUpstream: Map<string, { requests: number; tokens: number }>;
  readonly observer: SpeedObserver;
  lastGrant: number;
  isStatementDue: boolean;
}

/** Creates the client of one node. */
export function createAllocationClient(options: AllocationClientOptions): AllocationClient {
  const { self, granters, datagrams, allocator } = options;
  const cells = new Map<AllocationCell, CellHoldings>();
  const waiting = new Map<number, (answer: Answer) => void>();
  let lastId = 0;
  // Statements of a restarted process must come after those before.
  let sequence = Date.now() * 1_000;
  let timer: NodeJS.Timeout | undefined;

  const holdingsOf = (key: CellKey): CellHoldings => {
    const known = cells.get(key.id) ?? {
      key,
      byUpstream: new Map(),
      observer: createSpeedObserver(),
      lastGrant: 0,
      isStatementDue: false,
    };
    cells.set(key.id, known);
    return known;
  };

  const describe = (cell: CellHoldings): HoldingsStatement => {
    sequence += 1;
    const holdings = [...cell.byUpstream].map(([upstream, { requests, tokens }]): Holding => [
      upstream,
      requests,
      tokens,
    ]);
    const { id } = cell.key;
    const observed = cell.observer.take();
    return { cell: id, sequence, holdings, lastGrant: cell.lastGrant, observed };
  };

  const findAllocator = ({ id, dataCentre }: CellKey): KnownPeer => granters.find(id, dataCentre);

  const sendStatement = (cell: CellHoldings): void => {
    const message: HoldingsMessage = {
      allocationHoldings: { ...describe(cell), node: self.node },
    };
    const peer = findAllocator(cell.key);
    if (peer.node === self.node) allocator.setHoldings(message.allocationHoldings);
    else datagrams.send(message, [peer]);
  };

  /** States the holdings after the current turn, so that changes of one turn make one message. */
  const scheduleStatement = (cell: CellHoldings): void => {
    if (cell.isStatementDue) return;
    cell.isStatementDue = true;
    queueMicrotask(() => {
      cell.isStatementDue = false;
      sendStatement(cell);
    });
  };

  const hold = (
    cell: CellHoldings,
    upstream: string,
    tokens: number,
    aheadTokens: number,
  ): HeldCapacity => {
    const held = cell.byUpstream.get(upstream) ?? { requests: 0, tokens: 0 };
    cell.byUpstream.set(upstream, held);
    held.requests += 1;
    held.tokens += tokens;
    let isReleased = false;
    return {
      upstream: upstream as UpstreamId,
      aheadTokens,
      observe: (key, ms, units) => cell.observer.observe(upstream, key, ms, units),
      release: () => {
        if (isReleased) return;
        isReleased = true;
        held.requests -= 1;
        held.tokens -= tokens;
        if (held.requests === 0) cell.byUpstream.delete(upstream);
        scheduleStatement(cell);
      },
    };
  };

  const sendAsk = (peer: KnownPeer, ask: AskMessage['allocationAsk'], key: CellKey): void => {
    if (peer.node === self.node)
      allocator.ask(key, ask, (answer) => waiting.get(answer.id)?.(answer));
    else datagrams.send({ allocationAsk: ask }, [peer]);
  };

  const cancel = (peer: KnownPeer, id: number): void => {
    if (peer.node === self.node) allocator.cancel(self.node, id);
    else datagrams.send({ allocationCancel: { id, node: self.node } }, [peer]);
  };

  const acquire = (key: CellKey, req: AllocationRequest): Promise<AllocationResult> =>
    new Promise((resolve) => {
      const cell = holdingsOf(key);
      const peer = findAllocator(key);
      lastId += 1;
      const id = lastId;
      const startedAt = monotonicMs();
      const { signal, ...asked } = req;
      const { node, host, port } = self;
      let answerTimer: NodeJS.Timeout | undefined;
      let repeatTimer: NodeJS.Timeout | undefined;
      const finish = (result: AllocationResult): void => {
        if (!waiting.delete(id)) return;
        clearTimeout(answerTimer);
        clearTimeout(repeatTimer);
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const onAbort = (): void => {
        cancel(peer, id);
        finish({ kind: 'refused', waitMs: 0 });
      };
      const send = (): void => {
        const passedMs = monotonicMs() - startedAt;
        const ask: AskMessage['allocationAsk'] = {
          ...asked,
          ...describe(cell),
          id,
          from: { node, host, port },
          pool: key.pool,
          cellKind: key.kind,
          cellDataCentre: key.dataCentre,
          onTargetMs: Math.max(0, req.onTargetMs - passedMs),
          maxWaitMs: Math.max(0, req.maxWaitMs - passedMs),
        };
        answerTimer = setTimeout(() => {
          granters.pause(peer.node);
          finish({ kind: 'unanswered' });
        }, ANSWER_TIMEOUT_MS);
        sendAsk(peer, ask, key);
      };
      waiting.set(id, ({ kind, upstream, grant, aheadTokens, waitMs }) => {
        clearTimeout(answerTimer);
        granters.confirm(peer.node);
        if (kind === 'granted' && upstream !== undefined) {
          cell.lastGrant = Math.max(cell.lastGrant, grant);
          const held = hold(cell, upstream, req.tokens, aheadTokens);
          scheduleStatement(cell);
          finish({ kind: 'granted', held });
        } else if (kind === 'waiting') {
          clearTimeout(repeatTimer);
          repeatTimer = setTimeout(send, REPEAT_MS);
        } else finish(kind === 'refused' ? { kind, waitMs } : { kind: 'unanswered' });
      });
      signal.addEventListener('abort', onAbort, { once: true });
      if (signal.aborted) onAbort();
      else send();
    });

  return {
    acquire,
    receive: (answer) => {
      const settle = waiting.get(answer.id);
      if (settle !== undefined) settle(answer);
    },
    start: () => {
      timer = setInterval(() => {
        for (const cell of cells.values()) if (cell.byUpstream.size > 0) sendStatement(cell);
      }, STATEMENT_MS);
    },
    stop: () => clearInterval(timer),
  };
}
