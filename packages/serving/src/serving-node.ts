/** Assembles a node that serves requests on the platform. */
import { dataCentreId, monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import { createChangeNotices } from './change-notices.js';
import { createChangingRoles } from './changing-roles.js';
import { createColdLimit } from './cold-limit.js';
import type { ServingContext } from './context.js';
import { createCrashProtection } from './crash-protection.js';
import { createDirectory } from './directory.js';
import { createDrainTime } from './drain-time.js';
import { createEnginePace } from './engine-pace.js';
import { createEngineQueues } from './engine-queues.js';
import { createExplainApp } from './explain-placement.js';
import { createLeaseFactory } from './lease-objects.js';
import { createMovedUpstreams } from './moved-upstreams.js';
import { createNodeAllocation } from './node-allocation.js';
import { createNodeDrain } from './node-drain.js';
import { createNodeGateway } from './node-gateway.js';
import { createDrainView, createNodePeers } from './node-peers.js';
import { createNodeReports } from './node-reports.js';
import { createOrganisationQuota } from './organisation-quota.js';
import { createPeerDatagrams } from './peer-datagrams.js';
import { createPeerLists } from './peer-lists.js';
import { createPeerMessages } from './peer-messages.js';
import { isLargeFleet, localReportIntervalMs } from './peer-reports.js';
import { createPrefillRate } from './prefill-rate.js';
import { createPrefillWork } from './prefill-work.js';
import { createQuotaGrants } from './quota-grants.js';
import { createRetryBudget } from './retry-budget.js';
import { createRoleOrders } from './role-orders.js';
import { createRollouts } from './rollouts/index.js';
import { createRunDurations } from './run-durations.js';
import type { ServingNodeOptions } from './serving-node-options.js';
import { startListeners } from './start-listeners.js';
import { createStoreFeeds } from './store-feeds.js';
import { computeStreamLifeMs, createStreamOrigins } from './stream-origins/index.js';
import { createUpstreamHealth } from './upstream-health.js';
import { createUpstreamLoads } from './upstream-loads.js';
import { createUpstreamStatements } from './upstream-statements.js';
import { createWatcherSelection } from './watcher-selection.js';

export interface ServingNode {
  start(): Promise<void>;
  /**
   * Reports not ready, refuses what cannot end in time, closes the listener, waits for active requests,
   * and stops. Further calls return the same drain.
   */
  drain(): Promise<void>;
}

/** Retry delay for callers whose request found no free memory in time. */
const QUEUE_RETRY_AFTER_MS = 3_000;

/** Creates a node; nothing runs before `start`. */
export function createServingNode(options: ServingNodeOptions): ServingNode {
  const { telemetry, stores, transport } = options;
  const startedAt = Date.now();
  const stopping = new AbortController();
  const loads = createUpstreamLoads();
  const prefillLoads = createUpstreamLoads();
  const prefillWork = createPrefillWork();
  const health = createUpstreamHealth(telemetry);
  const pace = createEnginePace();
  const directory = createDirectory(options.decoders, telemetry);
  const drainTime = createDrainTime();
  const self = { node: options.name, dataCentre: options.dataCentre, ...options.peers };
  const peers = createNodePeers({ self, seeds: options.seeds, store: stores.nodes, telemetry });
  const { live: livePeers, registry, contact, recipients, fleetSize, reachableShare } = peers;
  const changing = createChangingRoles(livePeers.reports);
  let isListening = false;

  const watcherSelection = createWatcherSelection({
    self: self.node,
    dataCentre: options.dataCentre,
    peers: peers.localReports,
  });

  const quota = createOrganisationQuota({
    reachableShare,
    tolerance: options.quotaTolerance,
    startedAt: monotonicMs(),
    epoch: startedAt,
    dataCentre: options.dataCentre,
    reportIntervalMs: () => localReportIntervalMs(peers.localReports().length, fleetSize()),
    usesSummaries: () => isLargeFleet(fleetSize()),
  });

  const datagrams = createPeerDatagrams({ self, telemetry });
  const quotaGrants = createQuotaGrants({
    self,
    quota,
    datagrams,
    peers: recipients,
    isSilent: livePeers.hasTimedOut,
    startOf: livePeers.startOf,
    startedAt: monotonicMs(),
    epoch: startedAt,
    windowMs: options.quotaTolerance.windowMs,
    telemetry,
  });
  const crashProtection = createCrashProtection({
    self: self.node,
    transport,
    store: stores.quarantines,
    era: options.era,
    datagrams,
    recipients,
    peers: livePeers.names,
    random: Math.random,
    telemetry,
  });
  const streamOrigins = createStreamOrigins({
    self,
    store: stores.streamOrigins,
    era: options.era,
    datagrams,
    recipients,
    livePeers: livePeers.reports,
    lifeMs: () => computeStreamLifeMs(directory.tables()),
    random: Math.random,
    telemetry,
  });
  registry.onRemoved(streamOrigins.forget);
  const isReady = (): boolean =>
    isListening &&
    directory.isComplete() &&
    !crashProtection.isWaiting() &&
    !drainTime.isDraining();
  const { limits, unavailable } = createUpstreamStatements({
    self,
    transport,
    datagrams,
    peers: recipients,
    isSilent: livePeers.hasTimedOut,
    fleetSize,
    reachableShare,
    telemetry,
  });
  const coldLimit = createColdLimit({
    self: self.node,
    nodes: () => (registry.isRead() ? registry.names() : []),
  });
  const notices = createChangeNotices({ datagrams, recipients: peers.localReports });

  const rollouts = createRollouts({
    self,
    startedAt,
    bounds: options.rolloutBounds,
    peers: livePeers.names,
    recipients,
    reachesMajority: peers.reachesMajority,
    usable: directory.usable,
    store: stores.rollouts,
    decode: options.decoders.rollout,
    datagrams,
    telemetry,
  });

  const feeds = createStoreFeeds({
    stores,
    era: options.era,
    decoders: options.decoders,
    bounds: options.bounds,
    watcherSelection,
    onTables: (entries) => {
      directory.setTables(entries);
      quota.setOrganisations(directory.tables()?.organisations ?? []);
    },
    onUpstreams: (entries) => {
      directory.setUpstreams(entries);
      const known = directory.upstreams();
      transport.retain(known);
      const ids = new Set<UpstreamId>(known.map(({ id }) => id));
      health.retain(ids);
      pace.retain(ids);
      limits.retain(known);
      coldLimit.retain(ids);
      rollouts.setUpstreams(known);
      streamOrigins.setUpstreams(known);
    },
    onOutOfService: directory.setOutOfService,
    onRollouts: rollouts.setOrders,
    onStoreDelta: notices.forward,
    telemetry,
  });

  const lists = createPeerLists({
    feeds: feeds.byKind,
    reports: livePeers.reports,
    random: Math.random,
    telemetry,
  });

  const allocation = createNodeAllocation({
    self,
    dataCentre: options.dataCentre,
    peers: recipients,
    isSilent: livePeers.hasTimedOut,
    isActive: (pool) => isLargeFleet(fleetSize()) && !rollouts.isRunning(pool),
    directory,
    // The context is complete before the first message arrives.
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    context: () => context,
    datagrams,
    telemetry,
  });

  const reports = createNodeReports({
    self,
    startedAt,
    livePeers,
    datagrams,
    recipients,
    feeds,
    lists,
    isReady,
    drainTime,
    loads,
    prefillLoads,
    prefillWork,
    quota,
    changing,
    crashProtection,
    limits,
    unavailable,
    watcherSelection,
    contact,
    registry,
    onHeard: (node) => {
      allocation.recordReport(node);
      quotaGrants.recordReport(node);
    },
    telemetry,
  });

  const roleOrders = createRoleOrders({
    self: self.node,
    peers: livePeers.names,
    reachesMajority: peers.reachesMajority,
    isRollingOut: rollouts.isRunning,
    changing,
    lease: createLeaseFactory({
      store: stores.leases,
      era: options.era,
      holder: self.node,
      telemetry,
    }),
    directory,
    loads,
    prefillLoads,
    prefillWork,
    transport,
    onOrdered: reports.sendToAll,
    telemetry,
  });

  const context: ServingContext = {
    dataCentre: dataCentreId(options.dataCentre),
    directory,
    transport,
    quota: { debit: quotaGrants.debit, refund: quota.refund },
    retryBudget: createRetryBudget({
      ...options.retryBudget,
      nodes: () => (registry.isRead() ? fleetSize() : undefined),
    }),
    crashProtection,
    streamOrigins,
    permits: limits,
    unavailable,
    coldLimit,
    rollouts,
    allocation,
    health,
    moved: createMovedUpstreams(),
    pace,
    loads,
    prefillLoads,
    prefillWork,
    prefillRate: createPrefillRate(),
    drain: drainTime,
    drainView: createDrainView(drainTime, peers),
    durations: createRunDurations(),
    isDataCentreSilent: contact.isSilent,
    isChanging: changing.isChanging,
    queueFor: createEngineQueues(() => QUEUE_RETRY_AFTER_MS),
    telemetry,
    random: Math.random,
  };

  const receive = createPeerMessages({
    handlers: [
      limits.receive,
      quotaGrants.receive,
      allocation.receive,
      rollouts.receive,
      crashProtection.receive,
      streamOrigins.receive,
      reports.receive,
    ],
    onLeaving: (leaving) => unavailable.applyReport([leaving]),
    onChange: ({ notice, delta }) => feeds.byKind[notice]?.apply(delta),
    telemetry,
  });

  const { gateway, servers } = createNodeGateway({
    options,
    context,
    isReady,
    peerApps: [lists.app, crashProtection.app, rollouts.app, createExplainApp(self.node, context)],
  });

  const drain = createNodeDrain({
    gateway,
    servers,
    drainTime,
    graceMs: options.graceMs,
    onBegin: () => {
      void roleOrders.release();
      reports.sendToAll();
    },
    onEnd: () => {
      stopping.abort();
      reports.stop();
      watcherSelection.stop();
      allocation.stop();
      datagrams.stop();
      lists.stop();
    },
    telemetry,
  });

  return {
    start: async () => {
      telemetry.log('nodeStarted', { startedAt });
      const datagramListener = { ...options.peers, start: () => datagrams.start(receive) };
      await startListeners([...servers.listeners, datagramListener], telemetry);
      isListening = true;
      reports.start();
      allocation.start();
      feeds.run(stopping.signal);
      for (const { run } of [registry, roleOrders, rollouts, crashProtection, streamOrigins])
        void run(stopping.signal);
    },
    drain,
  };
}
