import { afterEach, expect, test, vi } from 'vitest';
import { createCommandLine } from './fakes.js';

const KEY = 'config/organisations/crew-office';
const SET = 'org set crew-office --rate 100 --burst 500';

afterEach(() => {
  vi.useRealTimers();
});

test('an edit that races with another operator is refused with both revisions', async () => {
  const { platform, run } = createCommandLine();
  platform.store(KEY, { id: 'crew-office', ratePerS: 1, burst: 1 });
  platform.state.beforeWrite = () => platform.store(KEY, { id: 'crew-office', ratePerS: 2 });
  const { code, errors } = await run(SET);
  expect(code).toBe(3);
  expect(errors).toContain('it was at revision 1 when read and is now at revision 2');
  expect(platform.find(KEY)).toMatchObject({ ratePerS: 2 });
});

test('a creation that races with another operator is refused', async () => {
  const { platform, run } = createCommandLine();
  platform.state.beforeWrite = () => platform.store(KEY, { id: 'crew-office', ratePerS: 2 });
  const { code, errors } = await run(`${SET} --json`);
  expect(code).toBe(3);
  expect(JSON.parse(errors).error).toMatchObject({ kind: 'conflict', base: 0, current: 1 });
});

test('an edit whose response is lost is recognised as done and written once', async () => {
  const { platform, run } = createCommandLine();
  platform.state.faults.push('lost response');
  const { code, out } = await run(SET);
  expect(code).toBe(0);
  expect(out).toContain('the response was lost; reading back shows that the edit took effect');
  expect(platform.revision()).toBe(1);
});

test('an edit whose request is lost is sent again', async () => {
  const { platform, run } = createCommandLine();
  platform.state.faults.push('lost request');
  const { code, out } = await run(SET);
  expect(code).toBe(0);
  expect(out).not.toContain('lost');
  expect(platform.find(KEY)).toMatchObject({ ratePerS: 100, burst: 500 });
});

test('an edit that another operator may have replaced after a lost request is a conflict', async () => {
  const { platform, run } = createCommandLine();
  platform.state.faults.push('lost request');
  platform.state.beforeWrite = () => platform.store(KEY, { id: 'crew-office', ratePerS: 2 });
  expect((await run(SET)).code).toBe(3);
});

test('a removal whose response is lost is done when the object is gone', async () => {
  const { platform, run } = createCommandLine();
  await run(SET);
  platform.state.faults.push('lost response');
  expect((await run('org remove crew-office')).code).toBe(0);
  expect(platform.keys()).toEqual([]);
});

test('an edit that the platform does not confirm is reported as unknown', async () => {
  vi.useFakeTimers();
  const { platform, run } = createCommandLine();
  platform.state.beforeWrite = () => {
    platform.state.isDown = true;
  };
  const running = run(SET);
  await vi.runAllTimersAsync();
  const { code, errors } = await running;
  expect(code).toBe(4);
  expect(errors).toContain(`whether the edit of ${KEY} took effect is unknown`);
});

test('a command during an outage ends with the code of an unavailable platform', async () => {
  const { platform, run } = createCommandLine();
  platform.state.isDown = true;
  for (const line of [SET, 'org list', 'key list', 'get routes', 'dc out almaty-a']) {
    expect((await run(line)).code).toBe(4);
  }
});
