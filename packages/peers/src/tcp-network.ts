/** Peer network: JSON-RPC 2.0 over one TCP connection per pair of nodes, opened on first use. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { createError, monotonicMs, RouterError, withTimeout } from '@hibiscusbank/core';
import type { Telemetry, VmId } from '@hibiscusbank/core';
import { JSONRPCServer } from 'json-rpc-2.0';
import { ResultAsync } from 'neverthrow';
import { createHandshake } from './handshake.js';
import { createByteCounter, createConnectionGauge } from './metrics.js';
import { decodeError, encodeError } from './rpc-errors.js';
import { createConnection } from './tcp-connection.js';
import type { Connection } from './tcp-connection.js';
import type { CallOptions, PeerHandler, PeerIdentity, PeerNetwork } from './types.js';

const CONNECT_TIMEOUT_MS = 1_000;
const HELLO_TIMEOUT_MS = 5_000;

/** Calls within this time after a failed connection attempt fail at once, which limits redials. */
const RECONNECT_PAUSE_MS = 200;

export interface TcpNetworkOptions {
  readonly self: PeerIdentity;
  readonly listen: { readonly host: string; readonly port: number };
  readonly secret: string;
  /** `host:port` of a peer, or `undefined` when it is unknown. */
  readonly findAddress: (vm: VmId) => string | undefined;
  readonly telemetry: Telemetry;
  /** Must be higher for every new process on the same VM; default: the wall-clock time in ms. */
  readonly incarnation?: number;
}

function parseAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

function waitForConnect(socket: Socket): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
    socket.once('close', () => reject(new Error('connection closed')));
  });
}

/** Creates the TCP network of one node. */
export function createTcpNetwork(options: TcpNetworkOptions): PeerNetwork {
  const { self, telemetry } = options;
  const handlers = new Map<string, PeerHandler>();
  const connectionByVm = new Map<VmId, Connection>();
  const pendingDials = new Map<VmId, Promise<Connection>>();
  const failedAt = new Map<VmId, number>();
  const openConnections = new Set<Connection>();
  const bytes = createByteCounter(telemetry);
  const connectionGauge = createConnectionGauge(telemetry);
  const incarnation = options.incarnation ?? Date.now();
  const handshake = createHandshake({ ...self, incarnation }, options.secret);
  const rpcServer = new JSONRPCServer<Connection>({ errorListener: () => {} });
  let server: Server | undefined;
  let stopped = false;

  const removeConnection = (connection: Connection): void => {
    openConnections.delete(connection);
    connectionGauge.set(openConnections.size);
    const vm = connection.peer?.vm;
    if (vm !== undefined && connectionByVm.get(vm) === connection) connectionByVm.delete(vm);
  };

  /**
   * Uses a connection for calls to its peer, unless one to the same or a newer process exists. Closes
   * one to an earlier process on the same VM.
   */
  const register = (connection: Connection): void => {
    const { peer } = connection;
    if (peer === undefined) return;
    failedAt.delete(peer.vm);
    const existing = connectionByVm.get(peer.vm);
    if (existing === undefined) {
      connectionByVm.set(peer.vm, connection);
    } else if ((existing.peer?.incarnation ?? 0) < peer.incarnation) {
      connectionByVm.set(peer.vm, connection);
      existing.close('the peer was restarted');
    }
  };

  const attach = (socket: Socket): Connection => {
    const connection = createConnection({
      socket,
      server: rpcServer,
      bytes,
      onClose: removeConnection,
    });
    openConnections.add(connection);
    connectionGauge.set(openConnections.size);
    return connection;
  };

  /** Closes a socket without `hello` in time, so that unknown clients cannot use up sockets. */
  const acceptSocket = (socket: Socket): void => {
    const connection = attach(socket);
    const helloTimer = setTimeout(() => {
      if (connection.peer === undefined) connection.close('peer did not send hello in time');
    }, HELLO_TIMEOUT_MS);
    socket.once('close', () => clearTimeout(helloTimer));
  };

  const runHandler = async (
    handler: PeerHandler,
    params: unknown,
    { peer }: Connection,
  ): Promise<unknown> => {
    if (peer === undefined) throw encodeError(createError('unauthorised', 'send hello first'));
    try {
      return (await handler(params, { vm: peer.vm, dataCentre: peer.dataCentre })) ?? null;
    } catch (thrown) {
      throw encodeError(thrown);
    }
  };

  rpcServer.addMethod('hello', (params: unknown, connection: Connection) => {
    try {
      const reply = handshake.accept(params, connection);
      register(connection);
      return reply;
    } catch (thrown) {
      setImmediate(() => connection.end());
      throw encodeError(thrown);
    }
  });

  const dial = async (to: VmId): Promise<Connection> => {
    const address = options.findAddress(to);
    if (address === undefined) throw new Error(`the address of VM ${to} is unknown`);
    const socket = connect(parseAddress(address));
    const connection = attach(socket);
    try {
      await withTimeout(waitForConnect(socket), CONNECT_TIMEOUT_MS, `connecting to VM ${to}`);
      await handshake.initiate(connection, to, CONNECT_TIMEOUT_MS);
    } catch (thrown) {
      connection.close('connection not established');
      failedAt.set(to, monotonicMs());
      telemetry.log('peerConnectionFailed', { peer: to, address, error: String(thrown) });
      throw thrown;
    }
    register(connection);
    return connection;
  };

  const getConnection = (to: VmId): Promise<Connection> => {
    if (stopped) return Promise.reject(new Error('the network is stopped'));
    const existing = connectionByVm.get(to);
    if (existing?.isOpen()) return Promise.resolve(existing);
    const pending = pendingDials.get(to);
    if (pending !== undefined) return pending;
    if (monotonicMs() - (failedAt.get(to) ?? -Infinity) < RECONNECT_PAUSE_MS) {
      return Promise.reject(new Error(`connecting to VM ${to} failed recently; not retried yet`));
    }
    const newDial = dial(to).finally(() => pendingDials.delete(to));
    pendingDials.set(to, newDial);
    return newDial;
  };

  const callSelf = async (method: string, params: unknown): Promise<unknown> => {
    const handler = handlers.get(method);
    if (handler === undefined) throw createError('internal', `no handler for ${method}`);
    return handler(params, self);
  };

  const callPeer = async (
    to: VmId,
    method: string,
    params: unknown,
    { timeoutMs }: CallOptions,
  ): Promise<unknown> => {
    if (to === self.vm) return callSelf(method, params);
    const deadline = monotonicMs() + timeoutMs;
    const connection = await withTimeout(getConnection(to), timeoutMs, `connecting to VM ${to}`);
    return connection.call(method, params, Math.max(1, deadline - monotonicMs()));
  };

  return {
    self,
    handle: (method, handler) => {
      handlers.set(method, handler);
      rpcServer.addMethod(method, (params: unknown, connection: Connection) =>
        runHandler(handler, params, connection),
      );
    },
    call: <T>(to: VmId, method: string, params: unknown, callOptions: CallOptions) =>
      ResultAsync.fromPromise(callPeer(to, method, params, callOptions) as Promise<T>, (thrown) =>
        thrown instanceof RouterError ? thrown : decodeError(thrown, to),
      ),
    start: () =>
      new Promise((resolve, reject) => {
        server = createServer(acceptSocket);
        server.once('error', reject);
        server.listen(options.listen.port, options.listen.host, () => resolve());
      }),
    stop: async () => {
      stopped = true;
      for (const connection of [...openConnections]) connection.close('the network is stopped');
      const closing = server;
      if (!closing?.listening) return;
      await new Promise<void>((resolve) => {
        closing.close(() => resolve());
      });
    },
  };
}
