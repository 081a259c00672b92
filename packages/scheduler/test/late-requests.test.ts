import type { Grant } from '@hibiscusbank/scheduler';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { advance, createFleet, modelPool, request, settle, take } from './support.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

// Guards against overload in which waiting requests are served after their target, one by one.
test('a freed slot goes to a request that can still meet its first-token target', async () => {
  const fleet = await createFleet(['a1'], modelPool('a', { capacity: 1, coldLimit: 2 }));
  const first = take(await settle(fleet.place('a1', request())));
  await advance(200);
  take(await settle(fleet.place('a1', request())));
  const granted: string[] = [];
  const wait = (name: string): Promise<Grant> =>
    fleet.place('a1', request()).then((result) => {
      granted.push(name);
      return take(result);
    });
  void wait('late');
  await advance(1_500);
  void wait('punctual');
  await advance(50);
  fleet.node('a1').scheduler.release(first, { outcome: 'completed' });
  await advance(50);
  expect(granted).toEqual(['punctual']);
});
