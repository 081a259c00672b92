import type { IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough } from 'node:stream';
import { digestKey } from '@hibiscusbank/configuration';
import type { TenantKey } from '@hibiscusbank/configuration';
import { organisationId } from '@hibiscusbank/core';
import { request } from 'undici';
import { afterEach, expect, test } from 'vitest';
import { createGateway } from '../src/gateway.js';
import type { Gateway } from '../src/types.js';
import {
  createFakeConfiguration,
  createFakeEngines,
  createOptions,
  createRoute,
  emitTokens,
  ORGANISATION,
} from './support/fakes.js';

const keys = new Map<string, TenantKey>();
const runningGateways: Gateway[] = [];

function issueKey(key: string, organisation: string): void {
  const digest = digestKey(key);
  keys.set(digest, {
    digest,
    organisation: organisationId(organisation),
    withdrawn: false,
    hint: key.slice(0, 4),
  });
}

async function startGateway(areKeysConfirmed = true): Promise<string> {
  issueKey('sk-good', ORGANISATION);
  issueKey('sk-other', 'werkbankdienst');
  const { engines } = createFakeEngines((call) => {
    emitTokens(call, 3, true);
    return undefined;
  });
  const gateway = createGateway(
    createOptions({
      engines,
      configuration: createFakeConfiguration({
        routes: () => [createRoute()],
        findKey: (digest) => keys.get(digest),
        areKeysConfirmed: () => areKeysConfirmed,
      }),
    }),
  );
  runningGateways.push(gateway);
  await gateway.start();
  return `http://127.0.0.1:${gateway.port()}`;
}

afterEach(async () => {
  await Promise.all(runningGateways.splice(0).map((gateway) => gateway.kill()));
  keys.clear();
});

async function sendRequest(url: string, key: string | undefined, body: string) {
  const res = await request(url, {
    method: 'POST',
    headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
    body,
  });
  const text = await res.body.text();
  return { status: res.statusCode, outcome: res.headers['x-hibiscusbank-outcome'], text };
}

const validBody = JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'hi' }] });
const chatPath = '/v1/chat/completions';

test.each([
  ['a missing key', undefined, validBody, chatPath, 401, 'Authorization'],
  ['an unknown key', 'sk-wrong', validBody, chatPath, 401, 'withdrawn'],
  [
    'a key of an organisation without access to the route',
    'sk-other',
    validBody,
    chatPath,
    403,
    'ask the operator',
  ],
  ['an unknown path', 'sk-good', validBody, '/nowhere', 404, 'routes table'],
  ['an unknown key with a malformed body', 'sk-wrong', '{"model":', chatPath, 401, 'withdrawn'],
  ['malformed JSON', 'sk-good', '{"model":', chatPath, 400, 'not valid JSON'],
  ['a body without messages', 'sk-good', '{"model":"m"}', chatPath, 400, 'messages'],
  ['a body over the limit', 'sk-good', ' '.repeat(20_000), chatPath, 413, '10000 bytes'],
])('refuses %s as not run', async (_name, key, body, path, status, expectedMessage) => {
  const url = await startGateway();
  const res = await sendRequest(`${url}${path}`, key, body);
  expect(res).toMatchObject({ status, outcome: 'not_run' });
  expect(JSON.parse(res.text)).toMatchObject({ error: { outcome: 'not_run', code: status } });
  expect(res.text).toContain(expectedMessage);
});

test('keys are refused while they cannot be confirmed', async () => {
  const url = await startGateway(false);
  expect(await sendRequest(`${url}${chatPath}`, 'sk-good', validBody)).toMatchObject({
    status: 503,
  });
});

test('a request without streaming is answered in one JSON body', async () => {
  const url = await startGateway();
  const res = await sendRequest(`${url}${chatPath}`, 'sk-good', validBody);
  expect(res).toMatchObject({ status: 200, outcome: 'answered' });
  expect(JSON.parse(res.text)).toMatchObject({
    choices: [{ message: { content: 'w0 w1 w2 ' }, finish_reason: 'length' }],
    usage: { completion_tokens: 3 },
  });
});

test('a key withdrawn between two requests on one connection is refused on the second', async () => {
  const url = await startGateway();
  expect(await sendRequest(`${url}${chatPath}`, 'sk-good', validBody)).toMatchObject({
    status: 200,
  });
  keys.delete(digestKey('sk-good'));
  expect(await sendRequest(`${url}${chatPath}`, 'sk-good', validBody)).toMatchObject({
    status: 401,
  });
});

test('each event of a stream has an id with request, engine and token index', async () => {
  const url = await startGateway();
  const res = await sendRequest(
    `${url}${chatPath}`,
    'sk-good',
    JSON.stringify({ ...JSON.parse(validBody), stream: true }),
  );
  const ids = [...res.text.matchAll(/^id: (.+)$/gm)].map((match) => match[1]);
  expect(ids).toHaveLength(3);
  expect(ids[2]).toMatch(/^req_[0-9a-f-]+\.d1\.2$/);
  expect(res.text.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('a drain waits for a request whose body is still being read', async () => {
  const gateway = createGateway(createOptions({}));
  const body = new PassThrough();
  const incoming = Object.assign(body, { method: 'POST', url: chatPath, headers: {} });
  const outgoing = Object.assign(new PassThrough(), { writeHead: () => {} });
  void gateway.serve({
    incoming: incoming as unknown as IncomingMessage,
    outgoing: outgoing as unknown as ServerResponse,
  });

  expect(await gateway.waitUntilIdle(0)).toBe(1);

  body.destroy();
});
