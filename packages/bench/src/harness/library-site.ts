/**
 * A site whose nodes run as library objects in this process, so that single links can be made to
 * fail.
 */
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

/** The links that fail at present. */
export interface LinkFaults {
  /** VMs whose process was killed; all their traffic is lost. */
  readonly killedVms: Set<string>;
  /** Data centre that reaches neither the other data centres nor the platform. */
  isolatedDataCentre: string | undefined;
}

export interface LibraryNode {
  readonly vm: VmId;
  readonly dataCentre: string;
  readonly url: string;
  readonly adminUrl: string;
  /** The running node object; a restart replaces it. */
  currentInstance: RouterNode;
}

/** Observes the peer calls of nodes and wraps their ports. */
export interface NodeObserver {
  /** Receives a peer call when it is sent, whether or not it arrives. */
  readonly onSent: (method: string, params: unknown) => void;
  /** Receives a peer call and its reply. */
  readonly onCall: (method: string, params: unknown, reply: unknown) => void;
  readonly wrapPorts: (ports: NodePorts) => NodePorts;
}

export interface LibrarySite {
  readonly objectApi: ObjectApi;
  readonly nodes: readonly LibraryNode[];
  /** All node objects created so far, including killed ones. */
  readonly instances: readonly RouterNode[];
  readonly linkFaults: LinkFaults;
  /** Stops a node without a handover: its links fail before it stops. */
  kill(node: LibraryNode): Promise<void>;
  restart(node: LibraryNode): Promise<void>;
  waitUntilReady(): Promise<void>;
  stop(): Promise<void>;
}

const createPlatformError = (): RouterError =>
  createError('platform_unavailable', 'the bench has cut the link to the platform');

/** Runs a call over a link. Fails if the link is down when the call starts or when it completes. */
function callOverLink<T>(
  isLinkDown: () => boolean,
  call: () => ResultAsync<T, RouterError>,
): ResultAsync<T, RouterError> {
  if (isLinkDown()) return errAsync(createPlatformError());
  return call().andThen((value) =>
    isLinkDown() ? errAsync(createPlatformError()) : okAsync(value),
  );
}

function wrapObjectApi(api: ObjectApi, isLinkDown: () => boolean): ObjectApi {
  return {
    get: (...args) => callOverLink(isLinkDown, () => api.get(...args)),
    list: (...args) => callOverLink(isLinkDown, () => api.list(...args)),
    put: (...args) => callOverLink(isLinkDown, () => api.put(...args)),
    remove: (...args) => callOverLink(isLinkDown, () => api.remove(...args)),
    watch: (...args) => callOverLink(isLinkDown, () => api.watch(...args)),
  };
}

function wrapVmList(list: VmList, isLinkDown: () => boolean): VmList {
  return { read: () => callOverLink(isLinkDown, () => list.read()) };
}

/** Makes calls over a failed link time out and calls to a killed process fail immediately. */
function wrapNetwork(
  network: PeerNetwork,
  isLinkDownTo: (to: VmId) => boolean,
  isVmKilled: (to: VmId) => boolean,
  observer: NodeObserver,
): PeerNetwork {
  const timeOut = <T>(to: VmId, timeoutMs: number): ResultAsync<T, RouterError> =>
    new ResultAsync(
      sleep(timeoutMs).then(() => err(createError('timeout', `no answer from ${to}`))),
    );
  return {
    ...network,
    call: <T>(...args: Parameters<PeerNetwork['call']>): ResultAsync<T, RouterError> => {
      const [to, method, params, { timeoutMs }] = args;
      observer.onSent(method, params);
      if (isVmKilled(to)) return errAsync(createError('peer_unavailable', `${to} was killed`));
      if (isLinkDownTo(to)) return timeOut(to, timeoutMs);
      return network.call<T>(...args).andThen((reply) => {
        if (isLinkDownTo(to)) return timeOut<T>(to, timeoutMs);
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
  while (!node.currentInstance.isReady()) {
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
  const objectApiStandin = await startObjectApi(0);
  const vmList = await startVmList(0);
  const ports = await findFreePorts(count * PORTS_PER_NODE);
  const platform = { objectApi: objectApiStandin.url, vmList: vmList.url };
  const linkFaults: LinkFaults = { killedVms: new Set(), isolatedDataCentre: undefined };
  const dataCentreByVm = new Map<string, string>();
  const instances: RouterNode[] = [];

  const createRouterNode = ({ settings }: NodePlan): RouterNode => {
    const { vm, dataCentre } = settings;
    // A killed process stays disconnected, also when its VM runs a new process.
    let killed = false;
    const hasBeenKilled = (): boolean => {
      killed ||= linkFaults.killedVms.has(vm);
      return killed;
    };
    const isPlatformLinkDown = (): boolean =>
      hasBeenKilled() || linkFaults.isolatedDataCentre === dataCentre;
    const isVmKilled = (to: VmId): boolean => linkFaults.killedVms.has(to);
    const isLinkDownTo = (to: VmId): boolean => {
      if (hasBeenKilled() || isVmKilled(to)) return true;
      const isIsolated = (name: string | undefined): boolean =>
        name === linkFaults.isolatedDataCentre;
      return (
        linkFaults.isolatedDataCentre !== undefined &&
        isIsolated(dataCentre) !== isIsolated(dataCentreByVm.get(to))
      );
    };
    const httpPorts = createHttpPorts(settings);
    const node = createNode(
      settings,
      observer.wrapPorts({
        ...httpPorts,
        objectApi: wrapObjectApi(httpPorts.objectApi, isPlatformLinkDown),
        vmList: wrapVmList(httpPorts.vmList, isPlatformLinkDown),
        // A killed process cannot cancel its work, so its streams can be resumed.
        engines: {
          ...httpPorts.engines,
          cancel: (...args) =>
            hasBeenKilled() ? okAsync(undefined) : httpPorts.engines.cancel(...args),
        },
        createNetwork: (options) =>
          wrapNetwork(createTcpNetwork(options), isLinkDownTo, isVmKilled, observer),
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
    const nodePorts = ports.slice(i * PORTS_PER_NODE, (i + 1) * PORTS_PER_NODE);
    const plan = planNode(i, dataCentre, nodePorts, platform);
    const { vm } = plan.settings;
    plans.set(vm, plan);
    dataCentreByVm.set(vm, dataCentre);
    vmList.putVm({ id: vm, dataCentre, peerAddress: plan.peerAddress, state: 'live' });
    nodes.push({
      vm,
      dataCentre,
      url: `http://${HOST}:${plan.settings.listen.port}`,
      adminUrl: `http://${HOST}:${plan.settings.adminListen.port}`,
      currentInstance: createRouterNode(plan),
    });
  }
  await Promise.all(nodes.map(({ currentInstance }) => currentInstance.start()));

  return {
    objectApi: createHttpObjectApi(objectApiStandin.url),
    nodes,
    instances,
    linkFaults,
    kill: async (node) => {
      linkFaults.killedVms.add(node.vm);
      await node.currentInstance.stop();
    },
    restart: async (node) => {
      const plan = plans.get(node.vm);
      if (plan === undefined) return;
      linkFaults.killedVms.delete(node.vm);
      node.currentInstance = createRouterNode(plan);
      await node.currentInstance.start();
    },
    waitUntilReady: async () => {
      await Promise.all(nodes.map(waitForNode));
    },
    stop: async () => {
      await Promise.all(nodes.map(({ currentInstance }) => currentInstance.stop()));
      await Promise.all([objectApiStandin.stop(), vmList.stop()]);
    },
  };
}
