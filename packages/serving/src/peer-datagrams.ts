/**
 * Messages between nodes, one datagram each. A lost one costs only age: reports replace each other,
 * and a change that was missed is read from a peer. There is no connection that could fall silent.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { Telemetry } from '@hibiscusbank/core';

/** Largest message that fits a datagram. */
const MAX_MESSAGE_BYTES = 60_000;

interface Address {
  readonly host: string;
  readonly port: number;
}

export interface PeerDatagrams {
  /** Opens the socket; `receive` gets every message that can be read. */
  start(receive: (message: unknown) => void): Promise<void>;
  stop(): void;
  /** Sends one message to several nodes; false for one that is too long. */
  send(message: unknown, recipients: readonly Address[]): boolean;
}

export interface PeerDatagramsOptions {
  readonly self: Address;
  readonly telemetry: Telemetry;
}

/** Creates the socket of one node. */
export function createPeerDatagrams({ self, telemetry }: PeerDatagramsOptions): PeerDatagrams {
  let socket: Socket | undefined;

  /** Messages come from the network; one that cannot be taken must not end the process. */
  const take = (bytes: Buffer, receive: (message: unknown) => void): void => {
    try {
      receive(JSON.parse(bytes.toString()));
    } catch (thrown) {
      telemetry.log('peerReportRejected', { error: String(thrown) });
    }
  };

  return {
    start: (receive) =>
      new Promise((resolve, reject) => {
        const opened = createSocket('udp4');
        socket = opened;
        opened.once('error', reject);
        opened.on('message', (bytes) => take(bytes, receive));
        opened.bind(self.port, self.host, () => {
          opened.off('error', reject);
          opened.on('error', (error) => {
            telemetry.log('peerReportRejected', { error: error.message });
          });
          resolve();
        });
      }),
    stop: () => {
      socket?.close();
      socket = undefined;
    },
    send: (message, recipients) => {
      const bytes = Buffer.from(JSON.stringify(message));
      if (bytes.length > MAX_MESSAGE_BYTES) {
        telemetry.log('peerReportRejected', { error: `the message has ${bytes.length} bytes` });
        return false;
      }
      for (const { host, port } of recipients) socket?.send(bytes, port, host);
      return true;
    },
  };
}
