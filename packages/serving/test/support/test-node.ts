import {
  createTelemetry,
  dataCentreId,
  organisationId,
  poolId,
  routeId,
  upstreamId,
} from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import { createServingNode, upstreamVersion } from '../../src/index.js';
import type {
  HttpExchange,
  RoleOrder,
  RolloutOrder,
  ServingNode,
  ServingRoute,
  ServingTables,
  ServingUpstream,
  StoreEra,
  UpstreamReply,
  UpstreamSend,
  UpstreamStatement,
  UpstreamTransport,
} from '../../src/index.js';
import { createFakeStore, createTestEra } from './fake-store.js';
import type { FakeStore } from './fake-store.js';
import { findFreePort } from './free-port.js';

export const plainPool = poolId('plain');
export const enginePool = poolId('engines');

export function createRoute(change: Partial<ServingRoute> = {}): ServingRoute {
  return {
    id: routeId('lookup'),
    host: 'site.example',
    pathPrefix: '/lookup/',
    targets: [{ pool: plainPool, weight: 1 }],
    kind: 'idempotent',
    // Long enough that a slow machine does not affect test results.
    timeLimitMs: 60_000,
    targetMs: 100,
    priority: 1,
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    ...change,
  };
}

export function createTables(change: Partial<ServingTables> = {}): ServingTables {
  return {
    version: 1,
    routes: [
      createRoute(),
      createRoute({ id: routeId('book'), pathPrefix: '/book/', kind: 'non_idempotent' }),
      createRoute({
        id: routeId('note'),
        pathPrefix: '/note/',
        kind: 'stream',
        targets: [{ pool: enginePool, weight: 1 }],
        timeLimitMs: 14_000,
        targetMs: 900,
        maxAttempts: 1,
      }),
      createRoute({
        id: routeId('resumable'),
        pathPrefix: '/resumable/',
        kind: 'stream',
        targets: [{ pool: enginePool, weight: 1 }],
        timeLimitMs: 14_000,
        targetMs: 900,
        maxAttempts: 2,
        isResumable: true,
      }),
    ],
    pools: [
      { id: plainPool, maxConnections: 96, coldRequestsPerSecond: 0, engine: undefined },
      {
        id: enginePool,
        maxConnections: 96,
        coldRequestsPerSecond: 0,
        engine: {
          slots: 64,
          memoryTokens: 60_000,
          reservationTtlMs: 2_000,
          kvHandleTtlMs: 500,
          tokensPerEvent: 11,
        },
      },
    ],
    organisations: [
      {
        id: organisationId('workshop'),
        keys: ['key-1'],
        priority: undefined,
        ratePerSecond: 0,
        burst: 0,
        countsTokens: true,
        defaultTokens: 200,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...change,
  };
}

export function createUpstream(
  name: string,
  change: Partial<ServingUpstream> = {},
): ServingUpstream {
  return {
    id: upstreamId(name),
    pool: plainPool,
    address: '127.0.0.1:1',
    dataCentre: dataCentreId('a'),
    version: upstreamVersion('v1'),
    slots: 6,
    isReady: true,
    role: undefined,
    startedAt: 1,
    coldMs: 0,
    ...change,
  };
}

/**
 * Creates a response whose chunks are delivered immediately. `isComplete` is whether the body ends
 * completely.
 */
export function createReply(
  chunks: readonly string[],
  isComplete = true,
  status = 200,
): UpstreamReply {
  return {
    status,
    headers: { 'content-type': 'text/event-stream' },
    read: async (onData) => {
      for (const chunk of chunks) onData(Buffer.from(chunk));
      return isComplete;
    },
    pause: () => {},
    resume: () => {},
    abort: () => {},
  };
}

/** Creates what a response states that was sent just now. */
export function createStatement(change: Partial<UpstreamStatement> = {}): UpstreamStatement {
  return { limit: undefined, isLeaving: false, pauseMs: 0, sentAt: performance.now(), ...change };
}

export interface FakeTransport extends UpstreamTransport {
  readonly sends: UpstreamSend[];
  readonly prefills: UpstreamSend[];
  readonly dropped: string[];
  readonly orders: RoleOrder[];
  orderReply: UpstreamTransport['orderRole'];
  reply: (send: UpstreamSend) => ReturnType<UpstreamTransport['send']>;
  reserveReply: UpstreamTransport['reserve'];
  prefillReply: UpstreamTransport['prefill'];
  /** Passes a statement of an upstream to the node. */
  state: Parameters<UpstreamTransport['onStatement']>[0];
}

/** Creates a transport with configurable responses. */
export function createFakeTransport(): FakeTransport {
  const transport: FakeTransport = {
    sends: [],
    prefills: [],
    dropped: [],
    orders: [],
    orderReply: async () => ok(undefined),
    reply: async () => ok(createReply(['done'])),
    reserveReply: async () => ok('reservation'),
    prefillReply: async (send) => ok({ upstream: send.upstream, handle: 'handle' }),
    send: (send) => {
      transport.sends.push(send);
      return transport.reply(send);
    },
    prefill: (send) => {
      transport.prefills.push(send);
      return transport.prefillReply(send);
    },
    reserve: (...args) => transport.reserveReply(...args),
    orderRole: (order) => {
      transport.orders.push(order);
      return transport.orderReply(order);
    },
    isListening: async () => true,
    dropReservation: (_, reservation) => transport.dropped.push(reservation),
    dropHandle: ({ handle }) => transport.dropped.push(handle),
    onStatement: (listener) => {
      transport.state = listener;
    },
    state: () => {},
    retain: () => {},
  };
  return transport;
}

export interface TestStores {
  readonly era: StoreEra;
  readonly tables: FakeStore;
  readonly upstreams: FakeStore;
  readonly outOfService: FakeStore;
  readonly nodes: FakeStore;
  readonly leases: FakeStore;
  readonly quarantines: FakeStore;
  readonly streamOrigins: FakeStore;
  readonly rollouts: FakeStore;
}

export function createTestStores(tables = createTables()): TestStores {
  const era = createTestEra();
  const stores = {
    era,
    tables: createFakeStore(era),
    upstreams: createFakeStore(era),
    outOfService: createFakeStore(era),
    nodes: createFakeStore(era),
    leases: createFakeStore(era),
    rollouts: createFakeStore(era),
    quarantines: createFakeStore(era),
    streamOrigins: createFakeStore(era),
  };
  stores.tables.put('main', tables);
  return stores;
}

export interface TestNode {
  readonly node: ServingNode;
  readonly url: string;
  readonly port: number;
  readonly readyUrl: string;
  readonly events: string[];
  readonly peer: { readonly node: string; readonly host: string; readonly port: number };
}

let requestCount = 0;

/** Starts a node on loopback that reads its configuration from `stores`. */
export async function startTestNode(
  stores: TestStores,
  transport: UpstreamTransport,
  name = 'node-1',
  seeds: readonly TestNode['peer'][] = [],
): Promise<TestNode> {
  const host = '127.0.0.1';
  const [callers, readiness, peers] = await Promise.all([
    findFreePort(),
    findFreePort(),
    findFreePort(),
  ]);
  const events: string[] = [];
  const node = createServingNode({
    name,
    dataCentre: 'a',
    callers: { host, port: callers },
    readiness: { host, port: readiness, path: '/ready' },
    peers: { host, port: peers },
    seeds,
    era: stores.era,
    stores,
    decoders: {
      tablesOrder: (value) => [(value as ServingTables).version],
      upstreamOrder: (value) => [(value as ServingUpstream).startedAt],
      tablesName: 'main',
      tables: (value) => value as ServingTables,
      upstream: (_, value) => (value === null ? undefined : (value as ServingUpstream)),
      rollout: (_, value) => value as RolloutOrder,
    },
    transport,
    readRequest: ({ incoming }: HttpExchange) => {
      requestCount += 1;
      const { headers } = incoming;
      if (headers.host === undefined) return err(new Error('no host') as never);
      const usage = /^(\d+),(\d+)$/.exec(String(headers['x-usage'] ?? ''));
      return ok({
        id: headers['x-id']?.toString() ?? `request-${requestCount}`,
        method: incoming.method ?? 'GET',
        path: incoming.url ?? '/',
        host: 'site.example',
        headers: {},
        key: headers.authorization?.replace('Bearer ', ''),
        maxWaitMs: undefined,
        usage:
          usage === null
            ? undefined
            : {
                promptTokens: Number(usage[1]),
                maxOutputTokens: Number(usage[2]),
                expectedOutputTokens: undefined,
              },
        promptParts: String(headers['x-parts'] ?? '')
          .split(',')
          .filter(Boolean),
        lastEventId: headers['last-event-id']?.toString(),
        firstAttempt: headers.resumes?.toString(),
      });
    },
    retryBudget: { ratio: 0.2, allowance: 52, windowMs: 10_000 },
    quotaTolerance: { windowMs: 8_000, ratio: 0.1, allowance: 0 },
    bounds: {
      recoveryMs: 3_000,
      applyTablesWithinMs: 2_000,
      stopSendingWithinMs: 2_000,
      leaveDataCentreWithinMs: 5_000,
    },
    rolloutBounds: { exposeShare: 0.1, exposeSlack: 50 },
    machine: undefined,
    graceMs: 8_000,
    telemetry: createTelemetry({ vm: name }, (_, context, text) => {
      events.push(`${text} ${JSON.stringify(context)}`);
    }),
  });
  await node.start();
  return {
    node,
    url: `http://${host}:${callers}`,
    port: callers,
    readyUrl: `http://${host}:${readiness}/ready`,
    events,
    peer: { node: name, host, port: peers },
  };
}

/** Waits until a condition holds. A wait that never ends is stopped by the time-out of the test. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}

export async function waitUntilReady({ readyUrl }: TestNode): Promise<void> {
  await waitUntil(async () => (await fetch(readyUrl)).status === 200);
}
