import fc from 'fast-check';
import { expect, test } from 'vitest';
import { unwrap } from '@hibiscusbank/core';
import {
  formatPools,
  formatRoutes,
  parseNodeSettings,
  parseOperatorSettings,
  parsePools,
  parseRoutes,
  detectFileKind,
} from '@hibiscusbank/settings';
import type { PoolEntry, RouteEntry, UpstreamEntry } from '@hibiscusbank/settings';

const SEED = 20_261_204;

const name = fc.stringMatching(/^[a-z0-9][A-Za-z0-9._-]{0,20}$/);
const modelName = fc.stringMatching(/^[a-z][A-Za-z0-9._:/@+-]{0,20}$/);
const count = fc.integer({ min: 1, max: 1_000_000 });
const decimal = fc.integer({ min: 1, max: 10_000_000 }).map((value) => value / 1_000);
const names = fc.uniqueArray(name, { minLength: 1, maxLength: 4 });

const routeValues = fc.record({
  methods: fc.uniqueArray(fc.constantFrom('GET', 'POST', 'PUT'), { maxLength: 2 }),
  model: fc.option(modelName, { nil: undefined }),
  access: fc.oneof(
    fc.constant({ kind: 'all' as const }),
    names.map((organisations) => ({ kind: 'organisations' as const, organisations })),
  ),
  pool: name,
  idempotent: fc.boolean(),
  urgency: fc.constantFrom('urgent' as const, 'patient' as const),
  firstTokenTargetMs: count,
  tokenGapTargetMs: count,
  patienceMs: count,
  timeLimitMs: count,
  maxTokensDefault: count,
  requestCost: fc.nat(1_000),
});

/** Routes with distinct names and paths. The paths contain characters that INI escapes. */
const routesTable = fc
  .uniqueArray(fc.tuple(name, routeValues), { selector: ([id]) => id, maxLength: 6 })
  .map((rows) =>
    rows.map(([id, values]) => ({ ...values, id, path: `/${id};a='=*` }) as unknown as RouteEntry),
  );

const upstreamValues = fc.record({
  memoryBlocks: count,
  coldLimit: fc.integer({ min: 1, max: 9 }),
  capacity: fc.integer({ min: 9, max: 99 }),
  coldStepMs: count,
  linkBytesPerMs: decimal,
  checksOrders: fc.boolean(),
});

const poolValues = fc.record({
  model: modelName,
  version: fc.option(modelName, { nil: undefined }),
  adapters: fc.uniqueArray(name, { maxLength: 3 }),
  blockTokens: count,
  kvBytesPerToken: count,
  prefillTokensPerMs: decimal,
  decodeMsPerToken: decimal,
  balanceRoles: fc.boolean(),
  engines: fc.array(upstreamValues, { minLength: 1, maxLength: 4 }),
});

const poolsTable = fc
  .uniqueArray(fc.tuple(name, poolValues), { selector: ([id]) => id, maxLength: 4 })
  .map((rows) =>
    rows.map(([id, { engines, ...values }], row) => ({
      ...values,
      id,
      kind: 'model',
      upstreams: engines.map((engine, index) => ({
        ...engine,
        id: `u${row}-${index}`,
        pool: id,
        role: 'both',
        dataCentre: 'dc-a',
        address: `http://10.0.${row}.${index}:80`,
      })) as unknown as UpstreamEntry[],
    })),
  );

test('a routes table is unchanged after it is formatted and parsed', () => {
  fc.assert(
    fc.property(routesTable, (routes) => {
      expect(unwrap(parseRoutes(formatRoutes(routes)))).toEqual(routes);
    }),
    { seed: SEED },
  );
});

test('a pools table is unchanged after it is formatted and parsed', () => {
  fc.assert(
    fc.property(poolsTable, (pools) => {
      const text = formatPools(pools as unknown as PoolEntry[]);
      expect(unwrap(parsePools(text))).toEqual(pools);
    }),
    { seed: SEED },
  );
});

/** Arbitrary text, and text with a special meaning in INI, JSON or JavaScript objects. */
const iniFragment = fc.oneof(
  fc.string({ unit: 'binary', maxLength: 12 }),
  fc.constantFrom('[', ']', '=', '"', "'", '\\', ';', '#', '\n', '\r', '.', '[]', '__proto__'),
  fc.constantFrom('[node]\n', '[route a]\n', '[pool a]\n', '[upstream a]\n', 'constructor=', 'vm='),
  fc.constantFrom(
    '\'{"toString":1}\'',
    '\'{"toString":1}\'=x',
    "'[1]'",
    'toString=',
    '[toString x]\n',
  ),
);

test('parsers return errors instead of throwing for any text', () => {
  fc.assert(
    fc.property(fc.array(iniFragment, { maxLength: 30 }), (fragments) => {
      const text = fragments.join('');
      for (const parse of [parseNodeSettings, parseOperatorSettings, parsePools]) {
        expect(() => parse(text)).not.toThrow();
      }
      expect(() => [parseRoutes(text), detectFileKind(text)]).not.toThrow();
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});
