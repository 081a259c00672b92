import { afterEach, expect, test, vi } from 'vitest';
import { createHarness } from './fakes.js';

const ORGANISATION_KEY = 'config/organisations/crew-office';
const SET_COMMAND = 'org set crew-office --rate 100 --burst 500';

afterEach(() => {
  vi.useRealTimers();
});

test('an edit that races with another operator is rejected with both revisions', async () => {
  const { platform, run } = createHarness();
  platform.store(ORGANISATION_KEY, { id: 'crew-office', ratePerS: 1, burst: 1 });
  platform.state.beforeWrite = () =>
    platform.store(ORGANISATION_KEY, { id: 'crew-office', ratePerS: 2 });
  const { code, errors } = await run(SET_COMMAND);
  expect(code).toBe(3);
  expect(errors).toContain('it was at revision 1 when read and is now at revision 2');
  expect(platform.find(ORGANISATION_KEY)).toMatchObject({ ratePerS: 2 });
});

test('a creation that races with another operator is rejected', async () => {
  const { platform, run } = createHarness();
  platform.state.beforeWrite = () =>
    platform.store(ORGANISATION_KEY, { id: 'crew-office', ratePerS: 2 });
  const { code, errors } = await run(`${SET_COMMAND} --json`);
  expect(code).toBe(3);
  expect(JSON.parse(errors).error).toMatchObject({ kind: 'conflict', base: 0, current: 1 });
});

test('an edit whose response is lost is confirmed by reading back and written once', async () => {
  const { platform, run } = createHarness();
  platform.state.faults.push('lost response');
  const { code, out } = await run(SET_COMMAND);
  expect(code).toBe(0);
  expect(out).toContain('the response was lost; reading back shows that the edit took effect');
  expect(platform.revision()).toBe(1);
});

test('an edit whose request is lost is retried', async () => {
  const { platform, run } = createHarness();
  platform.state.faults.push('lost request');
  const { code, out } = await run(SET_COMMAND);
  expect(code).toBe(0);
  expect(out).not.toContain('lost');
  expect(platform.find(ORGANISATION_KEY)).toMatchObject({ ratePerS: 100, burst: 500 });
});

test('an edit without a response is a conflict when another operator changed the object', async () => {
  const { platform, run } = createHarness();
  platform.state.faults.push('lost request');
  platform.state.beforeWrite = () =>
    platform.store(ORGANISATION_KEY, { id: 'crew-office', ratePerS: 2 });
  expect((await run(SET_COMMAND)).code).toBe(3);
});

test('a removal whose response is lost succeeds if the object no longer exists', async () => {
  const { platform, run } = createHarness();
  await run(SET_COMMAND);
  platform.state.faults.push('lost response');
  expect((await run('org remove crew-office')).code).toBe(0);
  expect(platform.keys()).toEqual([]);
});

test('an edit that cannot be read back is reported with unknown effect', async () => {
  vi.useFakeTimers();
  const { platform, run } = createHarness();
  platform.state.beforeWrite = () => {
    platform.state.isDown = true;
  };
  const running = run(SET_COMMAND);
  await vi.runAllTimersAsync();
  const { code, errors } = await running;
  expect(code).toBe(4);
  expect(errors).toContain(`whether the edit of ${ORGANISATION_KEY} took effect is unknown`);
});

test('commands during an outage exit with the code for an unavailable platform', async () => {
  const { platform, run } = createHarness();
  platform.state.isDown = true;
  for (const line of [SET_COMMAND, 'org list', 'key list', 'get routes', 'dc out almaty-a']) {
    expect((await run(line)).code).toBe(4);
  }
});
