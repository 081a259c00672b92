/** Fleet of configuration replicas in one process. */
import { createRandom, keyDigest, organisationId } from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import { configurationKeys, createConfigurationReplica } from '@hibiscusbank/configuration';
import type { ConfigurationReplica, TenantKey } from '@hibiscusbank/configuration';
import { vi } from 'vitest';
/* eslint-disable import-x/no-relative-packages -- test helpers are not part of a package's interface */
import { createTestFleet, waitUntil } from '../../peers/test/fleet.js';
import type { TestNode } from '../../peers/test/fleet.js';
/* eslint-enable import-x/no-relative-packages */
import { createFakeObjectApi } from './fake-object-api.js';

export type ReplicaFleet = ReturnType<typeof createReplicaFleet>;

export function createReplicaFleet(seed = 1, unconfirmedKeysMs = 3_600_000) {
  const api = createFakeObjectApi();
  const replicas = new Map<VmId, ConfigurationReplica>();
  const methods: string[] = [];
  const random = createRandom(seed);
  const create = ({ self, network, membership, telemetry }: TestNode): void => {
    const recordingNetwork = {
      ...network,
      call: ((to, method, params, options) => {
        methods.push(method);
        return network.call(to, method, params, options);
      }) as typeof network.call,
    };
    const replica = createConfigurationReplica({
      objectApi: api.portFor(self.vm),
      network: recordingNetwork,
      membership,
      telemetry,
      unconfirmedKeysMs,
      random: createRandom(random.nextInt(1e9)),
    });
    replicas.set(self.vm, replica);
  };
  const fleet = createTestFleet(seed, create);

  const start = async (name: string): Promise<ConfigurationReplica> => {
    const node = await fleet.start(name, name.slice(0, 1));
    const replica = replicas.get(node.self.vm) as ConfigurationReplica;
    await replica.start();
    await vi.advanceTimersByTimeAsync(50);
    return replica;
  };
  const kill = async (name: string): Promise<void> => {
    const node = fleet.nodes.get(name as VmId);
    if (node === undefined) return;
    await replicas.get(node.self.vm)?.stop();
    replicas.delete(node.self.vm);
    await fleet.kill(node);
  };
  return {
    fleet,
    api,
    replicas,
    /** Methods of all calls between nodes so far. */
    methods,
    start,
    kill,
    startAll: async (dataCentres: readonly string[], count: number) => {
      const started: ConfigurationReplica[] = [];
      for (const dataCentre of dataCentres) {
        for (let i = 0; i < count; i += 1) started.push(await start(`${dataCentre}${i}`));
      }
      await vi.advanceTimersByTimeAsync(30_000);
      return started;
    },
    running: () => [...replicas.values()],
    stop: async () => {
      for (const vm of [...replicas.keys()]) await kill(vm);
    },
  };
}

export const organisationKey = (name: string): string =>
  configurationKeys.organisation(organisationId(name));

export const tenantKeyName = (name: string): string => configurationKeys.tenantKey(keyDigest(name));

export const tenantKey = (name: string): TenantKey => ({
  digest: keyDigest(name),
  organisation: organisationId('org'),
  withdrawn: false,
  hint: 'hb-',
});

export const limits = (name: string, ratePerS: number) => ({
  id: organisationId(name),
  ratePerS,
  burst: 1,
});

export { waitUntil };
