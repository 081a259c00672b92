/** Starts, kills, pauses and drains the nodes of a run. */
import { dataCentreId } from '@hibiscusbank/core';
import type { Violation } from '@hibiscusbank/core';
import { createNode } from '@hibiscusbank/node';
import type { NodePorts, RouterNode } from '@hibiscusbank/node';
import type { MemoryHub, PeerNetwork } from '@hibiscusbank/peers';
import type { BackEndAccess } from './calls.js';
import { createProcess } from './process.js';
import type { EmulatedProcess } from './process.js';
import { createSettings, VMS } from './site.js';
import type { SoakVm } from './site.js';

export interface NodeInstance {
  readonly vm: SoakVm;
  readonly node: RouterNode;
  readonly nodeProcess: EmulatedProcess;
  /** True once a graceful shutdown has started. */
  draining: boolean;
}

export type CreatePorts = (access: Omit<BackEndAccess, 'faults'>) => NodePorts;

export interface Fleet {
  /** Returns the running process of a VM. */
  find(vm: SoakVm): NodeInstance | undefined;
  running(): readonly NodeInstance[];
  /** Lists the processes to which a load balancer would send requests. */
  ready(): readonly NodeInstance[];
  /** Lists all processes of the run, including those that have ended. */
  all(): readonly NodeInstance[];
  start(vm: SoakVm): void;
  kill(instance: NodeInstance): void;
  pause(instance: NodeInstance): void;
  resume(instance: NodeInstance): void;
  /** Starts a graceful shutdown; the process ends when its node has drained. */
  drain(instance: NodeInstance): void;
  violations(): readonly (Violation & { readonly vm: string })[];
}

export interface FleetOptions {
  readonly hub: MemoryHub;
  readonly createPorts: CreatePorts;
  readonly onStart: (instance: NodeInstance) => void;
  readonly onDrained: (instance: NodeInstance) => void;
  readonly onError: (instance: NodeInstance, thrown: unknown) => void;
}

/** Makes the peer handlers of a process run in its own context instead of the context of the sender. */
function bindHandlers(network: PeerNetwork, nodeProcess: EmulatedProcess): PeerNetwork {
  return {
    ...network,
    handle: (method, handler) => {
      network.handle(method, (params, from) =>
        nodeProcess.runImmediately(() => handler(params, from)),
      );
    },
  };
}

/** Creates a fleet without running processes. */
export function createFleet(options: FleetOptions): Fleet {
  const { hub } = options;
  const instances = new Map<string, NodeInstance>();
  const all: NodeInstance[] = [];

  const create = (vm: SoakVm): NodeInstance => {
    const nodeProcess = createProcess();
    const ports = options.createPorts({ dataCentre: dataCentreId(vm.dataCentre), nodeProcess });
    const node = nodeProcess.runImmediately(() =>
      createNode(createSettings(vm), {
        ...ports,
        createNetwork: (network) => bindHandlers(hub.createNetwork(network), nodeProcess),
        listens: false,
        logSink: () => {},
      }),
    );
    return { vm, node, nodeProcess, draining: false };
  };
  const remove = (instance: NodeInstance): void => {
    if (instances.get(instance.vm.id) === instance) instances.delete(instance.vm.id);
  };

  const running = (): NodeInstance[] =>
    VMS.flatMap((vm) => {
      const found = instances.get(vm.id);
      return found === undefined ? [] : [found];
    });

  return {
    find: (vm) => instances.get(vm.id),
    running,
    ready: () => running().filter(({ node }) => node.isReady()),
    all: () => all,
    start: (vm) => {
      if (instances.has(vm.id)) return;
      const instance = create(vm);
      instances.set(vm.id, instance);
      all.push(instance);
      options.onStart(instance);
      instance.nodeProcess.runImmediately(() => {
        instance.node.start().catch((thrown: unknown) => options.onError(instance, thrown));
      });
    },
    kill: (instance) => {
      instance.nodeProcess.kill();
      void instance.node.network.stop();
      hub.thaw(instance.vm.id);
      remove(instance);
    },
    pause: (instance) => {
      hub.freeze(instance.vm.id);
      instance.nodeProcess.pause();
    },
    resume: (instance) => {
      instance.nodeProcess.resume();
      hub.thaw(instance.vm.id);
    },
    drain: (instance) => {
      instance.draining = true;
      const end = (): void => {
        options.onDrained(instance);
        instance.nodeProcess.kill();
        remove(instance);
      };
      instance.nodeProcess.run(() => {
        instance.node.drain().then(end, (thrown: unknown) => options.onError(instance, thrown));
      });
    },
    violations: () =>
      all.flatMap(({ vm, node }) =>
        node.telemetry.invariants.violations().map((violation) => ({ ...violation, vm: vm.id })),
      ),
  };
}
