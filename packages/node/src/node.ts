/** Creates and connects the modules of one node. */
import { countTokens, createTelemetry, sleep, writeToRoarr } from '@hibiscusbank/core';
import { createConfigurationReplica } from '@hibiscusbank/configuration';
import { createGateway } from '@hibiscusbank/gateway';
import { createMembership, createTcpNetwork } from '@hibiscusbank/peers';
import type { Membership } from '@hibiscusbank/peers';
import { createEscrowQuota } from '@hibiscusbank/quota';
import { createScheduler } from '@hibiscusbank/scheduler';
import type { CellScheduler } from '@hibiscusbank/scheduler';
import type { NodeSettings } from '@hibiscusbank/settings';
import { createAdminServer } from './admin.js';
import { createEngineControl } from './engine-control.js';
import { createRecentRequestLogs } from './recent-request-logs.js';
import type { NodePorts, RouterNode } from './types.js';

/**
 * Time for load balancers to notice that a draining node is not ready. The node still serves
 * requests that arrive meanwhile.
 */
const READINESS_GRACE_MS = 2_000;

/** Creates a node. Its listeners and background tasks run only after `start`. */
export function createNode(settings: NodeSettings, ports: NodePorts): RouterNode {
  const self = { vm: settings.vm, dataCentre: settings.dataCentre };
  const requestLogs = createRecentRequestLogs();
  const writeLog = ports.logSink ?? writeToRoarr;
  const telemetry = createTelemetry(self, (level, context, text) => {
    requestLogs.record(level, context, text);
    writeLog(level, context, text);
  });
  const listens = ports.listens ?? true;
  let draining = false;

  const schedulerRef: { current: CellScheduler | undefined } = { current: undefined };
  const membershipRef: { current: Membership | undefined } = { current: undefined };
  const network = (ports.createNetwork ?? createTcpNetwork)({
    self,
    listen: settings.peerListen,
    secret: settings.peerSecret,
    findAddress: (vm) => membershipRef.current?.findAddress(vm),
    telemetry,
  });
  const membership = createMembership({
    self,
    selfAddress: `${settings.peerListen.host}:${settings.peerListen.port}`,
    network,
    vmList: ports.vmList,
    telemetry,
  });
  membershipRef.current = membership;
  const configuration = createConfigurationReplica({
    objectApi: ports.objectApi,
    network,
    membership,
    telemetry,
    unconfirmedKeysMs: settings.limits.unconfirmedKeysMs,
  });
  const quota = createEscrowQuota({
    network,
    membership,
    configuration,
    objectApi: ports.objectApi,
    telemetry,
  });
  const engineControl = createEngineControl({
    self,
    ports,
    network,
    membership,
    configuration,
    telemetry,
    getScheduler: () => schedulerRef.current,
  });
  const scheduler = createScheduler({
    network,
    membership,
    configuration: engineControl.configuration,
    telemetry,
    findLeaseEpoch: engineControl.epochIfHeld,
    hasColdShare: engineControl.hasColdShare,
    findCachedTokens: engineControl.findCachedTokens,
    onPrefill: engineControl.onPrefill,
    onAbandoned: engineControl.onAbandoned,
    leaveLimitMs: settings.limits.drainTimeoutMs,
  });
  schedulerRef.current = scheduler;
  const gateway = createGateway({
    vm: self.vm,
    listen: settings.listen,
    limits: settings.limits,
    configuration,
    quota,
    scheduler,
    engines: ports.engines,
    upstreams: ports.upstreams,
    objectApi: ports.objectApi,
    telemetry,
    countTokens: ports.countTokens ?? countTokens,
  });

  const findUnreadyReason = (): string | undefined => {
    if (draining) return 'draining';
    if (!configuration.isReady()) return 'configuration not loaded';
    if (!quota.isReady()) return 'no ring of quota holders known';
    if (configuration.isVmOutOfService(self.vm)) return 'this VM is out of service';
    if (configuration.isDataCentreOutOfService(self.dataCentre))
      return 'this data centre is out of service';
    return undefined;
  };

  const admin = createAdminServer({
    node: { telemetry, configuration, membership, scheduler, quota },
    listen: settings.adminListen,
    findUnreadyReason,
    activeRequests: () => gateway.activeRequests(),
    explainRequest: requestLogs.find,
  });

  const stopModules = async (): Promise<void> => {
    await engineControl.stop();
    await scheduler.stop();
    await quota.stop();
    await configuration.stop();
    await membership.stop();
    await admin.stop();
    await network.stop();
    telemetry.log('nodeStopped');
  };

  return {
    telemetry,
    configuration,
    membership,
    network,
    scheduler,
    quota,
    start: async () => {
      await network.start();
      if (listens) await admin.start();
      await membership.start();
      await configuration.start();
      await quota.start();
      await scheduler.start();
      engineControl.start();
      if (listens) await gateway.start();
      telemetry.log('nodeStarted');
    },
    isReady: () => findUnreadyReason() === undefined,
    serve: gateway.serve,
    port: () => gateway.port(),
    adminPort: () => admin.port(),
    drain: async () => {
      draining = true;
      telemetry.log('nodeDraining', { active: gateway.activeRequests() });
      gateway.beginDrain();
      const gracePeriod = sleep(READINESS_GRACE_MS);
      await membership.leave();
      // Both wait for the streams of this node, so they run concurrently under one time limit.
      const { drainTimeoutMs } = settings.limits;
      await Promise.all([
        scheduler.leave(),
        gracePeriod.then(() => gateway.waitUntilIdle(drainTimeoutMs)),
      ]);
      await quota.leave();
      await gateway.stop();
      // Requests that arrived during the handover can still be running.
      await gateway.waitUntilIdle(settings.limits.drainTimeoutMs);
      await stopModules();
    },
    stop: async () => {
      await gateway.kill();
      await stopModules();
    },
  };
}
