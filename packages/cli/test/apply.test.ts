import { expect, test } from 'vitest';
import { createHarness, POOLS_TEXT, ROUTES_TEXT } from './fakes.js';

async function createHarnessWithTables() {
  const harness = createHarness();
  harness.files.set('pools.ini', POOLS_TEXT);
  harness.files.set('routes.ini', ROUTES_TEXT);
  await harness.run('apply pools pools.ini');
  await harness.run('apply routes routes.ini');
  return harness;
}

test('applying the output of get changes nothing', async () => {
  const { files, platform, run } = await createHarnessWithTables();
  for (const table of ['pools', 'routes']) {
    files.set('copy.ini', (await run(`get ${table}`)).out);
    const revision = platform.revision();
    expect((await run(`apply ${table} copy.ini --if-revision ${revision}`)).out).toBe('no change');
  }
});

test('apply writes only the pools that changed', async () => {
  const { files, platform, run } = await createHarnessWithTables();
  const before = platform.revision();
  files.set('pools.ini', POOLS_TEXT.replace('10.1.0.2:9000', '10.1.0.2:9000\ncapacity = 30'));
  const { code, out } = await run('apply pools pools.ini');
  expect(code).toBe(0);
  expect(out).toContain('~ [upstream plans-1] capacity: 20 -> 30');
  expect(platform.changedKeys(before)).toEqual(['config/pools/plans']);
});

test('pools that are missing from the file are removed only with --prune', async () => {
  const { files, platform, run } = await createHarnessWithTables();
  files.set('pools.ini', POOLS_TEXT.slice(0, POOLS_TEXT.indexOf('[pool plans]')));
  const refused = await run('apply pools pools.ini');
  expect(refused).toMatchObject({ code: 2 });
  expect(refused.errors).toContain('plans; add them, or remove them with --prune');
  expect((await run('apply pools pools.ini --prune')).code).toBe(0);
  expect(platform.keys()).toEqual(['config/pools/desk', 'config/routes']);
});

test('a pool that a stored route uses is not removed', async () => {
  const { files, run } = await createHarnessWithTables();
  files.set('pools.ini', POOLS_TEXT.slice(POOLS_TEXT.indexOf('[pool plans]')));
  const { code, errors } = await run('apply pools pools.ini --prune');
  expect(code).toBe(2);
  expect(errors).toContain('[route bookings] pool = "desk": there is no pool desk');
});

test('an apply that fails midway lists the applied pools and can be repeated', async () => {
  const { files, platform, run } = await createHarnessWithTables();
  files.set('pools.ini', POOLS_TEXT.replaceAll(':9000', ':9001'));
  const { find, state, store } = platform;
  state.beforeWrite = () => {
    state.beforeWrite = () => store('config/pools/plans', find('config/pools/plans'));
  };
  const first = await run('apply pools pools.ini');
  expect(first.code).toBe(3);
  expect(first.errors).toContain('applied: config/pools/desk; not applied: config/pools/plans');
  expect((await run('apply pools pools.ini')).out).toContain('applied 1 pool(s)');
});

test('--if-revision rejects when a pool was changed, added or removed after that revision', async () => {
  const { files, platform, run } = await createHarnessWithTables();
  files.set('pools.ini', POOLS_TEXT);
  const changes: [string, unknown][] = [
    ['config/pools/plans', platform.find('config/pools/plans')],
    ['config/pools/new', platform.find('config/pools/plans')],
    ['config/pools/new', undefined],
  ];
  for (const [key, value] of changes) {
    const revision = platform.revision();
    platform.store(key, value);
    const { code, errors } = await run(`apply pools pools.ini --prune --if-revision ${revision}`);
    expect([code, errors]).toEqual([
      3,
      expect.stringContaining(
        `${key} changed at revision ${revision + 1}, after revision ${revision}`,
      ),
    ]);
  }
});

test('--if-revision ignores changes to the other table', async () => {
  const { files, platform, run } = await createHarnessWithTables();
  const revision = platform.revision();
  platform.store('config/pools/plans', platform.find('config/pools/plans'));
  files.set('routes.ini', ROUTES_TEXT.replace('/bookings/*', '/crews/*'));
  expect((await run(`apply routes routes.ini --if-revision ${revision}`)).code).toBe(0);
});

test('a dry run prints the changes and writes nothing', async () => {
  const { files, platform, run } = await createHarnessWithTables();
  const before = platform.revision();
  files.set('routes.ini', ROUTES_TEXT.replace('/bookings/*', '/crews/*'));
  const { code, out } = await run('apply routes routes.ini --dry-run');
  expect(code).toBe(0);
  expect(out).toContain('~ [route bookings] path: /bookings/* -> /crews/*');
  expect(platform.revision()).toBe(before);
});

test('a route to an unknown pool is rejected with the nearest known name', async () => {
  const { files, run } = await createHarnessWithTables();
  files.set('routes.ini', ROUTES_TEXT.replace('pool = desk', 'pool = dsk'));
  const { code, errors } = await run('apply routes routes.ini');
  expect(code).toBe(2);
  expect(errors).toBe(
    'routes.ini:4: [route bookings] pool = "dsk": there is no pool dsk; the nearest is "desk"',
  );
});

test('check detects the kind of each file and checks routes against the pools file', async () => {
  const { files, run } = await createHarnessWithTables();
  expect((await run('check routes.ini pools.ini')).out).toBe(
    'routes.ini: routes, no faults\npools.ini: pools, no faults',
  );
  files.set('routes.ini', ROUTES_TEXT.replace('pool = desk', 'pool = dsk'));
  expect((await run('check routes.ini pools.ini')).code).toBe(2);
  expect((await run('check routes.ini --as pools')).code).toBe(2);
});
