import type { Grant } from '@hibiscusbank/scheduler';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { advance, createFleet, modelPool, request, settle, unwrap } from './support.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

// Guards against overload in which each waiting request is served just after its target.
test('a freed slot goes to a request that can still meet its first-token target', async () => {
  const fleet = await createFleet(['a1'], modelPool('a', { capacity: 1, coldLimit: 2 }));
  const first = unwrap(await settle(fleet.place('a1', request())));
  await advance(200);
  unwrap(await settle(fleet.place('a1', request())));
  const granted: string[] = [];
  const wait = (name: string): Promise<Grant> =>
    fleet.place('a1', request()).then((result) => {
      granted.push(name);
      return unwrap(result);
    });
  void wait('missed');
  await advance(1_500);
  void wait('on-target');
  await advance(50);
  fleet.node('a1').scheduler.release(first, { outcome: 'completed' });
  await advance(50);
  expect(granted).toEqual(['on-target']);
});
