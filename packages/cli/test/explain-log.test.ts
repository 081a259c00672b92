import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { runApp } from '../src/app.js';
import { exitCodes } from '../src/exit-codes.js';

const lines = [
  'not a line of a node',
  JSON.stringify({ time: 900, vm: 'n1', text: 'the store does not answer', kind: 'tables' }),
  JSON.stringify({ time: 950, vm: 'n2', text: 'the store does not answer', kind: 'tables' }),
  `collector n1 ${JSON.stringify({ time: 1_000, vm: 'n1', text: 'request refused', request: 'r1', kind: 'no_route' })}`,
  JSON.stringify({ time: 1_001, vm: 'n1', text: 'request finished', request: 'r2', status: 200 }),
];

async function run(request: string): Promise<{ code: number | undefined; printed: string[] }> {
  const file = join(await mkdtemp(join(tmpdir(), 'log-')), 'node.log');
  await writeFile(file, lines.join('\n'));
  const printed: string[] = [];
  const code = await runApp(['explain-log', '--request', request, file], {
    print: (line) => printed.push(line),
    printError: (line) => printed.push(line),
    createPorts: () => Promise.reject(new Error('the platform is not needed')),
  });
  return { code, printed };
}

test('explain-log prints the events of a request and the earlier state events of its node', async () => {
  const { code, printed } = await run('r1');
  expect(code).toBe(exitCodes.success);
  expect(printed).toHaveLength(2);
  expect(printed[0]).toContain('the store does not answer');
  expect(printed[1]).toContain('kind=no_route');
});

test('a request that is in no log is rejected with a remedy', async () => {
  const { code, printed } = await run('r9');
  expect(code).toBe(exitCodes.usageError);
  expect(printed.join('\n')).toContain('give the logs of all nodes');
});
