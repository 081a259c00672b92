/** Fakes for the tests of the reconciler. */
import {
  cellId,
  createError,
  createTelemetry,
  dataCentreId,
  poolId,
  upstreamId,
  vmId,
} from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import type {
  CacheEvents,
  EngineHold,
  EngineLoad,
  EngineOrder,
  EnginePort,
} from '@hibiscusbank/engines';
import type { Member, Membership, PeerHandler, PeerNetwork } from '@hibiscusbank/peers';
import type { PoolEntry, UpstreamEntry } from '@hibiscusbank/settings';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { OwnedCell } from '../src/types.js';

export const telemetry = createTelemetry({}, () => {});
export const CELL = cellId('layout-scribe/almaty-a/0');
const DATA_CENTRE = dataCentreId('almaty-a');

export function createEngineEntry(name: string, role: UpstreamEntry['role']): UpstreamEntry {
  return {
    id: upstreamId(name),
    pool: poolId('layout-scribe'),
    role,
    dataCentre: DATA_CENTRE,
    address: `http://${name}`,
    capacity: 20,
    memoryBlocks: 100,
    coldLimit: 2,
    coldStepMs: 1_000,
    linkBytesPerMs: 1_000,
    checksOrders: false,
  };
}

export function createCell(
  upstreams: readonly UpstreamEntry[],
  pool: Partial<PoolEntry> = {},
): OwnedCell {
  return {
    cell: CELL,
    upstreams,
    pool: {
      id: poolId('layout-scribe'),
      kind: 'model',
      model: 'scribe',
      version: '2',
      adapters: [],
      blockTokens: 1_000,
      kvBytesPerToken: 1,
      prefillTokensPerMs: 1,
      decodeMsPerToken: 1,
      balanceRoles: true,
      upstreams,
      ...pool,
    },
  };
}

export interface FakeEngine {
  holds: EngineHold[];
  load: EngineLoad;
  readCacheEvents: (after: number) => CacheEvents;
  readonly cancelled: string[];
  readonly orders: EngineOrder[];
}

export function createFakeEngine(role: EngineLoad['role'] = 'decode'): FakeEngine {
  return {
    holds: [],
    load: {
      slotsUsed: 0,
      slots: 20,
      blocksUsed: 0,
      blocks: 100,
      prefillQueueMs: 0,
      models: ['scribe@2'],
      role,
    },
    readCacheEvents: () => ({ latestSeq: 0, events: [] }),
    cancelled: [],
    orders: [],
  };
}

/** Creates an engine port over fake engines, keyed by the host of their address. */
export function createFakePort(engines: Record<string, FakeEngine>): EnginePort {
  const failUnused = () => errAsync(createError('internal', 'no test calls this operation'));
  const find = (address: string): FakeEngine => {
    const engine = engines[address.replace('http://', '')];
    if (engine === undefined) throw new Error(`no engine at ${address}`);
    return engine;
  };
  return {
    prefill: failUnused,
    decode: failUnused,
    resume: failUnused,
    cancel: (address, ref) => {
      const engine = find(address);
      engine.cancelled.push(ref.requestId);
      engine.holds = engine.holds.filter((hold) => hold.requestId !== ref.requestId);
      return okAsync(undefined);
    },
    listHolds: (address) => okAsync(find(address).holds),
    readLoad: (address) => okAsync(find(address).load),
    readCacheEvents: (address, after) => okAsync(find(address).readCacheEvents(after)),
    order: (address, order) => {
      const engine = find(address);
      engine.orders.push(order);
      if (order.role !== undefined) engine.load = { ...engine.load, role: order.role };
      return okAsync(undefined);
    },
  };
}

/** Answer of a peer: `undefined` for none (a timeout), `refused` for a refused connection. */
export type PeerAnswer = (() => unknown) | 'refused' | undefined;

/** Creates a network of peers with fixed answers. Calls to this VM go to its registered handlers. */
export function createFakeNetwork(answers: Map<VmId, PeerAnswer>): PeerNetwork {
  const handlers = new Map<string, PeerHandler>();
  const self = { vm: vmId('vm-1'), dataCentre: DATA_CENTRE };
  return {
    self,
    handle: (method, handler) => {
      handlers.set(method, handler);
    },
    call: <T>(to: VmId, method: string, params: unknown) => {
      if (to === self.vm) {
        const handled = handlers.get(method)?.(params, self) ?? Promise.resolve(undefined);
        return ResultAsync.fromSafePromise(handled as Promise<T>);
      }
      const answer = answers.get(to);
      if (answer === undefined) return errAsync(createError('timeout', 'no answer'));
      if (answer === 'refused') return errAsync(createError('peer_unavailable', 'refused'));
      return okAsync(answer() as T);
    },
    start: async () => {},
    stop: async () => {},
  };
}

export function createFakeMembership(members: Member[]): Membership {
  return {
    self: { vm: vmId('vm-1'), dataCentre: DATA_CENTRE },
    members: () => members,
  } as unknown as Membership;
}

export function createMember(name: string, state: Member['state'] = 'live'): Member {
  return { vm: vmId(name), dataCentre: DATA_CENTRE, peerAddress: '', state, incarnation: 1 };
}
