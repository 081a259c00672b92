/** Handshake of a connection: both ends identify themselves and show that they know the secret. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { createError } from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import type { ConnectedPeer, Connection } from './tcp-connection.js';

interface Hello extends ConnectedPeer {
  readonly secretDigest: string;
}

export interface Handshake {
  /** Checks a peer's `hello` and returns the reply. Throws `unauthorised` on a wrong secret. */
  accept(params: unknown, connection: Connection): Hello;
  /** Sends `hello`; rejects when another VM than `to` answers or its secret is wrong. */
  initiate(connection: Connection, to: VmId, timeoutMs: number): Promise<void>;
}

function digest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** Compares in constant time, so that response times do not reveal the digest. */
function isSameDigest(a: string, b: unknown): boolean {
  if (typeof b !== 'string' || a.length !== b.length) return false;
  return timingSafeEqual(Buffer.from(a), Buffer.from(b.padEnd(a.length).slice(0, a.length)));
}

/** Creates the handshake of one process. */
export function createHandshake(self: ConnectedPeer, secret: string): Handshake {
  const hello: Hello = { ...self, secretDigest: digest(secret) };

  /** Checks the secret of a peer and records its identity on the connection. */
  const authenticate = (connection: Connection, other: Hello): void => {
    if (!isSameDigest(hello.secretDigest, other.secretDigest)) {
      throw createError('unauthorised', 'wrong peer_secret; compare the settings of both VMs');
    }
    const { vm, dataCentre, incarnation } = other;
    connection.peer = { vm, dataCentre, incarnation };
  };

  return {
    accept: (params, connection) => {
      authenticate(connection, params as Hello);
      return hello;
    },
    initiate: async (connection, to, timeoutMs) => {
      const other = (await connection.call('hello', hello, timeoutMs)) as Hello;
      if (other.vm !== to) {
        throw createError('peer_unavailable', `VM ${other.vm} answers at the address of VM ${to}`);
      }
      authenticate(connection, other);
    },
  };
}
