import { expect, test, vi } from 'vitest';
import { digestKey } from '@hibiscusbank/configuration';
import { okAsync } from 'neverthrow';
import { withdrawKey } from '../src/key-commands.js';
import { createHarness, createFakeAdmin, POOLS_TEXT, ROUTES_TEXT } from './fakes.js';

async function createHarnessWithKey() {
  const harness = createHarness();
  await harness.run('org set crew-office --rate 100 --burst 500');
  const key = (await harness.run('key issue --org crew-office')).out;
  return { ...harness, key, digest: digestKey(key) };
}

test('a key is printed once and only its digest and first characters are stored', async () => {
  const { platform, key, digest } = await createHarnessWithKey();
  expect(platform.find(`config/keys/${digest}`)).toEqual({
    digest,
    organisation: 'crew-office',
    withdrawn: false,
    hint: key.slice(0, 8),
  });
  const stored = JSON.stringify(platform.keys().map((name) => platform.find(name)));
  expect(stored).not.toContain(key);
});

test('a key is not printed when it is unknown whether it was stored', async () => {
  const { platform, run } = await createHarnessWithKey();
  platform.state.faults.push('lost request', 'lost request', 'lost request');
  const { code, out } = await run('key issue --org crew-office');
  expect([code, out]).toEqual([4, '']);
});

test.each(['digest', 'start of the digest', 'hint', 'key'] as const)(
  'a key is withdrawn by its %s',
  async (form) => {
    const { platform, run, key, digest } = await createHarnessWithKey();
    const text = {
      digest,
      'start of the digest': digest.slice(0, 16),
      hint: key.slice(0, 8),
      key,
    }[form];
    const { code, out } = await run(`key withdraw ${text}`);
    expect(code).toBe(0);
    expect(out).not.toContain(key);
    expect(platform.find(`config/keys/${digest}`)).toMatchObject({ withdrawn: true });
    expect((await run('key list')).out).toMatch(/withdrawn$/);
  },
);

test('withdrawing a key that another operator withdraws concurrently succeeds', async () => {
  const { platform, run, digest } = await createHarnessWithKey();
  const name = `config/keys/${digest}`;
  const value = platform.find(name) as object;
  platform.state.beforeWrite = () => platform.store(name, { ...value, withdrawn: true });
  expect((await run(`key withdraw ${digest}`)).code).toBe(0);
});

test('a withdrawal via a node works without the platform for a key, but not for a hint', async () => {
  const post = vi.fn(() => okAsync({}));
  const { platform, key, digest } = await createHarnessWithKey();
  platform.state.isDown = true;
  const via = { address: '10.0.0.1:9080', get: post, post };
  const ports = { objectApi: platform.objectApi, createWriteId: () => 'write' };
  const output = { json: false, debug: false, print: () => {}, printError: () => {} };
  await withdrawKey({ key, via }, ports, output);
  expect(post).toHaveBeenCalledWith('/keys/withdraw', { digest });
  await expect(withdrawKey({ key: 'hb-abcde', via }, ports, output)).rejects.toMatchObject({
    kind: 'platform_unavailable',
  });
});

test('an unknown key is rejected without printing it', async () => {
  const { run } = await createHarnessWithKey();
  const { code, errors } = await run('key withdraw hb-zzzzz-some-secret');
  expect(code).toBe(2);
  expect(errors).not.toContain('some-secret');
});

test('an organisation with valid keys or routes is not removed', async () => {
  const { files, run, digest } = await createHarnessWithKey();
  files.set('pools.ini', POOLS_TEXT);
  files.set('routes.ini', ROUTES_TEXT);
  await run('apply pools pools.ini');
  await run('apply routes routes.ini');
  const { code, errors } = await run('org remove crew-office');
  expect(code).toBe(2);
  expect(errors).toContain('1 valid key(s): withdraw them first; route bookings: take it off');
  await run(`key withdraw ${digest}`);
  files.set('routes.ini', ROUTES_TEXT.replace('crew-office', '*'));
  await run('apply routes routes.ini');
  expect((await run('org remove crew-office')).code).toBe(0);
});

test.each([
  ['key issue --org crew-offic', 'the nearest known one is "crew-office"'],
  ['org remove crew-ofice', 'the nearest known one is "crew-office"'],
  ['vm out vm-11', 'the nearest known one is "vm-1"'],
  ['dc out almaty-c', 'the nearest known one is "almaty-'],
  ['upstream out desk-2', 'the nearest known one is "desk-1"'],
  ['org set a/b --rate 1 --burst 1', 'use letters'],
  ['org set a --rate -1 --burst 1', '--rate'],
  ['org set a --rate 1 --burst 0.5', '--burst'],
])('%s is rejected with a remedy', async (line, remedy) => {
  const { files, platform, run } = await createHarnessWithKey();
  files.set('pools.ini', POOLS_TEXT);
  await run('apply pools pools.ini');
  const before = platform.revision();
  const { code, errors } = await run(line);
  expect(code).toBe(2);
  expect(errors).toContain(remedy);
  expect(platform.revision()).toBe(before);
});

test.each([
  ['vm', 'vm-1'],
  ['dc', 'almaty-a'],
  ['upstream', 'desk-1'],
])(
  'a %s is taken out of service and returned, and repeating changes nothing',
  async (kind, name) => {
    const { files, platform, run } = createHarness();
    files.set('pools.ini', POOLS_TEXT);
    await run('apply pools pools.ini');
    const drain = `config/drains/${kind}/${name}`;
    expect((await run(`${kind} out ${name}`)).code).toBe(0);
    expect((await run(`${kind} out ${name}`)).out).toContain('already out of service');
    expect(platform.keys()).toContain(drain);
    expect((await run(`${kind} in ${name}`)).code).toBe(0);
    expect((await run(`${kind} in ${name}`)).out).toContain('already in service');
    expect(platform.keys()).not.toContain(drain);
  },
);

const status = {
  vm: 'vm-1',
  dataCentre: 'almaty-a',
  ready: false,
  obstacle: 'draining',
  revision: 12,
  activeRequests: 3,
  members: [{ state: 'live' }, { state: 'dead' }],
  cells: [{ cell: 'desk/0', owner: 'vm-1', slots: 9, freeSlots: 4, queued: 2, queueMs: 70.4 }],
  balances: [{ organisation: 'crew-office', tokens: 41.7, waiting: 1 }],
  violations: [{ invariant: 'A4', detail: 'too much' }],
};

test('status shows the nodes that respond and fails when one does not', async () => {
  const { run } = createHarness([
    createFakeAdmin('10.0.0.1:9080', { '/status': status }),
    createFakeAdmin('10.0.0.2:9080', {}),
  ]);
  const { code, out, errors } = await run('status');
  expect(code).toBe(1);
  expect(out).toMatch(/vm-1 +almaty-a +12 +draining +3 +1 +1 +1/);
  expect(out).toMatch(/desk\/0 +vm-1 +5\/9 +2 +70/);
  expect(out).toMatch(/crew-office +41 +1/);
  expect(out).toContain('violation on vm-1: A4: too much');
  expect(errors).toContain('no answer from 10.0.0.2:9080');
});

test('explain prints the route, access, pool, drains and cells', async () => {
  const harness = createHarness([
    createFakeAdmin('10.0.0.1:9080', { '/explain?pool=desk': { lines: ['desk/0: vm-1'] } }),
  ]);
  harness.files.set('pools.ini', POOLS_TEXT);
  harness.files.set('routes.ini', ROUTES_TEXT);
  await harness.run('apply pools pools.ini');
  await harness.run('apply routes routes.ini');
  await harness.run('org set survey-team --rate 1 --burst 1');
  await harness.run('dc out almaty-a');
  expect(
    (await harness.run('explain --org survey-team --path /bookings/7')).out.split('\n'),
  ).toEqual([
    'route bookings: path /bookings/*',
    'access: survey-team is not one of crew-office, the caller gets 403',
    'pool desk: plain',
    '  almaty-a: desk-1 (plain)',
    '  out of service: dc/almaty-a',
    'cells as 10.0.0.1:9080 sees them:',
    '  desk/0: vm-1',
  ]);
  expect((await harness.run('explain --path /nowhere')).out).toContain('caller gets 404');
});
