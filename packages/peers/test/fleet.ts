/** Runs the membership of many nodes in one process over the memory hub. */
import { createError, createRandom, createTelemetry, dataCentreId, vmId } from '@hibiscusbank/core';
import type { Telemetry, VmId } from '@hibiscusbank/core';
import { createMembership, createMemoryHub } from '@hibiscusbank/peers';
import type { Membership, PeerIdentity, PeerNetwork } from '@hibiscusbank/peers';
import type { ListedVm, VmList } from '@hibiscusbank/object-api';
import { errAsync, okAsync } from 'neverthrow';
import { vi } from 'vitest';

export interface TestNode {
  readonly self: PeerIdentity;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly telemetry: Telemetry;
}

function createTestVmList() {
  const list = {
    vms: [] as ListedVm[],
    isDown: false,
    read: (): ReturnType<VmList['read']> =>
      list.isDown ? errAsync(createError('platform_unavailable', 'down')) : okAsync([...list.vms]),
  };
  return list;
}

export type TestFleet = ReturnType<typeof createTestFleet>;

/** Creates an empty fleet. `onCreate` can add modules to each node before it starts. */
export function createTestFleet(seed = 1, onCreate: (node: TestNode) => void = () => {}) {
  const random = createRandom(seed);
  const hub = createMemoryHub(random);
  const vmList = createTestVmList();
  const nodes = new Map<VmId, TestNode>();
  const kill = async (node: TestNode): Promise<void> => {
    nodes.delete(node.self.vm);
    await node.membership.stop();
    await node.network.stop();
  };
  return {
    hub,
    vmList,
    nodes,
    random,
    kill,
    /** Starts a node and, by default, adds its VM to the VM list. */
    start: async (
      name: string,
      dataCentre = 'a',
      isListed = true,
      selfAddress = `${name}:1`,
    ): Promise<TestNode> => {
      const self = { vm: vmId(name), dataCentre: dataCentreId(dataCentre) };
      const peerAddress = `${name}:1`;
      if (isListed && !vmList.vms.some((vm) => vm.id === self.vm)) {
        vmList.vms.push({ id: self.vm, dataCentre: self.dataCentre, peerAddress, state: 'live' });
      }
      const telemetry = createTelemetry(self, () => {});
      const network = hub.createNetwork({ self, telemetry });
      const options = { self, selfAddress, network, vmList, telemetry };
      const membership = createMembership({
        ...options,
        random: createRandom(random.nextInt(1e9)),
      });
      const node = { self, network, membership, telemetry };
      nodes.set(self.vm, node);
      onCreate(node);
      await network.start();
      const started = membership.start();
      await vi.advanceTimersByTimeAsync(20);
      void started;
      return node;
    },
    stop: async () => {
      for (const node of [...nodes.values()]) await kill(node);
    },
  };
}

/** Starts `count` VMs named `<data centre><number>` per data centre and waits until they joined. */
export async function startFleet(
  fleet: TestFleet,
  dataCentres: readonly string[],
  count: number,
): Promise<TestNode[]> {
  const started: TestNode[] = [];
  for (const dataCentre of dataCentres) {
    for (let i = 0; i < count; i += 1) {
      started.push(await fleet.start(`${dataCentre}${i}`, dataCentre));
    }
  }
  await vi.advanceTimersByTimeAsync(30_000);
  return started;
}

/** Advances the fake time until the condition holds; returns whether it held within the limit. */
export async function waitUntil(limitMs: number, holds: () => boolean): Promise<boolean> {
  for (let ms = 0; ms < limitMs && !holds(); ms += 100) await vi.advanceTimersByTimeAsync(100);
  return holds();
}
