import { createTelemetry, dataCentreId, poolId, upstreamId } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createAllocator, toCell } from '../src/allocation/allocator.js';
import type { AskMessage } from '../src/allocation/messages.js';

const cell = toCell(poolId('engines'), 'run', undefined);

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance', 'Date', 'setInterval', 'clearInterval'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const createOne = () =>
  createAllocator({
    listCandidates: () => [
      {
        id: upstreamId('engine'),
        dataCentre: dataCentreId('a'),
        capacity: { requests: 64, tokens: 10_000 },
        isQueueing: false,
        penalty: 0,
        reported: { requests: 0, tokens: 0 },
      },
    ],
    telemetry: createTelemetry({}, () => {}),
  });

const createAsk = (id: number, node: string): AskMessage['allocationAsk'] => ({
  id,
  from: { node, host: '127.0.0.1', port: 1 },
  cell: cell.id,
  sequence: id,
  holdings: [],
  lastGrant: 0,
  observed: [],
  pool: cell.pool,
  cellKind: cell.kind,
  cellDataCentre: undefined,
  tokens: 9_000,
  organisation: 'light',
  priority: 0,
  onTargetMs: 0,
  maxWaitMs: 0,
  dataCentre: 'a',
  excluded: [],
  refusedBy: undefined,
});

// Nothing waits in calm, so what is out of date was never dropped: a node that ended kept its memory for good.
test('the memory that a node was granted before it ended is given to others, also while nothing waits', () => {
  const allocator = createOne();
  const kinds: string[] = [];
  const ask = (id: number, node: string): void =>
    allocator.ask(cell, createAsk(id, node), ({ kind }) => kinds.push(kind));
  ask(1, 'node-1');
  ask(2, 'node-2');
  vi.advanceTimersByTime(5_000);
  ask(3, 'node-2');
  expect(kinds).toEqual(['granted', 'refused', 'granted']);
});
