/** An in-memory fleet of schedulers with controllable network, membership, tables and leases. */
import {
  createError,
  createTelemetry,
  dataCentreId,
  organisationId,
  poolId,
  requestId,
  toRouterError,
  upstreamId,
  vmId,
} from '@hibiscusbank/core';
import type { RouterError, Telemetry, VmId } from '@hibiscusbank/core';
import type { ConfigurationEntry, ConfigurationReplica } from '@hibiscusbank/configuration';
import type { Member, Membership, PeerHandler, PeerNetwork } from '@hibiscusbank/peers';
import { createScheduler } from '@hibiscusbank/scheduler';
import type { CellScheduler, Grant, PlacementRequest } from '@hibiscusbank/scheduler';
import type { PoolEntry, UpstreamEntry, UpstreamRole } from '@hibiscusbank/settings';
import { ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { vi } from 'vitest';

const LATENCY_MS = 1;

export function upstream(
  id: string,
  role: UpstreamRole,
  dataCentre: string,
  extra: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id: upstreamId(id),
    pool: poolId('pool'),
    role,
    dataCentre: dataCentreId(dataCentre),
    address: `http://${id}`,
    capacity: 4,
    memoryBlocks: role === 'plain' ? 0 : 100,
    coldLimit: 4,
    coldStepMs: 1_000,
    linkBytesPerMs: 1_000_000,
    checksOrders: true,
    ...extra,
  };
}

export function pool(
  upstreams: readonly UpstreamEntry[],
  extra: Partial<PoolEntry> = {},
): PoolEntry {
  const isPlain = upstreams.every((u) => u.role === 'plain');
  return {
    id: poolId('pool'),
    kind: isPlain ? 'plain' : 'model',
    model: isPlain ? undefined : 'm',
    version: undefined,
    adapters: [],
    blockTokens: 1_000,
    kvBytesPerToken: 100,
    prefillTokensPerMs: 10,
    decodeMsPerToken: 10,
    balanceRoles: false,
    upstreams,
    ...extra,
  };
}

export const modelPool = (dataCentre = 'a', extra: Partial<UpstreamEntry> = {}): PoolEntry =>
  pool([
    upstream('p1', 'prefill', dataCentre, extra),
    upstream('p2', 'prefill', dataCentre, extra),
    upstream('d1', 'decode', dataCentre, extra),
    upstream('d2', 'decode', dataCentre, extra),
  ]);

let nextRequest = 1;

export function request(
  extra: Partial<PlacementRequest> & { org?: string } = {},
): PlacementRequest {
  const { org = 'org', ...rest } = extra;
  nextRequest += 1;
  return {
    requestId: requestId(`r${nextRequest}`),
    attempt: 1,
    organisation: organisationId(org),
    pool: poolId('pool'),
    promptTokens: 500,
    expectedTokens: 100,
    maxTokens: 100,
    prefixHashes: [],
    urgency: 'urgent',
    firstTokenTargetMs: 1_000,
    patienceMs: 10_000,
    timeLimitMs: 60_000,
    exclude: [],
    ...rest,
  };
}

export interface Message {
  readonly from: VmId;
  readonly to: VmId;
  readonly method: string;
  readonly isReply: boolean;
}

export interface FleetNode {
  readonly vm: VmId;
  readonly scheduler: CellScheduler;
  readonly telemetry: Telemetry;
  readonly abandoned: Grant[];
}

export interface Fleet {
  node(vm: string): FleetNode;
  nodes(): FleetNode[];
  owner(): FleetNode;
  place(
    vm: string,
    req: PlacementRequest,
    signal?: AbortSignal,
  ): Promise<Result<Grant, RouterError>>;
  setPool(entry: PoolEntry): void;
  setOutOfService(name: string, outOfService: boolean): void;
  setState(vm: string, state: Member['state']): void;
  /** Stops a VM abruptly; membership does not change until `setState` is called. */
  kill(vm: string): Promise<void>;
  start(vm: string): Promise<void>;
  violations(): string[];
  /** Returns true for each message that the network must drop. */
  dropsMessage: (message: Message) => boolean;
  leases: Map<VmId, number | undefined>;
  coldShare: Set<VmId>;
  findCachedTokens: (upstream: string) => number;
}

interface SimulatedNetwork {
  readonly handlers: Map<VmId, Map<string, PeerHandler>>;
  dropsMessage: (message: Message) => boolean;
}

function createNetwork(vm: VmId, dataCentre: string, simulated: SimulatedNetwork): PeerNetwork {
  const self = { vm, dataCentre: dataCentreId(dataCentre) };
  const ownHandlers = new Map<string, PeerHandler>();
  simulated.handlers.set(vm, ownHandlers);
  // A killed process neither sends nor receives, even after its VM has started a new one.
  const isStopped = (): boolean => simulated.handlers.get(vm) !== ownHandlers;
  const send = <T>(to: VmId, method: string, params: unknown, timeoutMs: number): Promise<T> =>
    new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(createError('timeout', 'no reply')), timeoutMs);
      const message = { from: vm, to, method };
      const finish = (reply: () => void): void => {
        setTimeout(() => {
          if (isStopped() || simulated.dropsMessage({ ...message, isReply: true })) return;
          clearTimeout(timer);
          reply();
        }, LATENCY_MS);
      };
      setTimeout(() => {
        if (isStopped() || simulated.dropsMessage({ ...message, isReply: false })) return;
        const handler = simulated.handlers.get(to)?.get(method);
        if (handler === undefined) {
          finish(() => reject(createError('peer_unavailable', `${to} is down`)));
          return;
        }
        handler(structuredClone(params), self).then(
          (value) => finish(() => resolve(structuredClone(value) as T)),
          (thrown: unknown) => finish(() => reject(toRouterError(thrown))),
        );
      }, LATENCY_MS);
    });
  return {
    self,
    call: <T>(to: VmId, method: string, params: unknown, { timeoutMs }: { timeoutMs: number }) =>
      ResultAsync.fromPromise(send<T>(to, method, params, timeoutMs), (thrown) =>
        toRouterError(thrown),
      ),
    handle: (method, handler) => {
      ownHandlers.set(method, handler);
    },
    start: async () => {},
    stop: async () => {},
  };
}

/** Starts one scheduler per VM; VM names begin with their data centre, as in `a1`. */
export async function createFleet(vms: readonly string[], entry: PoolEntry): Promise<Fleet> {
  const simulated: SimulatedNetwork = { handlers: new Map(), dropsMessage: () => false };
  const members = new Map<VmId, Member>();
  const memberListeners = new Map<VmId, Set<(member: Member) => void>>();
  const tableListeners = new Map<VmId, Set<(change: ConfigurationEntry) => void>>();
  const outOfService = new Set<string>();
  const nodes = new Map<string, FleetNode>();
  const telemetries: Telemetry[] = [];
  const leases = new Map<VmId, number | undefined>();
  const coldShare = new Set<VmId>();
  let tables = new Map([[entry.id, entry]]);

  const setState = (name: string, state: Member['state']): void => {
    const vm = vmId(name);
    const member = {
      vm,
      dataCentre: dataCentreId(name.charAt(0)),
      peerAddress: '',
      state,
      incarnation: 1,
    };
    members.set(vm, member);
    for (const listeners of memberListeners.values()) {
      for (const listener of listeners) listener(member);
    }
  };
  const notifyTableListeners = (): void => {
    const change = { key: 'config/pools/pool', revision: 1, value: undefined, deleted: false };
    for (const listeners of tableListeners.values()) {
      for (const listener of listeners) listener(change);
    }
  };
  const subscribe = <T>(all: Map<VmId, Set<T>>, vm: VmId, listener: T): (() => void) => {
    const ownListeners = all.get(vm) ?? new Set();
    all.set(vm, ownListeners.add(listener));
    return () => ownListeners.delete(listener);
  };
  const createMembershipOf = (vm: VmId): Membership => ({
    self: { vm, dataCentre: dataCentreId(vm.charAt(0)) },
    listLive: (dataCentre) =>
      [...members.values()]
        .filter((m) => m.dataCentre === dataCentre && (m.state === 'live' || m.state === 'suspect'))
        .map((m) => m.vm)
        .sort(),
    members: () => [...members.values()],
    find: (name) => members.get(name),
    listedVms: () => [...members.keys()],
    lastContactMs: () => performance.now(),
    findAddress: () => undefined,
    otherDataCentres: () => [],
    lastDataCentreContactMs: () => performance.now(),
    isReachable: () => true,
    addPayload: () => {},
    onChange: (listener) => subscribe(memberListeners, vm, listener),
    start: async () => {},
    leave: async () => setState(vm, 'leaving'),
    stop: async () => {},
  });
  const createConfigurationOf = (vm: VmId): ConfigurationReplica =>
    ({
      pools: () => tables,
      isDataCentreOutOfService: (dc) => outOfService.has(dc),
      isVmOutOfService: (name) => outOfService.has(name),
      isUpstreamOutOfService: (id, dc) => outOfService.has(id) || outOfService.has(dc),
      onChange: (listener) => subscribe(tableListeners, vm, listener),
    }) satisfies Partial<ConfigurationReplica> as unknown as ConfigurationReplica;

  const fleet: Fleet = {
    node: (vm) => {
      const found = nodes.get(vm);
      if (found === undefined) throw new Error(`VM ${vm} does not run`);
      return found;
    },
    nodes: () => [...nodes.values()],
    owner: () => {
      const found = [...nodes.values()].find((n) => n.scheduler.ownedCells().length > 0);
      if (found === undefined) throw new Error('no VM owns a cell');
      return found;
    },
    place: async (vm, req, signal = new AbortController().signal) =>
      fleet.node(vm).scheduler.place(req, signal),
    setPool: (next) => {
      tables = new Map([[next.id, next]]);
      notifyTableListeners();
    },
    setOutOfService: (name, isOutOfService) => {
      if (isOutOfService) outOfService.add(name);
      else outOfService.delete(name);
      notifyTableListeners();
    },
    setState,
    kill: async (name) => {
      const node = fleet.node(name);
      simulated.handlers.delete(node.vm);
      memberListeners.delete(node.vm);
      tableListeners.delete(node.vm);
      nodes.delete(name);
      await node.scheduler.stop();
    },
    start: async (name) => {
      const vm = vmId(name);
      const telemetry = createTelemetry({ vm }, () => {});
      telemetries.push(telemetry);
      const abandoned: Grant[] = [];
      if (!leases.has(vm)) leases.set(vm, 1);
      const scheduler = createScheduler({
        network: createNetwork(vm, name.charAt(0), simulated),
        membership: createMembershipOf(vm),
        configuration: createConfigurationOf(vm),
        telemetry,
        findLeaseEpoch: () => leases.get(vm),
        hasColdShare: () => coldShare.has(vm),
        findCachedTokens: (id) => fleet.findCachedTokens(id),
        onAbandoned: (grant) => abandoned.push(grant),
      });
      nodes.set(name, { vm, scheduler, telemetry, abandoned });
      await scheduler.start();
      setState(name, 'live');
    },
    violations: () =>
      telemetries.flatMap((t) =>
        t.invariants.violations().map((v) => `${v.invariant}: ${v.detail}`),
      ),
    get dropsMessage() {
      return simulated.dropsMessage;
    },
    set dropsMessage(value) {
      simulated.dropsMessage = value;
    },
    leases,
    coldShare,
    findCachedTokens: () => 0,
  };
  for (const vm of vms) await fleet.start(vm);
  await vi.advanceTimersByTimeAsync(1_100);
  return fleet;
}

/** Returns the value of a settled result or throws its error. */
export function unwrap<T>(result: Result<T, RouterError>): T {
  if (result.isErr()) throw result.error;
  return result.value;
}

/** Returns the error of a failed result. */
export function unwrapError<T>(result: Result<T, RouterError>): RouterError {
  if (result.isOk()) throw new Error('the result is not an error');
  return result.error;
}

/** Advances the fake clock and runs the messages and timers that are due. */
export const advance = (ms: number): Promise<unknown> => vi.advanceTimersByTimeAsync(ms);

/** Advances the fake clock until the promise settles or the limit has passed. */
export async function settle<T>(promise: Promise<T>, limitMs = 30_000): Promise<T> {
  let done = false;
  const finished = promise.finally(() => {
    done = true;
  });
  for (let elapsed = 0; !done && elapsed < limitMs; elapsed += 10) await advance(10);
  return finished;
}
