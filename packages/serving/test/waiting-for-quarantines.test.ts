import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createTelemetry } from '@hibiscusbank/core';
import { ok } from 'neverthrow';
import { expect, test } from 'vitest';
import type { ServingContext } from '../src/context.js';
import { createServingGateway } from '../src/serving-gateway.js';
import type { ServingGatewayOptions } from '../src/serving-gateway.js';
import type { ServingRequest } from '../src/index.js';

// Guards against quarantined requests that a starting node sends before it has read of the quarantine.
test('a node that has not read the quarantines refuses requests until it has', async () => {
  let isWaiting = true;
  const context = {
    crashProtection: { isWaiting: () => isWaiting },
    directory: { isComplete: () => true, findRoute: () => undefined },
    drain: { isDraining: () => false },
    telemetry: createTelemetry({}, () => {}),
  } as unknown as ServingContext;
  const gateway = createServingGateway({
    context,
    memory: {} as ServingGatewayOptions['memory'],
    readRequest: ({ incoming }) => {
      const promptParts = [incoming.headers['x-parts']].filter((part) => part !== undefined);
      return ok({ id: '1', promptParts } as unknown as ServingRequest);
    },
  });
  const server = createServer((incoming, outgoing) => {
    void gateway.serve({ incoming, outgoing });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const send = async (headers: Record<string, string>): Promise<unknown> =>
    (await fetch(`http://127.0.0.1:${port}/`, { headers })).json();

  expect(await send({ 'x-parts': 'guide' })).toMatchObject({
    error: { type: 'not_ready', outcome: 'not_run' },
  });
  expect(await send({})).toMatchObject({ error: { type: 'not_ready', outcome: 'not_run' } });
  isWaiting = false;
  expect(await send({})).toMatchObject({ error: { type: 'no_route' } });
  expect(await send({ 'x-parts': 'guide' })).toMatchObject({ error: { type: 'no_route' } });
  server.close();
});
