/** In-memory peer network within one process, for tests and randomised runs with fake timers. */
import { createError, RouterError, toError, withTimeout } from '@hibiscusbank/core';
import type { Random, Telemetry, VmId } from '@hibiscusbank/core';
import { ResultAsync } from 'neverthrow';
import { classifyMethod } from './method-class.js';
import { createByteCounter } from './metrics.js';
import type { ByteCounter } from './metrics.js';
import { decodeError, encodeError } from './rpc-errors.js';
import type { CallOptions, PeerHandler, PeerIdentity, PeerNetwork } from './types.js';

export interface MemoryNetworkOptions {
  readonly self: PeerIdentity;
  readonly telemetry: Telemetry;
}

export interface MemoryHub {
  /** Creates the network of one simulated process. Starting a new one on the same VM replaces it. */
  createNetwork(options: MemoryNetworkOptions): PeerNetwork;
  /** Sets the one-way delay of messages in ms. */
  setDelay(delay: (from: PeerIdentity, to: PeerIdentity) => number): void;
  /** Sets the probability that a message is lost, in [0, 1]. */
  setLoss(probability: number): void;
  /** Drops all messages in the blocked directions, as in a network partition. */
  setBlocked(isBlocked: (from: PeerIdentity, to: PeerIdentity) => boolean): void;
  /** Holds back all messages from and to a VM, as if its process were paused. */
  freeze(vm: VmId): void;
  /** Delivers the messages held back for a VM. */
  thaw(vm: VmId): void;
}

interface Endpoint {
  readonly self: PeerIdentity;
  readonly handlers: Map<string, PeerHandler>;
  readonly bytes: ByteCounter;
  /** Reject functions of the calls that wait for this endpoint; called when it stops. */
  readonly pendingRejects: Set<(error: Error) => void>;
}

interface Reply {
  readonly result?: unknown;
  readonly error?: Error;
}

/** Creates a hub, at first without delay, loss or partitions. */
export function createMemoryHub(random: Random): MemoryHub {
  const endpoints = new Map<VmId, Endpoint>();
  const heldMessages = new Map<VmId, (() => void)[]>();
  let getDelay: (from: PeerIdentity, to: PeerIdentity) => number = () => 0;
  let isBlocked: (from: PeerIdentity, to: PeerIdentity) => boolean = () => false;
  let lossProbability = 0;

  const holdOrRun = (vms: readonly VmId[], run: () => void): void => {
    const holdQueue = vms.map((vm) => heldMessages.get(vm)).find((found) => found !== undefined);
    if (holdQueue === undefined) run();
    else holdQueue.push(() => holdOrRun(vms, run));
  };

  /** Delivers a message after the delay unless the link drops it. */
  const transmit = (from: PeerIdentity, to: PeerIdentity, deliver: () => void): void => {
    if (isBlocked(from, to) || random.next() < lossProbability) return;
    setTimeout(
      () =>
        holdOrRun([from.vm, to.vm], () => {
          if (!isBlocked(from, to)) deliver();
        }),
      getDelay(from, to),
    );
  };

  const runHandler = async (
    target: Endpoint,
    from: PeerIdentity,
    method: string,
    params: string,
  ): Promise<Reply> => {
    const handler = target.handlers.get(method);
    try {
      if (handler === undefined) throw createError('invalid_request', `no method ${method}`);
      return { result: (await handler(JSON.parse(params), from)) ?? null };
    } catch (thrown) {
      return { error: toError(encodeError(thrown)) };
    }
  };

  const sendRequest = (
    source: Endpoint,
    target: Endpoint,
    method: string,
    params: string,
    callEnd: AbortSignal,
  ): Promise<unknown> =>
    new Promise((resolve, reject) => {
      const kind = classifyMethod(method);
      const settle = (reply: Reply, text: string): void => {
        source.bytes.countReceived(text, kind);
        if (reply.error !== undefined) reject(reply.error);
        else resolve((JSON.parse(text) as { result: unknown }).result);
      };
      target.pendingRejects.add(reject);
      callEnd.addEventListener('abort', () => target.pendingRejects.delete(reject));
      source.bytes.countSent(params, kind);
      transmit(source.self, target.self, () => {
        if (endpoints.get(target.self.vm) !== target) return;
        target.bytes.countReceived(params, kind);
        void runHandler(target, source.self, method, params).then((reply) => {
          const text = JSON.stringify({ result: reply.result ?? null });
          target.bytes.countSent(text, kind);
          transmit(target.self, source.self, () => settle(reply, text));
        });
      });
    });

  const call = async (
    source: Endpoint,
    to: VmId,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> => {
    if (endpoints.get(source.self.vm) !== source) throw new Error('the network is stopped');
    const target = endpoints.get(to);
    if (target === undefined) throw new Error('connection refused');
    const text = JSON.stringify(params ?? null);
    const callController = new AbortController();
    const reply = sendRequest(source, target, method, text, callController.signal);
    try {
      return await withTimeout(reply, timeoutMs, `${method} to VM ${to}`);
    } finally {
      callController.abort();
    }
  };

  const stop = (endpoint: Endpoint): void => {
    if (endpoints.get(endpoint.self.vm) === endpoint) endpoints.delete(endpoint.self.vm);
    for (const reject of endpoint.pendingRejects) reject(new Error('connection closed'));
    endpoint.pendingRejects.clear();
  };

  return {
    createNetwork: ({ self, telemetry }) => {
      const endpoint: Endpoint = {
        self,
        handlers: new Map(),
        bytes: createByteCounter(telemetry),
        pendingRejects: new Set(),
      };
      return {
        self,
        handle: (method, handler) => {
          endpoint.handlers.set(method, handler);
        },
        call: <T>(to: VmId, method: string, params: unknown, { timeoutMs }: CallOptions) =>
          ResultAsync.fromPromise(
            call(endpoint, to, method, params, timeoutMs) as Promise<T>,
            (thrown) => (thrown instanceof RouterError ? thrown : decodeError(thrown, to)),
          ),
        start: async () => {
          endpoints.set(self.vm, endpoint);
        },
        stop: async () => stop(endpoint),
      };
    },
    setDelay: (delay) => {
      getDelay = delay;
    },
    setLoss: (probability) => {
      lossProbability = probability;
    },
    setBlocked: (predicate) => {
      isBlocked = predicate;
    },
    freeze: (vm) => {
      if (!heldMessages.has(vm)) heldMessages.set(vm, []);
    },
    thaw: (vm) => {
      const queue = heldMessages.get(vm) ?? [];
      heldMessages.delete(vm);
      for (const deliver of queue) deliver();
    },
  };
}
