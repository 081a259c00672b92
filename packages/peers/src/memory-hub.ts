/** A network in one process, for tests and randomised runs under fake timers. */
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
  /** Creates the network of one process; a later one of the same VM replaces it when started. */
  createNetwork(options: MemoryNetworkOptions): PeerNetwork;
  /** One-way delay of every message. */
  setDelay(delay: (from: PeerIdentity, to: PeerIdentity) => number): void;
  /** Share of messages lost, in [0, 1]. */
  setLoss(probability: number): void;
  /** Messages of a blocked direction vanish, as in a network partition. */
  setBlocked(isBlocked: (from: PeerIdentity, to: PeerIdentity) => boolean): void;
  /** Holds all messages from and to a VM, as if its process were paused. */
  freeze(vm: VmId): void;
  /** Delivers what was held. */
  thaw(vm: VmId): void;
}

interface Endpoint {
  readonly self: PeerIdentity;
  readonly handlers: Map<string, PeerHandler>;
  readonly bytes: ByteCounter;
  /** Called when the endpoint stops, for every call that waits for it. */
  readonly waiting: Set<(error: Error) => void>;
}

interface Reply {
  readonly result?: unknown;
  readonly error?: Error;
}

/** Creates a hub without delay, loss or partitions. */
export function createMemoryHub(random: Random): MemoryHub {
  const endpoints = new Map<VmId, Endpoint>();
  const held = new Map<VmId, (() => void)[]>();
  let findDelay: (from: PeerIdentity, to: PeerIdentity) => number = () => 0;
  let isBlocked: (from: PeerIdentity, to: PeerIdentity) => boolean = () => false;
  let loss = 0;

  const holdOrRun = (vms: readonly VmId[], run: () => void): void => {
    const queue = vms.map((vm) => held.get(vm)).find((found) => found !== undefined);
    if (queue === undefined) run();
    else queue.push(() => holdOrRun(vms, run));
  };

  /** Delivers a message after the delay unless the link drops it. */
  const transmit = (from: PeerIdentity, to: PeerIdentity, deliver: () => void): void => {
    if (isBlocked(from, to) || random.next() < loss) return;
    setTimeout(
      () =>
        holdOrRun([from.vm, to.vm], () => {
          if (!isBlocked(from, to)) deliver();
        }),
      findDelay(from, to),
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

  const exchange = (
    source: Endpoint,
    target: Endpoint,
    method: string,
    params: string,
    expiry: AbortSignal,
  ): Promise<unknown> =>
    new Promise((resolve, reject) => {
      const kind = classifyMethod(method);
      const settle = (reply: Reply, text: string): void => {
        source.bytes.countReceived(text, kind);
        if (reply.error !== undefined) reject(reply.error);
        else resolve((JSON.parse(text) as { result: unknown }).result);
      };
      target.waiting.add(reject);
      expiry.addEventListener('abort', () => target.waiting.delete(reject));
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
    const expiry = new AbortController();
    const reply = exchange(source, target, method, text, expiry.signal);
    try {
      return await withTimeout(reply, timeoutMs, `${method} to VM ${to}`);
    } finally {
      expiry.abort();
    }
  };

  const stop = (endpoint: Endpoint): void => {
    if (endpoints.get(endpoint.self.vm) === endpoint) endpoints.delete(endpoint.self.vm);
    for (const reject of endpoint.waiting) reject(new Error('connection closed'));
    endpoint.waiting.clear();
  };

  return {
    createNetwork: ({ self, telemetry }) => {
      const endpoint: Endpoint = {
        self,
        handlers: new Map(),
        bytes: createByteCounter(telemetry),
        waiting: new Set(),
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
      findDelay = delay;
    },
    setLoss: (probability) => {
      loss = probability;
    },
    setBlocked: (predicate) => {
      isBlocked = predicate;
    },
    freeze: (vm) => {
      if (!held.has(vm)) held.set(vm, []);
    },
    thaw: (vm) => {
      const queue = held.get(vm) ?? [];
      held.delete(vm);
      for (const deliver of queue) deliver();
    },
  };
}
