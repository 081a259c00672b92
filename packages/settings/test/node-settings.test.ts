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

const without = (line: string): string => NODE_TEXT.replace(`${line}\n`, '');

test('reads a whole file and fills in the defaults', () => {
  const settings = unwrap(parseNodeSettings(NODE_TEXT));
  expect(settings).toMatchObject({
    vm: 'vm-1',
    listen: { host: '10.0.0.1', port: 8080 },
    objectApi: 'http://10.0.9.1:8500',
    weightStore: undefined,
    limits: { maxBodyBytes: 1_048_576, drainTimeoutMs: 120_000, unconfirmedKeysMs: 3_600_000 },
  });
});

test.each([
  ['a missing key', without('vm = vm-1'), 'node', 'vm', undefined, /^missing; /],
  [
    'a host name',
    NODE_TEXT.replace('10.0.0.1:8080', 'web:80'),
    'node',
    'listen',
    'web:80',
    /IP:port/,
  ],
  [
    'a port out of range',
    NODE_TEXT.replace(':8080', ':70000'),
    'node',
    'listen',
    '10.0.0.1:70000',
    /IP:port/,
  ],
  [
    'a number with a unit',
    NODE_TEXT.replace('1048576', '1MB'),
    'limits',
    'max_body_bytes',
    '1MB',
    /whole number from 1024 to/,
  ],
  [
    'a number out of range',
    NODE_TEXT.replace('1048576', '12'),
    'limits',
    'max_body_bytes',
    '12',
    /whole number from 1024 to/,
  ],
  [
    'a shared address',
    NODE_TEXT.replace(':7080', ':8080'),
    'node',
    'peer_listen',
    '10.0.0.1:8080',
    /differ from listen/,
  ],
  [
    'an unknown key',
    NODE_TEXT.replace('region', 'regoin'),
    'node',
    'regoin',
    undefined,
    /nearest known key is "region"/,
  ],
  [
    'an unknown section',
    NODE_TEXT.replace('[limits]', '[limit]'),
    'limit',
    undefined,
    undefined,
    /nearest known section is \[limits\]/,
  ],
  [
    'a repeated key',
    NODE_TEXT.replace('vm = vm-1', 'vm = vm-1\nvm = vm-2'),
    'node',
    'vm',
    undefined,
    /once; it is also at line 2/,
  ],
  [
    'a repeated section',
    `${NODE_TEXT}[node]\n`,
    'node',
    undefined,
    undefined,
    /once; it is also at line 1/,
  ],
  [
    'a line without a value',
    NODE_TEXT.replace('vm = vm-1', 'vm = vm-1\nvm-2'),
    'node',
    undefined,
    undefined,
    /expected "\[section\]"/,
  ],
  [
    'a key before any section',
    `vm = vm-1\n${NODE_TEXT}`,
    '',
    'vm',
    undefined,
    /must stand in a section/,
  ],
])('reports %s with its place', (_, text, section, key, found, allowed) => {
  const faults = findFaults(text);
  expect(faults).toHaveLength(1);
  expect(faults[0]).toMatchObject({ file: 'node.ini', section, key, found });
  expect(faults[0]?.allowed).toMatch(allowed);
});

test('reports all faults of all sections at once, one a line', () => {
  const text = NODE_TEXT.replace('vm = vm-1', 'vm = a b')
    .replace('10.0.9.1:8500', 'nowhere')
    .replace('1048576', '-1');
  const error = unwrapError(parseNodeSettings(text, 'node.ini'));
  expect(listFaults(error).map(({ key }) => key)).toEqual(['vm', 'object_api', 'max_body_bytes']);
  expect(error.message.split('\n')).toHaveLength(3);
  expect(error.kind).toBe('invalid_settings');
});

test('formats a fault with file, line, section, key, value and what is allowed', () => {
  const [fault] = findFaults(NODE_TEXT.replace('10.0.0.1:8080', 'web:80'));
  expect(formatFault(fault!)).toBe(
    'node.ini:5: [node] listen = "web:80": IP:port, such as 10.0.0.1:8080',
  );
});

test.each([
  ['too short', 'peer_secret = hunter2'],
  ['under a misspelt key', 'peer_secrt = hunter2'],
  ['without an equals sign', 'peer_secret hunter2'],
])('does not show a secret %s', (_, line) => {
  const text = NODE_TEXT.replace('peer_secret = correct-horse', line);
  const error = unwrapError(parseNodeSettings(text));
  expect(JSON.stringify([error.message, listFaults(error)])).not.toContain('hunter2');
});

test("reads an operator's settings from a node's file, its own admin address first", () => {
  const text = `${NODE_TEXT}[operator]\nadmins = 10.0.0.2:9080, 10.0.0.1:9080\n`;
  expect(unwrap(parseOperatorSettings(text))).toEqual({
    objectApi: 'http://10.0.9.1:8500',
    vmList: 'http://10.0.9.2:8600',
    admins: ['10.0.0.1:9080', '10.0.0.2:9080'],
  });
});
