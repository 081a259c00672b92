/** The nodes of a run: started, killed, paused and drained. */
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

export interface Instance {
  readonly vm: SoakVm;
  readonly node: RouterNode;
  readonly owner: EmulatedProcess;
  /** Set when a graceful shutdown began. */
  draining: boolean;
}

export type CreatePorts = (access: Omit<BackEndAccess, 'faults'>) => NodePorts;

export interface Fleet {
  /** The running process of a VM. */
  find(vm: SoakVm): Instance | undefined;
  running(): readonly Instance[];
  /** Processes to which a balancer sends callers. */
  ready(): readonly Instance[];
  /** All processes so far. */
  all(): readonly Instance[];
  start(vm: SoakVm): void;
  kill(instance: Instance): void;
  pause(instance: Instance): void;
  resume(instance: Instance): void;
  /** Drains and stops; resolves when the process has ended. */
  drain(instance: Instance): void;
  violations(): readonly (Violation & { readonly vm: string })[];
}

export interface FleetOptions {
  readonly hub: MemoryHub;
  readonly createPorts: CreatePorts;
  readonly onStart: (instance: Instance) => void;
  readonly onDrained: (instance: Instance) => void;
  readonly onError: (instance: Instance, thrown: unknown) => void;
}

/** Handlers of a process run in its context, not in that of the caller. */
function bindHandlers(network: PeerNetwork, owner: EmulatedProcess): PeerNetwork {
  return {
    ...network,
    handle: (method, handler) => {
      network.handle(method, (params, from) => owner.enter(() => handler(params, from)));
    },
  };
}

/** Creates a fleet without a running process. */
export function createFleet(options: FleetOptions): Fleet {
  const { hub } = options;
  const instances = new Map<string, Instance>();
  const all: Instance[] = [];

  const create = (vm: SoakVm): Instance => {
    const owner = createProcess();
    const ports = options.createPorts({ dataCentre: dataCentreId(vm.dataCentre), owner });
    const node = owner.enter(() =>
      createNode(createSettings(vm), {
        ...ports,
        createNetwork: (network) => bindHandlers(hub.createNetwork(network), owner),
        listens: false,
        logSink: () => {},
      }),
    );
    return { vm, node, owner, draining: false };
  };
  const remove = (instance: Instance): void => {
    if (instances.get(instance.vm.id) === instance) instances.delete(instance.vm.id);
  };

  const running = (): Instance[] =>
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
      instance.owner.enter(() => {
        instance.node.start().catch((thrown: unknown) => options.onError(instance, thrown));
      });
    },
    kill: (instance) => {
      instance.owner.kill();
      void instance.node.network.stop();
      hub.thaw(instance.vm.id);
      remove(instance);
    },
    pause: (instance) => {
      hub.freeze(instance.vm.id);
      instance.owner.pause();
    },
    resume: (instance) => {
      instance.owner.resume();
      hub.thaw(instance.vm.id);
    },
    drain: (instance) => {
      instance.draining = true;
      const end = (): void => {
        options.onDrained(instance);
        instance.owner.kill();
        remove(instance);
      };
      instance.owner.run(() => {
        instance.node.drain().then(end, (thrown: unknown) => options.onError(instance, thrown));
      });
    },
    violations: () =>
      all.flatMap(({ vm, node }) =>
        node.telemetry.invariants.violations().map((violation) => ({ ...violation, vm: vm.id })),
      ),
  };
}
