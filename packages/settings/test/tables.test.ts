import { expect, test } from 'vitest';
import { unwrap } from '@hibiscusbank/core';
import {
  diffPools,
  diffRoutes,
  listFaults,
  parsePools,
  parseRoutes,
  rankRoutes,
  recogniseFile,
} from '@hibiscusbank/settings';
import { NODE_TEXT, POOLS_TEXT, ROUTES_TEXT, unwrapError } from './samples.js';

const pools = unwrap(parsePools(POOLS_TEXT));
const routes = unwrap(parseRoutes(ROUTES_TEXT, { pools }));

test('reads pools with their upstreams', () => {
  expect(pools.map(({ id, upstreams }) => [id, upstreams.length])).toEqual([
    ['scribe', 2],
    ['desk', 1],
  ]);
  expect(pools[0]?.upstreams[1]).toMatchObject({
    id: 'scribe-d1',
    role: 'decode',
    address: 'http://10.1.0.2:9000',
    memoryBlocks: 400,
    coldLimit: 2,
  });
});

test('reads routes with their access', () => {
  expect(routes.map(({ access }) => access)).toEqual([
    { kind: 'organisations', organisations: ['survey-team', 'crew-office'] },
    { kind: 'organisations', organisations: ['crew-office'] },
    { kind: 'all' },
  ]);
});

const replacePools = (from: string, to: string): string => POOLS_TEXT.replace(from, to);
const replaceRoutes = (from: string, to: string): string => ROUTES_TEXT.replace(from, to);

test.each([
  [
    'an unknown pool',
    replacePools('pool = desk', 'pool = dsk'),
    'upstream desk-1',
    'pool',
    'dsk',
    /the nearest is "desk"/,
  ],
  [
    'a model role in a plain pool',
    replacePools('pool = desk', 'pool = desk\nrole = decode'),
    'upstream desk-1',
    'role',
    'decode',
    /allowed is plain/,
  ],
  [
    'an unknown role',
    replacePools('role = prefill', 'role = prefil'),
    'upstream scribe-p1',
    'role',
    'prefil',
    /one of prefill, decode, both, plain/,
  ],
  [
    'a plain role in a model pool',
    `${POOLS_TEXT}[upstream x]\npool = scribe\ndata_centre = almaty-a\naddress = 10.1.0.9:1\n`,
    'upstream x',
    'role',
    undefined,
    /allowed is prefill, decode or both/,
  ],
  [
    'a pool without prefill engines',
    replacePools('role = prefill', 'role = decode\nmemory_blocks = 9'),
    'pool scribe',
    undefined,
    undefined,
    /at least one prefill engine in data centre almaty-a/,
  ],
  [
    'a data centre without decode engines',
    replacePools('almaty-a\naddress = 10.1.0.1', 'almaty-a\naddress = 10.1.0.1').concat(
      '[upstream y]\npool = scribe\nrole = prefill\ndata_centre = almaty-b\naddress = 10.1.0.9:1\n',
    ),
    'pool scribe',
    undefined,
    undefined,
    /decode engine in data centre almaty-b/,
  ],
  [
    'a model pool without engines',
    `${POOLS_TEXT}[pool empty]\nkind = model\nmodel = m\n`,
    'pool empty',
    undefined,
    undefined,
    /needs prefill and decode engines/,
  ],
  [
    'a model pool without a model',
    replacePools('model = scribe-70b\n', ''),
    'pool scribe',
    'model',
    undefined,
    /^missing; /,
  ],
  [
    'a model key in a plain pool',
    replacePools('kind = plain', 'kind = plain\nadapters = a'),
    'pool desk',
    'adapters',
    'a',
    /remove it/,
  ],
  [
    'a cold limit above the capacity',
    replacePools('pool = desk', 'pool = desk\ncapacity = 4\ncold_limit = 5'),
    'upstream desk-1',
    'cold_limit',
    '5',
    /at most the capacity, 4/,
  ],
  [
    'a decode engine without memory',
    replacePools('memory_blocks = 400\n', ''),
    'upstream scribe-d1',
    'memory_blocks',
    undefined,
    /at least 1/,
  ],
  [
    'an address used twice',
    replacePools('10.1.0.3', '10.1.0.1'),
    'upstream desk-1',
    'address',
    '10.1.0.1:9000',
    /upstream scribe-p1 has it/,
  ],
  [
    'a name used twice',
    replacePools('[upstream scribe-d1]', '[upstream scribe-p1]'),
    'upstream scribe-p1',
    undefined,
    undefined,
    /may occur once/,
  ],
  [
    'an unknown kind of section',
    replacePools('[pool desk]', '[pol desk]'),
    'pol desk',
    undefined,
    undefined,
    /the nearest is \[pool NAME\]/,
  ],
  [
    'a name with a slash',
    replacePools('[pool desk]', '[pool a/b]'),
    'pool a/b',
    undefined,
    undefined,
    /with a name of letters/,
  ],
])('reports %s in the pools table', (_, text, section, key, found, allowed) => {
  const faults = listFaults(unwrapError(parsePools(text, 'pools.ini')));
  const fault = faults.find((candidate) => allowed.test(candidate.allowed));
  expect(fault).toMatchObject({ file: 'pools.ini', section, key, found });
});

test.each([
  [
    'an unknown pool',
    replaceRoutes('pool = scribe', 'pool = scrib'),
    'route chat',
    'pool',
    'scrib',
    /the nearest is "scribe"/,
  ],
  [
    'a model of another pool',
    replaceRoutes('scribe-70b', 'scribe-7b'),
    'route chat',
    'model',
    'scribe-7b',
    /serves scribe-70b/,
  ],
  [
    'a model on a plain pool',
    replaceRoutes('methods = POST', 'model = m'),
    'route bookings',
    'model',
    'm',
    /is plain/,
  ],
  [
    'a path with * in the middle',
    replaceRoutes('/plans/*', '/*/plans'),
    'route plans',
    'path',
    '/*/plans',
    /\* at most once and at the end/,
  ],
  [
    'a relative path',
    replaceRoutes('/plans/*', 'plans'),
    'route plans',
    'path',
    'plans',
    /begins with \//,
  ],
  [
    'an empty access list',
    replaceRoutes('organisations = *', 'organisations ='),
    'route plans',
    'organisations',
    '',
    /\* for everyone/,
  ],
  [
    'everyone next to a name',
    replaceRoutes('organisations = *', 'organisations = *, a'),
    'route plans',
    'organisations',
    '*, a',
    /\* for everyone/,
  ],
  [
    'a word that is not yes or no',
    replaceRoutes('idempotent = yes', 'idempotent = true'),
    'route plans',
    'idempotent',
    'true',
    /yes or no/,
  ],
  [
    'a route that matches the same',
    `${ROUTES_TEXT}[route twice]\npath = /bookings/*\nmethods = put, post\norganisations = *\npool = desk\n`,
    'route twice',
    'path',
    '/bookings/*',
    /route bookings matches the same/,
  ],
])('reports %s in the routes table', (_, text, section, key, found, allowed) => {
  const faults = listFaults(unwrapError(parseRoutes(text, { file: 'r.ini', pools })));
  expect(faults).toHaveLength(1);
  expect(faults[0]).toMatchObject({ file: 'r.ini', section, key, found });
  expect(faults[0]?.allowed).toMatch(allowed);
});

test('lists added, removed and changed sections of a diff', () => {
  const after = unwrap(
    parsePools(
      POOLS_TEXT.replace('scribe-d1', 'scribe-d2').replace(
        'kind = model',
        'kind = model\nversion = 2',
      ),
    ),
  );
  expect(diffPools(pools, after)).toEqual([
    '- [upstream scribe-d1]',
    '~ [pool scribe] version: (none) -> 2',
    '+ [upstream scribe-d2]',
  ]);
  expect(diffRoutes(routes, [...routes].reverse())).toEqual([]);
});

test('recognises what a file holds', () => {
  expect([NODE_TEXT, POOLS_TEXT, ROUTES_TEXT, ''].map(recogniseFile)).toEqual([
    'settings',
    'pools',
    'routes',
    undefined,
  ]);
});

test('ranks the longest and most specific route first', () => {
  const all = unwrap(
    parseRoutes(`${ROUTES_TEXT}[route rest]\npath = /*\norganisations = *\npool = desk\n`),
  );
  const ranked = rankRoutes(all, { method: 'POST', path: '/bookings/7', model: undefined });
  expect(ranked.map(({ id }) => id)).toEqual(['bookings', 'rest']);
});
