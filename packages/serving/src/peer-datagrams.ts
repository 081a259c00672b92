/**
 * Messages between nodes over UDP, one datagram each. Loss is tolerated: each report replaces the
 * previous one, and missed changes are read from a peer. There are no connections that could hang.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { Telemetry } from '@hibiscusbank/core';

/** Maximum message size, which fits into one UDP datagram. */
const MAX_MESSAGE_BYTES = 60_000;

interface Address {
  readonly host: string;
  readonly port: number;
}

export interface PeerDatagrams {
  /** Opens the socket. `receive` is called with each message that is valid JSON. */
  start(receive: (message: unknown) => void): Promise<void>;
  stop(): void;
  /** Sends one message to several nodes. Returns false when it is too long. */
  send(message: unknown, recipients: readonly Address[]): boolean;
}

export interface PeerDatagramsOptions {
  readonly self: Address;
  readonly telemetry: Telemetry;
}

/** Creates the UDP socket of one node. */
export function createPeerDatagrams({ self, telemetry }: PeerDatagramsOptions): PeerDatagrams {
  let socket: Socket | undefined;

  /**
   * Messages from the network are untrusted; an exception in their handling must not end the
   * process.
   */
  const handleDatagram = (bytes: Buffer, receive: (message: unknown) => void): void => {
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
        const onStartError = (error: Error): void => {
          opened.close();
          reject(error);
        };
        opened.once('error', onStartError);
        opened.on('message', (bytes) => handleDatagram(bytes, receive));
        opened.bind(self.port, self.host, () => {
          socket = opened;
          opened.off('error', onStartError);
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
        telemetry.log('peerReportRejected', { error: `message too long: ${bytes.length} bytes` });
        return false;
      }
      for (const { host, port } of recipients) socket?.send(bytes, port, host);
      return true;
    },
  };
}
