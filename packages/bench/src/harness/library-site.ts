/** A site whose nodes run as library objects in this process, so that their links can be cut. */
import { createError, dataCentreId, sleep, vmId } from '@hibiscusbank/core';
import type { RouterError, VmId } from '@hibiscusbank/core';
import { createHttpPorts, createNode } from '@hibiscusbank/node';
import type { NodePorts, RouterNode } from '@hibiscusbank/node';
import { createTcpNetwork } from '@hibiscusbank/peers';
import type { PeerNetwork } from '@hibiscusbank/peers';
import { createHttpObjectApi } from '@hibiscusbank/object-api';
import type { ObjectApi, VmList } from '@hibiscusbank/object-api';
import type { NodeSettings } from '@hibiscusbank/settings';
import { startObjectApi, startVmList } from '@hibiscusbank/standins';
import { err, errAsync, okAsync, ResultAsync } from 'neverthrow';
import { findFreePorts } from './ports.js';

const HOST = '127.0.0.1';
const PORTS_PER_NODE = 3;
const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

/** Which links are cut now. */
export interface Links {
  /** Killed VMs: nothing gets in or out. */
  readonly severed: Set<string>;
  /** Data centre cut off from the others and from the platform. */
  isolated: string | undefined;
}

export interface LibraryNode {
  readonly vm: VmId;
  readonly dataCentre: string;
  readonly url: string;
  readonly adminUrl: string;
  current: RouterNode;
}

/** Sees the calls of nodes and their ports. */
export interface NodeObserver {
  /** A peer call when it is sent, whether or not it arrives. */
  readonly onSent: (method: string, params: unknown) => void;
  /** A peer call that was answered. */
  readonly onCall: (method: string, params: unknown, reply: unknown) => void;
  readonly wrapPorts: (ports: NodePorts) => NodePorts;
}

export interface LibrarySite {
  readonly objectApi: ObjectApi;
  readonly nodes: readonly LibraryNode[];
  /** Every node object so far, killed ones included. */
  readonly instances: readonly RouterNode[];
  readonly links: Links;
  /** Ends a node without a handover: its links are cut before it stops. */
  kill(node: LibraryNode): Promise<void>;
  restart(node: LibraryNode): Promise<void>;
  waitUntilReady(): Promise<void>;
  stop(): Promise<void>;
}

const platformCut = (): RouterError =>
  createError('platform_unavailable', 'the bench has cut the link to the platform');

/** Runs a call over a link that loses it, or its answer, while it is cut. */
function overLink<T>(
  isCut: () => boolean,
  call: () => ResultAsync<T, RouterError>,
): ResultAsync<T, RouterError> {
  if (isCut()) return errAsync(platformCut());
  return call().andThen((value) => (isCut() ? errAsync(platformCut()) : okAsync(value)));
}

function wrapObjectApi(api: ObjectApi, isCut: () => boolean): ObjectApi {
  return {
    get: (...args) => overLink(isCut, () => api.get(...args)),
    list: (...args) => overLink(isCut, () => api.list(...args)),
    put: (...args) => overLink(isCut, () => api.put(...args)),
    remove: (...args) => overLink(isCut, () => api.remove(...args)),
    watch: (...args) => overLink(isCut, () => api.watch(...args)),
  };
}

function wrapVmList(list: VmList, isCut: () => boolean): VmList {
  return { read: () => overLink(isCut, () => list.read()) };
}

/** Calls over a cut link time out; those to a VM whose process was killed are refused at once. */
function wrapNetwork(
  network: PeerNetwork,
  isCutTo: (to: VmId) => boolean,
  isRefused: (to: VmId) => boolean,
  observer: NodeObserver,
): PeerNetwork {
  const lose = <T>(to: VmId, timeoutMs: number): ResultAsync<T, RouterError> =>
    new ResultAsync(
      sleep(timeoutMs).then(() => err(createError('timeout', `no answer from ${to}`))),
    );
  return {
    ...network,
    call: <T>(...args: Parameters<PeerNetwork['call']>): ResultAsync<T, RouterError> => {
      const [to, method, params, { timeoutMs }] = args;
      observer.onSent(method, params);
      if (isRefused(to)) return errAsync(createError('peer_unavailable', `${to} was killed`));
      if (isCutTo(to)) return lose(to, timeoutMs);
      return network.call<T>(...args).andThen((reply) => {
        if (isCutTo(to)) return lose<T>(to, timeoutMs);
        observer.onCall(method, params, reply);
        return okAsync(reply);
      });
    },
  };
}

interface NodePlan {
  readonly settings: NodeSettings;
  readonly peerAddress: string;
}

function planNode(
  index: number,
  dataCentre: string,
  ports: readonly number[],
  platform: { readonly objectApi: string; readonly vmList: string },
): NodePlan {
  const [listen = 0, peer = 0, admin = 0] = ports;
  return {
    peerAddress: `${HOST}:${peer}`,
    settings: {
      vm: vmId(`vm-${index + 1}`),
      dataCentre: dataCentreId(dataCentre),
      region: 'bench',
      listen: { host: HOST, port: listen },
      peerListen: { host: HOST, port: peer },
      adminListen: { host: HOST, port: admin },
      peerSecret: 'bench-secret-for-loopback',
      ...platform,
      weightStore: undefined,
      limits: { maxBodyBytes: 8_000_000, drainTimeoutMs: 10_000, unconfirmedKeysMs: 3_600_000 },
    },
  };
}

async function waitForNode(node: LibraryNode): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (!node.current.isReady()) {
    if (performance.now() > deadline) throw new Error(`node ${node.vm} is not ready`);
    await sleep(READY_POLL_MS);
  }
}

/** Starts a site of library nodes, spread evenly over the data centres. */
export async function startLibrarySite(
  dataCentres: readonly string[],
  count: number,
  observer: NodeObserver,
): Promise<LibrarySite> {
  const objectStandin = await startObjectApi(0);
  const vmList = await startVmList(0);
  const ports = await findFreePorts(count * PORTS_PER_NODE);
  const platform = { objectApi: objectStandin.url, vmList: vmList.url };
  const links: Links = { severed: new Set(), isolated: undefined };
  const homes = new Map<string, string>();
  const instances: RouterNode[] = [];

  const create = ({ settings }: NodePlan): RouterNode => {
    const { vm, dataCentre } = settings;
    // A killed process never speaks again, also when its VM runs a new one.
    let dead = false;
    const isDead = (): boolean => {
      dead ||= links.severed.has(vm);
      return dead;
    };
    const isOffPlatform = (): boolean => isDead() || links.isolated === dataCentre;
    const isRefused = (to: VmId): boolean => links.severed.has(to);
    const isCutTo = (to: VmId): boolean => {
      if (isDead() || isRefused(to)) return true;
      const isAway = (name: string | undefined): boolean => name === links.isolated;
      return links.isolated !== undefined && isAway(dataCentre) !== isAway(homes.get(to));
    };
    const http = createHttpPorts(settings);
    const node = createNode(
      settings,
      observer.wrapPorts({
        ...http,
        objectApi: wrapObjectApi(http.objectApi, isOffPlatform),
        vmList: wrapVmList(http.vmList, isOffPlatform),
        // A killed process cancels nothing, so that its streams can be resumed.
        engines: {
          ...http.engines,
          cancel: (...args) => (isDead() ? okAsync(undefined) : http.engines.cancel(...args)),
        },
        createNetwork: (options) =>
          wrapNetwork(createTcpNetwork(options), isCutTo, isRefused, observer),
        logSink: () => {},
      }),
    );
    instances.push(node);
    return node;
  };

  const plans = new Map<VmId, NodePlan>();
  const nodes: LibraryNode[] = [];
  for (let i = 0; i < count; i += 1) {
    const dataCentre = dataCentres[i % dataCentres.length] ?? 'dc';
    const own = ports.slice(i * PORTS_PER_NODE, (i + 1) * PORTS_PER_NODE);
    const plan = planNode(i, dataCentre, own, platform);
    const { vm } = plan.settings;
    plans.set(vm, plan);
    homes.set(vm, dataCentre);
    vmList.putVm({ id: vm, dataCentre, peerAddress: plan.peerAddress, state: 'live' });
    nodes.push({
      vm,
      dataCentre,
      url: `http://${HOST}:${plan.settings.listen.port}`,
      adminUrl: `http://${HOST}:${plan.settings.adminListen.port}`,
      current: create(plan),
    });
  }
  await Promise.all(nodes.map(({ current }) => current.start()));

  return {
    objectApi: createHttpObjectApi(objectStandin.url),
    nodes,
    instances,
    links,
    kill: async (node) => {
      links.severed.add(node.vm);
      await node.current.stop();
    },
    restart: async (node) => {
      const plan = plans.get(node.vm);
      if (plan === undefined) return;
      links.severed.delete(node.vm);
      node.current = create(plan);
      await node.current.start();
    },
    waitUntilReady: async () => {
      await Promise.all(nodes.map(waitForNode));
    },
    stop: async () => {
      await Promise.all(nodes.map(({ current }) => current.stop()));
      await Promise.all([objectStandin.stop(), vmList.stop()]);
    },
  };
}
