import { expect, test } from 'vitest';
import { unwrap } from '@hibiscusbank/core';
import {
  formatFault,
  listFaults,
  parseNodeSettings,
  parseOperatorSettings,
} from '@hibiscusbank/settings';
import { NODE_TEXT, unwrapError } from './samples.js';

const findFaults = (text: string) => listFaults(unwrapError(parseNodeSettings(text, 'node.ini')));

test('reads all settings of a file and applies defaults to missing keys', () => {
  const settings = unwrap(parseNodeSettings(NODE_TEXT));
  expect(settings).toMatchObject({
    vm: 'vm-1',
    listen: { host: '10.0.0.1', port: 8080 },
    objectApi: 'http://10.0.9.1:8500',
    weightStore: undefined,
    limits: { maxBodyBytes: 1_048_576, drainTimeoutMs: 120_000, unconfirmedKeysMs: 3_600_000 },
  });
});

test.each`
  fault                         | from               | to                       | place                                        | allowed
  ${'a missing key'}            | ${'vm = vm-1\n'}   | ${''}                    | ${'1: [node] vm'}                            | ${'missing; letters, digits'}
  ${'a host name'}              | ${'10.0.0.1:8080'} | ${'web:80'}              | ${'5: [node] listen = "web:80"'}             | ${'IP:port'}
  ${'a port out of range'}      | ${':8080'}         | ${':70000'}              | ${'5: [node] listen = "10.0.0.1:70000"'}     | ${'IP:port'}
  ${'a number with a unit'}     | ${'1048576'}       | ${'1MB'}                 | ${'15: [limits] max_body_bytes = "1MB"'}     | ${'a whole number from 1024 to 1073741824'}
  ${'a number out of range'}    | ${'1048576'}       | ${'12'}                  | ${'15: [limits] max_body_bytes = "12"'}      | ${'a whole number from 1024 to 1073741824'}
  ${'a shared address'}         | ${':7080'}         | ${':8080'}               | ${'6: [node] peer_listen = "10.0.0.1:8080"'} | ${'must differ from listen'}
  ${'an unknown key'}           | ${'region'}        | ${'regoin'}              | ${'4: [node] regoin'}                        | ${'the nearest known key is "region"'}
  ${'an unknown section'}       | ${'[limits]'}      | ${'[limit]'}             | ${'14: [limit]'}                             | ${'the nearest known section is [limits]'}
  ${'a repeated key'}           | ${'region = '}     | ${'vm = x\nregion = '}   | ${'4: [node] vm'}                            | ${'once; it is also at line 2'}
  ${'a repeated section'}       | ${'[limits]\n'}    | ${'[node]\n[limits]\n'}  | ${'14: [node]'}                              | ${'once; it is also at line 1'}
  ${'a line without a value'}   | ${'region = '}     | ${'vm-2\nregion = '}     | ${'4: [node]'}                               | ${'expected "[section]"'}
  ${'a key before any section'} | ${'[node]\n'}      | ${'vm = vm-1\n[node]\n'} | ${'1: vm'}                                   | ${'must be in a section'}
`('reports $fault with its location', ({ from, to, place, allowed }) => {
  const faults = findFaults(NODE_TEXT.replace(from, to)).map(formatFault);
  expect(faults).toHaveLength(1);
  expect(faults[0]?.startsWith(`node.ini:${place}: `)).toBe(true);
  expect(faults[0]).toContain(allowed);
});

test('reports all faults of all sections in one error, one per line', () => {
  const text = NODE_TEXT.replace('vm = vm-1', 'vm = a b')
    .replace('10.0.9.1:8500', 'nowhere')
    .replace('1048576', '-1');
  const error = unwrapError(parseNodeSettings(text, 'node.ini'));
  expect(listFaults(error).map(({ key }) => key)).toEqual(['vm', 'object_api', 'max_body_bytes']);
  expect(error.message.split('\n')).toHaveLength(3);
  expect(error.kind).toBe('invalid_settings');
});

test('formats a fault with file, line, section, key, value and allowed values', () => {
  const [fault] = findFaults(NODE_TEXT.replace('10.0.0.1:8080', 'web:80'));
  expect(formatFault(fault!)).toBe(
    'node.ini:5: [node] listen = "web:80": IP:port, such as 10.0.0.1:8080',
  );
});

test.each([
  ['too short', 'peer_secret = correct-horse', 'peer_secret = hunter'],
  ['under a misspelt key', 'peer_secret = correct-horse', 'peer_secrt = hunter2'],
  ['without an equals sign', 'peer_secret = correct-horse', 'peer_secret hunter2'],
  ['in an address', 'object_api = ', 'object_api = http://me:hunter2/x@'],
])('does not show a secret %s', (_, from, to) => {
  const error = unwrapError(parseNodeSettings(NODE_TEXT.replace(from, to)));
  expect(JSON.stringify([error.message, listFaults(error)])).not.toContain('hunter');
});

test("reads operator settings from a node's file, with the node's admin address first", () => {
  const text = `${NODE_TEXT}[operator]\nadmins = 10.0.0.2:9080, 10.0.0.1:9080\n`;
  expect(unwrap(parseOperatorSettings(text))).toEqual({
    objectApi: 'http://10.0.9.1:8500',
    vmList: 'http://10.0.9.2:8600',
    admins: ['10.0.0.1:9080', '10.0.0.2:9080'],
  });
});
