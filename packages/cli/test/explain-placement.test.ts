import { createServer } from 'node:http';
import type { AddressInfo, Server } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { runApp } from '../src/index.js';

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

async function startNode(status: number, answer: (url: string) => unknown): Promise<number> {
  const server = createServer((req, res) => {
    res.writeHead(status, { 'content-type': 'application/json', connection: 'close' });
    res.end(JSON.stringify(answer(req.url ?? '')));
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

async function runCommand(...args: string[]) {
  const lines: string[] = [];
  const print = (line: string): void => {
    lines.push(line);
  };
  const createPorts = (): never => {
    throw new Error('the command needs no ports');
  };
  const code = await runApp(['explain-placement', ...args], {
    print,
    printError: print,
    createPorts,
  });
  return { code, text: lines.join('\n') };
}

const explanation = (port: number, cell?: object) => ({
  node: 'node-1',
  route: 'note',
  pool: 'engines',
  weight: 1,
  tokens: 1_060,
  first: 'engine-1',
  candidates: [
    { upstream: 'engine-1', dataCentre: 'a', requests: 1, tokens: 500, failureRate: 0, rank: 1 },
    {
      upstream: 'engine-2',
      dataCentre: 'a',
      leftOut: 'full',
      requests: 9,
      tokens: 45_000,
      failureRate: 0,
    },
  ],
  allocation: { allocator: { node: 'node-2', host: '127.0.0.1', port }, cell },
});

const cell = {
  cell: 'engines/run/a',
  waiting: 3,
  expectedWaitMs: 420,
  upstreams: [
    {
      upstream: 'engine-1',
      requests: 8,
      tokens: 44_000,
      capacity: { requests: 64, tokens: 45_000 },
      speed: 1.2,
      penalty: 0,
      isFull: true,
    },
  ],
};

test('the answer of the allocator, which another node names, decides', async () => {
  const allocator = await startNode(200, () => [explanation(0, cell)]);
  const node = await startNode(200, () => [explanation(allocator)]);
  const args = ['--node', `127.0.0.1:${node}`, '--host', 'a.example', '--path', '/note/'];
  const { code, text } = await runCommand(...args);
  expect(code).toBe(0);
  expect(text).toContain('allocated by node-2');
  expect(text).toContain('would wait behind 3 requests, 420 ms expected');
  expect(text).toMatch(/engine-2 .* full/);
  const json = await runCommand(...args, '--json');
  expect(JSON.parse(json.text)).toMatchObject([{ pool: 'engines', allocation: { cell } }]);
});

test('a roll-out is told with its step, counts of both versions and the last verdict', async () => {
  const rollout = {
    to: 'v2',
    state: 'running',
    otherShare: 0.3,
    control: {
      phase: 'ramp',
      reason: 'answers as in service',
      evidence: {
        sent: 40,
        running: 7,
        cells: [
          ['note', 'engine-2', 'failure', 0, 37],
          ['note', 'engine-2', 'failure', 1, 3],
          ['note', '', 'failure', 0, 400],
        ],
      },
    },
  };
  const node = await startNode(200, () => [{ ...explanation(0, cell), rollout }]);
  const { text } = await runCommand('--node', `127.0.0.1:${node}`, '--host', 'a', '--path', '/');
  expect(text).toContain('roll-out to v2: running, share 0.3; ramp: answers as in service');
  expect(text).toContain(
    'new version: 40 requests, 3 of 40 failed; in service: 0 of 400 failed, 7',
  );
});

test('a request that the node refuses is reported with its reason', async () => {
  const node = await startNode(404, () => ({ error: 'no route for a.example/x' }));
  const { code, text } = await runCommand(
    '--node',
    `127.0.0.1:${node}`,
    '--host',
    'a',
    '--path',
    '/x',
  );
  expect(code).toBe(2);
  expect(text).toContain('no route for a.example/x');
});
