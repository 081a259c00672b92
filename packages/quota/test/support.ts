/* eslint import-x/no-relative-packages: off -- test support is no part of a package's interface */
/** A fleet in one process, with a fake network, membership, configuration and object store. */
import {
  createError,
  createRandom,
  dataCentreId,
  monotonicMs,
  organisationId,
  requestId,
  toRouterError,
  vmId,
  withTimeout,
} from '@hibiscusbank/core';
import type { DataCentreId, Random, RouterError, VmId } from '@hibiscusbank/core';
import type { ConfigurationEntry } from '@hibiscusbank/configuration';
import type { Membership, PeerHandler, PeerNetwork } from '@hibiscusbank/peers';
import { createEscrowQuota } from '@hibiscusbank/quota';
import type { Charge } from '@hibiscusbank/quota';
import { ResultAsync } from 'neverthrow';
import { vi } from 'vitest';
import {
  createFakeObjectApi,
  createStore,
  createTestTelemetry,
} from '../../object-api/test/support.js';

import { createFakeReplica } from './fake-replica.js';
import type { Admission, FleetOptions, TestNode } from './fleet-types.js';

export type { Admission, TestNode } from './fleet-types.js';

export const ORGANISATION = organisationId('org');

const NETWORK_DELAY_MS = 2;

export type Fleet = ReturnType<typeof createFleet>;

export function createFleet(options: FleetOptions) {
  const random: Random = createRandom(options.seed ?? 1);
  const store = createStore();
  const nodes = new Map<VmId, TestNode>();
  const startedNodes: TestNode[] = [];
  const listed = new Set<VmId>();
  const disconnected = new Set<string>();
  const admissions: Admission[] = [];
  const refunds: { at: number; tokens: number }[] = [];
  const net = {
    replyLossRate: 0,
    duplicateRate: 0,
    slowReplyRate: 0,
    replyDelayMs: NETWORK_DELAY_MS,
    onCall: undefined as ((method: string, from: VmId, to: VmId) => void) | undefined,
    loseNextReplyTo: undefined as string | undefined,
  };
  const platform = { down: false, unreachableFrom: new Set<VmId>() };
  let requests = 0;

  const isLinked = (a: VmId, b: VmId): boolean =>
    a === b || (!disconnected.has(`${a} ${b}`) && !disconnected.has(`${b} ${a}`));

  const write = (key: string, value: unknown): void => {
    store.revision += 1;
    store.objects.set(key, { key, value, version: store.revision, writeId: '' });
  };

  const setLimits = (ratePerS: number, burst: number): void =>
    write(`config/organisations/${ORGANISATION}`, { id: ORGANISATION, ratePerS, burst });
  const setDataCentres = (names: readonly string[]): void => write('config/pools/names', names);

  const delay = async (ms: number): Promise<void> => {
    await new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  };
  const waitWhilePaused = async (node: TestNode): Promise<void> => {
    while (node.paused) {
      await new Promise<void>((resolve) => {
        node.heldMessages.push(resolve);
      });
    }
    if (!node.alive) await new Promise(() => {});
  };

  const deliver = async (node: TestNode, to: VmId, method: string, params: unknown) => {
    const copy = JSON.parse(JSON.stringify(params)) as unknown;
    await waitWhilePaused(node);
    await delay(node.vm === to ? 0 : NETWORK_DELAY_MS);
    const target = nodes.get(to);
    if (!isLinked(node.vm, to)) await new Promise(() => {});
    if (target?.alive !== true) throw createError('peer_unavailable', `${to} is down`);
    await waitWhilePaused(target);
    net.onCall?.(method, node.vm, to);
    const handler = target.handlers.get(method);
    if (handler === undefined) throw createError('internal', `no handler for ${method}`);
    const from = { vm: node.vm, dataCentre: node.dataCentre };
    if (random.next() < net.duplicateRate) void handler(copy, from).catch(() => {});
    const result = (await handler(copy, from)) ?? null;
    await waitWhilePaused(target);
    if (net.loseNextReplyTo === method) {
      net.loseNextReplyTo = undefined;
      await new Promise(() => {});
    }
    if (node.vm !== to && random.next() < net.replyLossRate) await new Promise(() => {});
    await delay(node.vm === to ? 0 : net.replyDelayMs);
    if (random.next() < net.slowReplyRate) await delay(random.nextInt(1_500));
    if (!isLinked(node.vm, to)) await new Promise(() => {});
    return JSON.parse(JSON.stringify(result)) as unknown;
  };

  const callFrom = <T>(
    getNode: () => TestNode,
    to: VmId,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): ResultAsync<T, RouterError> => {
    const send = async (): Promise<T> => {
      try {
        const delivery = deliver(getNode(), to, method, params) as Promise<T>;
        return await withTimeout(delivery, timeoutMs, method);
      } finally {
        await waitWhilePaused(getNode());
      }
    };
    return ResultAsync.fromPromise(send(), (thrown) => toRouterError(thrown));
  };

  const startNode = (name: string): TestNode => {
    const dc = Object.entries(options.vms).find(([, vms]) => vms.includes(name))?.[0] ?? '';
    const self = { vm: vmId(name), dataCentre: dataCentreId(dc) };
    const handlers = new Map<string, PeerHandler>();
    const entries = new Map<string, ConfigurationEntry>();
    const { replica, applyEntry } = createFakeReplica(entries);
    const { api, faults } = createFakeObjectApi(store);
    const telemetry = createTestTelemetry();
    const ref: { node?: TestNode } = {};
    const getNode = (): TestNode => {
      if (ref.node === undefined) throw new Error('the node is used before its start');
      return ref.node;
    };
    const network = {
      self,
      handle: (method: string, handler: PeerHandler) => handlers.set(method, handler),
      call: (to: VmId, method: string, params: unknown, { timeoutMs }: { timeoutMs: number }) =>
        callFrom(getNode, to, method, params, timeoutMs),
    } as unknown as PeerNetwork;
    const membership = {
      self,
      listLive: (dataCentre: DataCentreId) =>
        [...nodes.values()]
          .filter((node) => node.dataCentre === dataCentre && node.alive && !node.paused)
          .filter((node) => isLinked(self.vm, node.vm) && listed.has(node.vm) && !node.leaving)
          .map((node) => node.vm)
          .sort(),
      listedVms: () => [...listed],
      lastContactMs: () => ref.node?.lastContact ?? monotonicMs(),
    } as unknown as Membership;
    const quota = createEscrowQuota({
      network,
      membership,
      configuration: replica,
      objectApi: api,
      telemetry,
    });
    const node: TestNode = {
      ...self,
      alive: true,
      paused: false,
      leaving: false,
      heldMessages: [],
      lastContact: monotonicMs(),
      quota,
      handlers,
      entries,
      applyEntry,
      faults,
      telemetry,
    };
    ref.node = node;
    nodes.set(self.vm, node);
    startedNodes.push(node);
    listed.add(self.vm);
    void quota.start();
    return node;
  };

  const canReachPlatform = (node: TestNode): boolean =>
    !platform.down && !platform.unreachableFrom.has(node.vm);

  /** Updates the last contact, configuration and platform access of every node. */
  const tick = (): void => {
    for (const node of nodes.values()) {
      node.faults.down = !canReachPlatform(node) || node.paused;
      if (!node.alive || node.paused) continue;
      node.heldMessages.splice(0).forEach((resume) => resume());
      const peers = [...nodes.values()].filter(
        (peer) => peer !== node && peer.alive && !peer.paused && isLinked(node.vm, peer.vm),
      );
      if (canReachPlatform(node) || peers.length > 0) node.lastContact = monotonicMs();
      for (const peer of peers) peer.entries.forEach(node.applyEntry);
      if (!canReachPlatform(node)) continue;
      for (const object of store.objects.values()) {
        const { key, value, version: revision } = object;
        node.applyEntry({ key, value, revision, deleted: false });
      }
    }
  };

  const run = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 250) {
      tick();
      await vi.advanceTimersByTimeAsync(Math.min(250, ms - elapsedMs));
    }
  };

  const get = (name: string): TestNode => {
    const node = nodes.get(vmId(name));
    if (node === undefined) throw new Error(`no node ${name}`);
    return node;
  };

  const debit = async (name: string, tokens: number, waitMs = 2_000) => {
    const node = get(name);
    requests += 1;
    const result = await node.quota.debit({
      organisation: ORGANISATION,
      requestId: requestId(`r${requests}`),
      tokens,
      waitMs,
    });
    const admission = { at: monotonicMs(), charged: tokens, used: tokens };
    if (result.isOk()) admissions.push(admission);
    return { result, admission };
  };

  const refund = (name: string, charge: Charge, admission: Admission, tokens: number): void => {
    admission.used -= tokens;
    refunds.push({ at: monotonicMs(), tokens });
    get(name).quota.refund(charge, tokens);
  };

  const kill = (name: string): void => {
    const node = get(name);
    node.alive = false;
    void node.quota.stop();
  };

  /** Sends a debit every 50 ms. Resolves to the tokens granted by the end of the last interval. */
  const offerLoad = async (names: readonly string[], tokens: number, count: number) => {
    let granted = 0;
    const submit = async (name: string): Promise<void> => {
      const { result } = await debit(name, tokens);
      if (result.isOk()) granted += tokens;
    };
    for (let i = 0; i < count; i += 1) {
      void submit(names[i % names.length] ?? '');
      await run(50);
    }
    return granted;
  };

  const leave = (name: string): Promise<void> => {
    get(name).leaving = true;
    return get(name).quota.leave();
  };

  const disconnect = (a: string, b: string): void => {
    if (a !== b) disconnected.add(`${a} ${b}`);
  };

  const allNames = Object.values(options.vms).flat();
  setLimits(options.ratePerS, options.burst);
  setDataCentres(options.dataCentres ?? Object.keys(options.vms));

  return {
    admissions,
    refunds,
    store,
    net,
    platform,
    listed,
    nodes,
    names: allNames,
    random,
    startNode,
    startAll: async () => {
      allNames.forEach(startNode);
      await run(20_000);
    },
    run,
    get,
    debit,
    offerLoad,
    refund,
    kill,
    leave,
    disconnect,
    isolate: (name: string) => {
      allNames.forEach((other) => disconnect(name, other));
      platform.unreachableFrom.add(vmId(name));
    },
    heal: () => {
      disconnected.clear();
      platform.unreachableFrom.clear();
    },
    setLimits,
    setDataCentres,
    violations: () => startedNodes.flatMap((node) => node.telemetry.invariants.violations()),
    totalBalance: () =>
      [...nodes.values()]
        .filter((node) => node.alive)
        .flatMap((node) => node.quota.balances())
        .reduce((sum, balance) => sum + balance.tokens, 0),
    stop: async () => {
      await Promise.all(startedNodes.map((node) => node.quota.stop()));
    },
  };
}
