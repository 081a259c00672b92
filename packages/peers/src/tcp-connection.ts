/** TCP connection to a peer, used for calls in both directions. */
import type { Socket } from 'node:net';
import { monotonicMs } from '@hibiscusbank/core';
import type { JSONRPCServer } from 'json-rpc-2.0';
import { readLines } from './lines.js';
import type { ByteCounter } from './metrics.js';
import { createRpcSession } from './rpc-session.js';
import type { RpcSession } from './rpc-session.js';
import type { PeerIdentity } from './types.js';

/** Exceeds the time between probes of one peer: about a minute in a data centre of full size. */
const IDLE_TIMEOUT_MS = 300_000;

/**
 * Consecutive call timeouts without any data from the peer after which a connection is closed. A
 * crashed VM sends no TCP reset, so the socket itself reports no error.
 */
const MAX_TIMEOUTS_WITHOUT_DATA = 3;

/** Identity of the process at the other end. */
export interface ConnectedPeer extends PeerIdentity {
  readonly incarnation: number;
}

export interface Connection {
  /** `undefined` until the handshake is complete. */
  peer: ConnectedPeer | undefined;
  isOpen(): boolean;
  call(method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  close(reason: string): void;
  /** Closes the connection after all pending data is sent. */
  end(): void;
}

export interface ConnectionOptions {
  readonly socket: Socket;
  readonly server: JSONRPCServer<Connection>;
  readonly bytes: ByteCounter;
  readonly onClose: (connection: Connection) => void;
}

/** Creates the connection of an incoming or outgoing socket. */
export function createConnection(options: ConnectionOptions): Connection {
  const { socket } = options;
  let lastReceivedAt = monotonicMs();
  let timeoutsWithoutData = 0;
  let open = true;
  let session: RpcSession | undefined;

  const connection: Connection = {
    peer: undefined,
    isOpen: () => open,
    call: async (method, params, timeoutMs) => {
      const sentAt = monotonicMs();
      try {
        if (session === undefined) throw new Error('connection closed');
        return await session.call(method, params, timeoutMs);
      } finally {
        if (monotonicMs() - sentAt >= timeoutMs && lastReceivedAt <= sentAt)
          timeoutsWithoutData += 1;
        if (timeoutsWithoutData >= MAX_TIMEOUTS_WITHOUT_DATA) connection.close('peer sent no data');
      }
    },
    close: (reason) => {
      if (!open) return;
      open = false;
      socket.destroy();
      session?.close(reason);
      options.onClose(connection);
    },
    end: () => socket.end(),
  };

  session = createRpcSession({
    server: options.server,
    context: connection,
    bytes: options.bytes,
    write: (line) => {
      if (!open || !socket.writable) throw new Error('connection closed');
      socket.write(line);
    },
  });

  socket.setNoDelay(true);
  socket.setTimeout(IDLE_TIMEOUT_MS, () => connection.close('connection idle'));
  socket.on('error', (error) => connection.close(error.message));
  socket.on('close', () => connection.close('connection closed'));
  readLines(socket, (line) => {
    lastReceivedAt = monotonicMs();
    timeoutsWithoutData = 0;
    try {
      session?.receive(line);
    } catch {
      connection.close('received line is not a JSON-RPC message');
    }
  });
  return connection;
}
