import { expect, test } from 'vitest';
import { unwrap } from '@hibiscusbank/core';
import {
  diffPools,
  diffRoutes,
  formatFault,
  listFaults,
  parsePools,
  parseRoutes,
  rankRoutes,
  detectFileKind,
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

const ALMATY_B_PREFILL_ENGINE =
  '[upstream y]\npool = scribe\nrole = prefill\ndata_centre = almaty-b\naddress = 10.1.0.9:1\n';

test.each`
  fault                                | from                       | to                                                      | place                                            | allowed
  ${'an unknown pool'}                 | ${'pool = desk'}           | ${'pool = dsk'}                                         | ${'[upstream desk-1] pool = "dsk"'}              | ${'the nearest is "desk"'}
  ${'a model role in a plain pool'}    | ${'pool = desk'}           | ${'pool = desk\nrole = decode'}                         | ${'[upstream desk-1] role = "decode"'}           | ${'allowed is plain'}
  ${'an unknown role'}                 | ${'role = prefill'}        | ${'role = prefil'}                                      | ${'[upstream scribe-p1] role = "prefil"'}        | ${'one of prefill, decode, both, plain'}
  ${'a plain role in a model pool'}    | ${'role = prefill\n'}      | ${''}                                                   | ${'[upstream scribe-p1] role'}                   | ${'missing; pool scribe serves a model; allowed is prefill, decode or both'}
  ${'a pool without prefill engines'}  | ${'role = prefill'}        | ${'role = decode\nmemory_blocks = 9'}                   | ${'[pool scribe]'}                               | ${'at least one prefill engine in data centre almaty-a'}
  ${'a data centre without decode'}    | ${'[pool desk]'}           | ${`${ALMATY_B_PREFILL_ENGINE}[pool desk]`}              | ${'[pool scribe]'}                               | ${'decode engine in data centre almaty-b'}
  ${'a model pool without engines'}    | ${'[pool desk]'}           | ${'[pool empty]\nkind = model\nmodel = m\n[pool desk]'} | ${'[pool empty]'}                                | ${'needs prefill and decode engines'}
  ${'a model pool without a model'}    | ${'model = scribe-70b\n'}  | ${''}                                                   | ${'[pool scribe] model'}                         | ${'missing; '}
  ${'a model key in a plain pool'}     | ${'kind = plain'}          | ${'kind = plain\nadapters = a'}                         | ${'[pool desk] adapters = "a"'}                  | ${'remove it'}
  ${'a cold limit above the capacity'} | ${'pool = desk'}           | ${'pool = desk\ncapacity = 4\ncold_limit = 5'}          | ${'[upstream desk-1] cold_limit = "5"'}          | ${'at most the capacity, 4'}
  ${'a decode engine without memory'}  | ${'memory_blocks = 400\n'} | ${''}                                                   | ${'[upstream scribe-d1] memory_blocks'}          | ${'missing; at least 1'}
  ${'an address used twice'}           | ${'10.1.0.3'}              | ${'10.1.0.1'}                                           | ${'[upstream desk-1] address = "10.1.0.1:9000"'} | ${'upstream scribe-p1 has it'}
  ${'a name used twice'}               | ${'[upstream scribe-d1]'}  | ${'[upstream scribe-p1]'}                               | ${'[upstream scribe-p1]'}                        | ${'may occur once'}
  ${'an unknown kind of section'}      | ${'[pool desk]'}           | ${'[pol desk]'}                                         | ${'[pol desk]'}                                  | ${'the nearest is [pool NAME]'}
  ${'a name with a slash'}             | ${'[pool desk]'}           | ${'[pool a/b]'}                                         | ${'[pool a/b]'}                                  | ${'with a name of letters'}
`('reports $fault in the pools table', ({ from, to, place, allowed }) => {
  const result = parsePools(POOLS_TEXT.replace(from, to), 'pools.ini');
  const faults = listFaults(unwrapError(result)).map(formatFault);
  const fault = faults.find((text) => text.includes(allowed));
  expect(fault).toMatch(/^pools\.ini:\d+: /);
  expect(fault).toContain(` ${place}: `);
});

test.each`
  fault                              | from                   | to                                           | place                                     | allowed
  ${'an unknown pool'}               | ${'pool = scribe'}     | ${'pool = scrib'}                            | ${'[route chat] pool = "scrib"'}          | ${'the nearest is "scribe"'}
  ${'a model of another pool'}       | ${'scribe-70b'}        | ${'scribe-7b'}                               | ${'[route chat] model = "scribe-7b"'}     | ${'serves scribe-70b'}
  ${'a model on a plain pool'}       | ${'methods = POST'}    | ${'model = m'}                               | ${'[route bookings] model = "m"'}         | ${'is plain'}
  ${'a path with * in the middle'}   | ${'/plans/*'}          | ${'/*/plans'}                                | ${'[route plans] path = "/*/plans"'}      | ${'* at most once and at the end'}
  ${'a relative path'}               | ${'/plans/*'}          | ${'plans'}                                   | ${'[route plans] path = "plans"'}         | ${'begins with /'}
  ${'an empty access list'}          | ${'organisations = *'} | ${'organisations ='}                         | ${'[route plans] organisations = ""'}     | ${'* for everyone'}
  ${'everyone next to a name'}       | ${'organisations = *'} | ${'organisations = *, a'}                    | ${'[route plans] organisations = "*, a"'} | ${'* for everyone'}
  ${'a word that is not yes or no'}  | ${'idempotent = yes'}  | ${'idempotent = true'}                       | ${'[route plans] idempotent = "true"'}    | ${'yes or no'}
  ${'two routes for equal requests'} | ${'path = /plans/*'}   | ${'path = /bookings/*\nmethods = put, post'} | ${'[route plans] path = "/bookings/*"'}   | ${'route bookings matches the same'}
`('reports $fault in the routes table', ({ from, to, place, allowed }) => {
  const result = parseRoutes(ROUTES_TEXT.replace(from, to), { file: 'r.ini', pools });
  const faults = listFaults(unwrapError(result)).map(formatFault);
  expect(faults).toHaveLength(1);
  expect(faults[0]).toMatch(/^r\.ini:\d+: /);
  expect(faults[0]).toContain(` ${place}: `);
  expect(faults[0]).toContain(allowed);
});

test('lists added, removed and changed sections in a diff', () => {
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

test('detects the kind of a file from its sections', () => {
  expect([NODE_TEXT, POOLS_TEXT, ROUTES_TEXT, ''].map(detectFileKind)).toEqual([
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
