/** Calls between nodes; calls of a node to itself bypass the network. */
import { createError, toRouterError } from '@hibiscusbank/core';
import type { RouterError, VmId } from '@hibiscusbank/core';
import type { PeerIdentity, PeerNetwork } from '@hibiscusbank/peers';
import { ResultAsync } from 'neverthrow';

type Handler = (params: unknown, from: PeerIdentity) => Promise<unknown>;

export interface PeerCalls {
  call<T>(
    to: VmId,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): ResultAsync<T, RouterError>;
  handle<P, R>(method: string, handler: (params: P, from: PeerIdentity) => Promise<R>): void;
}

/** Wraps the network of a node. */
export function createPeerCalls(network: PeerNetwork): PeerCalls {
  const handlers = new Map<string, Handler>();
  const callSelf = async <T>(method: string, params: unknown): Promise<T> => {
    const handler = handlers.get(method);
    if (handler === undefined) throw createError('internal', `no handler for ${method}; report it`);
    return (await handler(params, network.self)) as T;
  };
  return {
    call: <T>(to: VmId, method: string, params: unknown, timeoutMs: number) =>
      to === network.self.vm
        ? ResultAsync.fromPromise(callSelf<T>(method, params), (thrown) => toRouterError(thrown))
        : network.call<T>(to, method, params, { timeoutMs }),
    handle: <P, R>(method: string, handler: (params: P, from: PeerIdentity) => Promise<R>) => {
      const untypedHandler: Handler = (params, from) => handler(params as P, from);
      handlers.set(method, untypedHandler);
      network.handle(method, untypedHandler);
    },
  };
}
