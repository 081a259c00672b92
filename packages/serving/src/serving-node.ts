/** Assembles a node that serves callers on the platform. */
import { dataCentreId, monotonicMs, sleep } from '@hibiscusbank/core';
import type { PoolId, RouterError, Telemetry, UpstreamId } from '@hibiscusbank/core';
import { createHttpServer } from '@hibiscusbank/gateway';
import type { HttpServer } from '@hibiscusbank/gateway';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import type { Result } from 'neverthrow';
import { createColdLimit } from './cold-limit.js';
import type { EngineReservation, HttpExchange, ServingContext } from './context.js';
import { createDirectory } from './directory.js';
import { createEngineQueue } from './engine-queue.js';
import type { EngineQueue } from './engine-queue.js';
import { createHeardPeers } from './heard-peers.js';
import { createNodeRegistry } from './node-registry.js';
import { createObjectFeed } from './object-feed.js';
import { createOrganisationQuota } from './organisation-quota.js';
import { createPeerLists } from './peer-lists.js';
import { createPeerReports } from './peer-reports.js';
import type { KnownPeer } from './peer-reports.js';
import type { EntryDecoders, EntryStore, UpstreamTransport } from './ports.js';
import { createRepeatBudget } from './repeat-budget.js';
import { createServingGateway } from './serving-gateway.js';
import type { ServingRequest } from './types.js';
import { createUpstreamHealth } from './upstream-health.js';
import { createUpstreamLoads } from './upstream-loads.js';

interface Address {
  readonly host: string;
  readonly port: number;
}

export interface ServingNodeOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly callers: Address;
  /** Where the balancer asks whether the node takes new connections. */
  readonly readiness: Address & { readonly path: string };
  /** Where peers send reports and read lists. */
  readonly peers: Address;
  /** Nodes to report to before the registry has been read. */
  readonly seeds: readonly KnownPeer[];
  readonly stores: {
    readonly tables: EntryStore;
    readonly upstreams: EntryStore;
    readonly outOfService: EntryStore;
    readonly nodes: EntryStore;
  };
  readonly decoders: EntryDecoders;
  readonly transport: UpstreamTransport;
  readonly readRequest: (exchange: HttpExchange) => Result<ServingRequest, RouterError>;
  readonly repeats: {
    readonly ratio: number;
    readonly allowance: number;
    readonly windowMs: number;
  };
  /** Time after which an upstream that leaves must get nothing more. */
  readonly leavingBoundMs: number;
  /** Time between SIGTERM and the end of the process. */
  readonly graceMs: number;
  readonly telemetry: Telemetry;
}

export interface ServingNode {
  start(): Promise<void>;
  /** Takes no new connections after a while, finishes what runs, and stops. */
  drain(): Promise<void>;
}

/** Longest wait of a watch for tables and places out of service. */
const QUIET_WATCH_MS = 5_000;
const QUIET_PAUSE_MS = 30;
/** Upstreams write several times a second; changes gather in this pause. */
const BUSY_WATCH_MS = 1_000;
/** Part of the time in which a leaving upstream must get nothing more. */
const BUSY_PAUSE_SHARE = 0.3;
/** The balancer takes a node out after two questions, a second apart, without success. */
const BALANCER_NOTICE_MS = 2_600;
/** The process ends this long before it would be killed. */
const GRACE_MARGIN_MS = 500;
const IDLE_CHECK_MS = 25;
/** Time after which a caller that found no memory comes back. */
const QUEUE_RETRY_AFTER_MS = 3_000;
/** Idle connections of callers outlive the limit that callers keep to. */
const IDLE_MARGIN_MS = 1_000;
const DEFAULT_IDLE_MS = 20_000;

/** Creates a node; nothing runs before `start`. */
export function createServingNode(options: ServingNodeOptions): ServingNode {
  const { telemetry, stores, transport } = options;
  const startedAt = Date.now();
  const stopping = new AbortController();
  const loads = createUpstreamLoads();
  const prefillLoads = createUpstreamLoads();
  const health = createUpstreamHealth(telemetry);
  const directory = createDirectory(options.decoders, telemetry);
  const queues = new Map<PoolId, EngineQueue<EngineReservation>>();
  const heard = createHeardPeers();
  let draining = false;

  const feeds = {
    tables: createObjectFeed({
      kind: 'tables',
      store: stores.tables,
      telemetry,
      waitMs: QUIET_WATCH_MS,
      pauseMs: QUIET_PAUSE_MS,
      onChange: directory.setTables,
    }),
    upstreams: createObjectFeed({
      kind: 'upstreams',
      store: stores.upstreams,
      telemetry,
      waitMs: BUSY_WATCH_MS,
      pauseMs: options.leavingBoundMs * BUSY_PAUSE_SHARE,
      onChange: (entries) => {
        directory.setUpstreams(entries);
        const known = directory.upstreams();
        transport.retain(known);
        health.retain(new Set<UpstreamId>(known.map(({ id }) => id)));
      },
    }),
    outOfService: createObjectFeed({
      kind: 'outOfService',
      store: stores.outOfService,
      telemetry,
      waitMs: QUIET_WATCH_MS,
      pauseMs: QUIET_PAUSE_MS,
      onChange: directory.setOutOfService,
    }),
  };

  const self: KnownPeer = { node: options.name, ...options.peers };
  const registry = createNodeRegistry({
    self,
    store: stores.nodes,
    telemetry,
    isReachable: heard.has,
  });

  const recipients = (): readonly KnownPeer[] => {
    const all = new Map<string, KnownPeer>();
    for (const peer of [...options.seeds, ...registry.peers(), ...heard.reports()]) {
      all.set(`${peer.host}:${peer.port}`, peer);
    }
    all.delete(`${self.host}:${self.port}`);
    return [...all.values()];
  };

  const quota = createOrganisationQuota(() => {
    const known = registry.names();
    const group = known.filter((node) => node === self.node || heard.has(node));
    return group.length / known.length;
  });

  const reports = createPeerReports({
    self,
    startedAt,
    heard,
    peers: recipients,
    telemetry,
    create: () => ({
      decode: loads.own(),
      prefill: prefillLoads.own(),
      spent: quota.spent(),
      revisions: Object.fromEntries(
        Object.entries(feeds).map(([kind, feed]) => [kind, feed.changeRevision()]),
      ),
    }),
    receive: (report) => {
      loads.applyPeer(report.node, report.decode);
      prefillLoads.applyPeer(report.node, report.prefill);
      quota.applyPeer(report.node, report.startedAt, report.spent);
    },
    onSilent: (node) => {
      loads.dropPeer(node);
      prefillLoads.dropPeer(node);
    },
  });

  const lists = createPeerLists({ feeds, reports: heard.reports, telemetry });

  const context: ServingContext = {
    dataCentre: dataCentreId(options.dataCentre),
    directory,
    transport,
    quota,
    budget: createRepeatBudget({ ...options.repeats, nodes: () => registry.names().length }),
    cold: createColdLimit({ self: self.node, nodes: registry.names }),
    health,
    loads,
    prefillLoads,
    queue: (pool) => {
      let queue = queues.get(pool);
      if (queue === undefined) {
        queue = createEngineQueue({ retryAfterMs: () => QUEUE_RETRY_AFTER_MS });
        queues.set(pool, queue);
      }
      return queue;
    },
    telemetry,
    random: Math.random,
  };
  const gateway = createServingGateway({ context, readRequest: options.readRequest });

  const app = new Hono<{ Bindings: HttpBindings }>();
  app.all('*', async (c) => {
    await gateway.serve(c.env);
    return RESPONSE_ALREADY_SENT;
  });
  const idleMs = (): number => directory.tables()?.limits.idleTimeoutMs ?? DEFAULT_IDLE_MS;
  const callers = createHttpServer(app.fetch, options.callers, {
    idleTimeoutMs: () => idleMs() + IDLE_MARGIN_MS,
  });

  const readinessApp = new Hono();
  readinessApp.get(options.readiness.path, (c) =>
    c.body(null, directory.isComplete() && !draining ? 200 : 503),
  );
  readinessApp.get('/metrics', async (c) => c.text(await telemetry.metrics.registry.metrics()));
  const readiness = createHttpServer(readinessApp.fetch, options.readiness);
  const peerServer = createHttpServer(lists.app.fetch, options.peers);
  const servers: readonly HttpServer[] = [callers, readiness, peerServer];

  return {
    start: async () => {
      telemetry.log('nodeStarted', { startedAt });
      await Promise.all([reports.start(), ...servers.map((server) => server.start())]);
      lists.start();
      for (const feed of Object.values(feeds)) void feed.run(stopping.signal);
      void registry.run(stopping.signal);
    },
    drain: async () => {
      if (draining) return;
      draining = true;
      telemetry.log('nodeDraining', { active: gateway.activeRequests() });
      gateway.beginDrain();
      const deadline = monotonicMs() + options.graceMs - GRACE_MARGIN_MS;
      await sleep(BALANCER_NOTICE_MS);
      void callers.close();
      while (gateway.activeRequests() > 0 && monotonicMs() < deadline) await sleep(IDLE_CHECK_MS);
      telemetry.log('nodeStopped', { active: gateway.activeRequests() });
      stopping.abort();
      reports.stop();
      lists.stop();
      await Promise.all([readiness.kill(), peerServer.kill()]);
    },
  };
}
