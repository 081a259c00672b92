import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createTelemetry } from '@hibiscusbank/core';
import { expect, test } from 'vitest';
import { createPeerDatagrams } from '../src/peer-datagrams.js';
import { waitUntil } from './support/test-node.js';

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

// An uncaught exception in a socket handler ends the process.
test('a message that cannot be handled is logged and the next one is received', async () => {
  const events: string[] = [];
  const received: unknown[] = [];
  const self = { host: '127.0.0.1', port: await findFreePort() };
  const datagrams = createPeerDatagrams({
    self,
    telemetry: createTelemetry({}, (_, context) => events.push(JSON.stringify(context))),
  });
  await datagrams.start((message) => {
    // Fails as it does for a report with a missing field.
    Object.entries((message as { decode: object }).decode);
    received.push(message);
  });
  const sender = createSocket('udp4');
  for (const text of ['not JSON', '{}', '{"decode":{}}']) sender.send(text, self.port, self.host);
  await waitUntil(() => received.length === 1 && events.length === 2);
  sender.close();
  datagrams.stop();
  expect(received).toEqual([{ decode: {} }]);
});
