/** One TCP connection to a peer, used for calls in both directions. */
import type { Socket } from 'node:net';
import { monotonicMs } from '@hibiscusbank/core';
import type { JSONRPCServer } from 'json-rpc-2.0';
import { readLines } from './lines.js';
import type { ByteCounter } from './metrics.js';
import { createRpcSession } from './rpc-session.js';
import type { RpcSession } from './rpc-session.js';
import type { PeerIdentity } from './types.js';

/** Unused connections are closed; a peer is probed about once a minute in a full data centre. */
const IDLE_TIMEOUT_MS = 300_000;

/**
 * A connection whose calls time out one after another without any byte from the peer is closed,
 * because the death of a VM sends no reset.
 */
const MAX_SILENT_TIMEOUTS = 3;

/** Process at the other end, known after `hello`. */
export interface ConnectedPeer extends PeerIdentity {
  readonly incarnation: number;
}

export interface Connection {
  peer: ConnectedPeer | undefined;
  isOpen(): boolean;
  call(method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  close(reason: string): void;
  /** Closes the connection once the response being sent is out. */
  end(): void;
}

export interface ConnectionOptions {
  readonly socket: Socket;
  readonly server: JSONRPCServer<Connection>;
  readonly bytes: ByteCounter;
  readonly onClose: (connection: Connection) => void;
}

/** Creates the connection of a socket, accepted or dialled. */
export function createConnection(options: ConnectionOptions): Connection {
  const { socket } = options;
  let lastReceived = monotonicMs();
  let silentTimeouts = 0;
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
        if (monotonicMs() - sentAt >= timeoutMs && lastReceived <= sentAt) silentTimeouts += 1;
        if (silentTimeouts >= MAX_SILENT_TIMEOUTS) connection.close('no byte from the peer');
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
    lastReceived = monotonicMs();
    silentTimeouts = 0;
    try {
      session?.receive(line);
    } catch {
      connection.close('line is not JSON');
    }
  });
  return connection;
}
