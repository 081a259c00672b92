/** JSON-RPC 2.0 over one TCP connection per pair of nodes. */
import { createHash } from 'node:crypto';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { createError, RouterError, toError, toRouterError } from '@hibiscusbank/core';
import type { ErrorKind, Telemetry, VmId } from '@hibiscusbank/core';
import { JSONRPCClient, JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0';
import { ResultAsync } from 'neverthrow';
import { readLines } from './lines.js';
import type { PeerHandler, PeerIdentity, PeerNetwork } from './types.js';

const CONNECT_TIMEOUT_MS = 1_000;
const APPLICATION_ERROR_CODE = -32000;

export interface TcpNetworkOptions {
  readonly self: PeerIdentity;
  readonly listen: { readonly host: string; readonly port: number };
  readonly secret: string;
  /** `host:port` of a peer, or `undefined` when it is unknown. */
  readonly findAddress: (vm: VmId) => string | undefined;
  readonly telemetry: Telemetry;
}

interface ErrorData {
  kind: ErrorKind;
  retryAfterMs?: number;
  effect?: 'not_run' | 'unknown';
  info?: Record<string, unknown>;
}

interface Connection {
  readonly client: JSONRPCClient;
  readonly socket: Socket;
}

interface Hello extends PeerIdentity {
  readonly secretDigest: string;
}

function digestSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

function encodeError(thrown: unknown): JSONRPCErrorException {
  const error = toRouterError(thrown);
  const data: ErrorData = { kind: error.kind };
  if (error.retryAfterMs !== undefined) data.retryAfterMs = error.retryAfterMs;
  if (error.effect !== undefined) data.effect = error.effect;
  return new JSONRPCErrorException(error.message, APPLICATION_ERROR_CODE, data);
}

function decodeError(thrown: unknown, to: VmId): RouterError {
  if (thrown instanceof JSONRPCErrorException && thrown.data !== undefined) {
    const { kind, ...options } = thrown.data as ErrorData;
    return createError(kind, thrown.message, options);
  }
  const cause = toError(thrown);
  const kind = cause.message === 'Request timeout' ? 'timeout' : 'peer_unavailable';
  return createError(kind, `no answer from VM ${to}; it may be down`, { cause });
}

/** Creates the network of one node. */
export function createTcpNetwork(options: TcpNetworkOptions): PeerNetwork {
  const handlers = new Map<string, PeerHandler>();
  const connections = new Map<VmId, Promise<Connection>>();
  const sockets = new Set<Socket>();
  const secretDigest = digestSecret(options.secret);
  let server: Server | undefined;

  const countBytes = (text: string): void => {
    options.telemetry.metrics.controlBytes.inc({ class: 'peer' }, text.length);
  };

  const writeLine = (socket: Socket, message: unknown): void => {
    const line = `${JSON.stringify(message)}\n`;
    countBytes(line);
    socket.write(line);
  };

  const acceptConnection = (socket: Socket): void => {
    let peer: PeerIdentity | undefined;
    const rpc = new JSONRPCServer({ errorListener: () => {} });
    const run = async (handler: PeerHandler, params: unknown): Promise<unknown> => {
      if (peer === undefined) throw encodeError(createError('unauthorised', 'send hello first'));
      try {
        return (await handler(params, peer)) ?? null;
      } catch (thrown) {
        throw encodeError(thrown);
      }
    };
    handlers.forEach((handler, method) => {
      rpc.addMethod(method, (params: unknown) => run(handler, params));
    });
    rpc.addMethod('hello', (params: Hello) => {
      if (params.secretDigest !== secretDigest) {
        socket.end();
        throw encodeError(createError('unauthorised', 'wrong peer_secret; compare the settings'));
      }
      peer = { vm: params.vm, dataCentre: params.dataCentre };
      return options.self;
    });
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    readLines(socket, (line) => {
      void rpc.receiveJSON(line).then((res) => {
        if (res !== null && !socket.destroyed) writeLine(socket, res);
      });
    });
  };

  const openConnection = (to: VmId): Promise<Connection> =>
    new Promise((resolve, reject) => {
      const address = options.findAddress(to);
      if (address === undefined) {
        reject(new Error(`the address of VM ${to} is unknown`));
        return;
      }
      const separator = address.lastIndexOf(':');
      const socket = connect({
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        timeout: CONNECT_TIMEOUT_MS,
      });
      const client = new JSONRPCClient((message: JSONRPCRequest) => {
        if (socket.destroyed) throw new Error('connection closed');
        writeLine(socket, message);
      });
      const close = (error: Error): void => {
        connections.delete(to);
        socket.destroy();
        client.rejectAllPendingRequests(error.message);
        reject(error);
      };
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', close);
      socket.on('timeout', () => close(new Error('connect timeout')));
      socket.on('close', () => {
        sockets.delete(socket);
        close(new Error('connection closed'));
      });
      socket.on('connect', () => {
        socket.setTimeout(0);
        client
          .timeout(CONNECT_TIMEOUT_MS)
          .request('hello', { ...options.self, secretDigest })
          .then(() => resolve({ client, socket }), close);
      });
      readLines(socket, (line) => client.receive(JSON.parse(line) as JSONRPCResponse));
    });

  const getConnection = (to: VmId): Promise<Connection> => {
    const existing = connections.get(to);
    if (existing !== undefined) return existing;
    const opened = openConnection(to);
    connections.set(to, opened);
    opened.catch(() => connections.delete(to));
    return opened;
  };

  return {
    self: options.self,
    handle: (method, handler) => {
      handlers.set(method, handler);
    },
    call: <T>(to: VmId, method: string, params: unknown, { timeoutMs }: { timeoutMs: number }) =>
      ResultAsync.fromPromise(
        (async () => {
          if (to === options.self.vm) {
            const handler = handlers.get(method);
            if (handler === undefined) throw createError('internal', `no handler for ${method}`);
            return (await handler(params, options.self)) as T;
          }
          const { client } = await getConnection(to);
          return (await client.timeout(timeoutMs).request(method, params)) as T;
        })(),
        (thrown) => (thrown instanceof RouterError ? thrown : decodeError(thrown, to)),
      ),
    start: () =>
      new Promise((resolve, reject) => {
        server = createServer(acceptConnection);
        server.once('error', reject);
        server.listen(options.listen.port, options.listen.host, () => resolve());
      }),
    stop: async () => {
      for (const socket of sockets) socket.destroy();
      const closing = server;
      if (closing?.listening) {
        await new Promise<void>((resolve) => {
          closing.close(() => resolve());
        });
      }
    },
  };
}
