/** Assembles the modules of one node. */
import { countTokens, createTelemetry } from '@hibiscusbank/core';
import { createConfigurationReplica } from '@hibiscusbank/configuration';
import { createGateway } from '@hibiscusbank/gateway';
import { createMembership, createTcpNetwork } from '@hibiscusbank/peers';
import type { Membership } from '@hibiscusbank/peers';
import { createLocalQuota } from '@hibiscusbank/quota';
import { createScheduler } from '@hibiscusbank/scheduler';
import type { NodeSettings } from '@hibiscusbank/settings';
import { createAdminServer } from './admin.js';
import type { NodePorts, RouterNode } from './types.js';

/** Creates a node. Nothing runs before `start`. */
export function createNode(settings: NodeSettings, ports: NodePorts): RouterNode {
  const self = { vm: settings.vm, dataCentre: settings.dataCentre };
  const telemetry = createTelemetry(self, ports.logSink);
  let draining = false;

  const membershipRef: { current: Membership | undefined } = { current: undefined };
  const network = createTcpNetwork({
    self,
    listen: settings.peerListen,
    secret: settings.peerSecret,
    findAddress: (vm) => membershipRef.current?.find(vm)?.peerAddress,
    telemetry,
  });
  const membership = createMembership({
    self,
    selfAddress: `${settings.peerListen.host}:${settings.peerListen.port}`,
    vmList: ports.vmList,
    telemetry,
  });
  membershipRef.current = membership;
  const configuration = createConfigurationReplica({
    objectApi: ports.objectApi,
    telemetry,
    unconfirmedKeysMs: settings.limits.unconfirmedKeysMs,
  });
  const quota = createLocalQuota(self.vm, configuration);
  const scheduler = createScheduler({
    network,
    membership,
    configuration,
    telemetry,
    // Cells have no leases yet: every owner counts as the holder of epoch 1.
    holdsLease: () => 1,
    coldShareWithoutLease: () => false,
    leaveLimitMs: settings.limits.drainTimeoutMs,
  });
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

  const findObstacle = (): string | undefined => {
    if (draining) return 'draining';
    if (!configuration.isReady()) return 'configuration not loaded';
    if (configuration.isVmOut(self.vm)) return 'this VM is out of service';
    if (configuration.isDataCentreOut(self.dataCentre)) return 'this data centre is out of service';
    return undefined;
  };

  const admin = createAdminServer({
    node: { telemetry, configuration, membership, scheduler, quota },
    listen: settings.adminListen,
    findObstacle,
    activeRequests: () => gateway.activeRequests(),
  });

  const stopAll = async (): Promise<void> => {
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
      await admin.start();
      await membership.start();
      await configuration.start();
      await quota.start();
      await scheduler.start();
      await gateway.start();
      telemetry.log('nodeStarted');
    },
    isReady: () => findObstacle() === undefined,
    port: () => gateway.port(),
    adminPort: () => admin.port(),
    drain: async () => {
      draining = true;
      telemetry.log('nodeDraining', { active: gateway.activeRequests() });
      await membership.leave();
      // Both wait for the streams of this node, so one time limit covers them.
      await Promise.all([scheduler.leave(), gateway.waitUntilIdle(settings.limits.drainTimeoutMs)]);
      await quota.leave();
      await gateway.stop();
      await stopAll();
    },
    stop: async () => {
      await gateway.kill();
      await stopAll();
    },
  };
}
