import { requestId } from '@hibiscusbank/core';
import { beforeEach, expect, test, vi } from 'vitest';
import { createClaims } from '../src/claims.js';
import type { ClaimRequest } from '../src/claims.js';
import { createFakeObjectApi, ORGANISATION } from './support/fakes.js';

const request = (changes: Partial<ClaimRequest> = {}): ClaimRequest => ({
  organisation: ORGANISATION,
  idempotencyKey: 'booking-1',
  requestId: requestId('req_1'),
  fingerprint: 'f1',
  ...changes,
});

beforeEach(() => {
  vi.useFakeTimers();
  return () => vi.useRealTimers();
});

async function settle<T>(promise: Promise<T>): Promise<T> {
  await vi.advanceTimersByTimeAsync(2_000);
  return promise;
}

test('a claim whose answer was lost is recognised by its write id', async () => {
  const platform = createFakeObjectApi();
  platform.state.loseAnswers = 1;
  const claimed = await settle(createClaims(platform.api).claim(request()));
  expect(claimed._unsafeUnwrap().kind).toBe('claimed');
});

test('of two nodes that race for a key one gets it', async () => {
  const platform = createFakeObjectApi();
  platform.state.loseAnswers = 2;
  const results = await settle(
    Promise.all([
      createClaims(platform.api).claim(request()),
      createClaims(platform.api).claim(request({ requestId: requestId('req_2') })),
    ]),
  );
  expect(results.filter((result) => result.isOk())).toHaveLength(1);
  const lost = results.find((result) => result.isErr());
  expect(lost?._unsafeUnwrapErr()).toMatchObject({ kind: 'conflict', effect: 'unknown' });
});

test('a repeat gets the answer that was kept', async () => {
  const platform = createFakeObjectApi();
  const claims = createClaims(platform.api);
  const first = (await claims.claim(request()))._unsafeUnwrap();
  if (first.kind !== 'claimed') throw new Error('not claimed');
  const answer = { status: 201, headers: {}, bodyBase64: 'e30=' };
  await claims.finish(first.claim, answer);
  const repeat = (await claims.claim(request()))._unsafeUnwrap();
  expect(repeat).toEqual({ kind: 'repeat', answer });
});

test('a key used for another request is refused as not run', async () => {
  const claims = createClaims(createFakeObjectApi().api);
  await claims.claim(request());
  const other = await claims.claim(request({ fingerprint: 'f2' }));
  expect(other._unsafeUnwrapErr()).toMatchObject({ kind: 'invalid_request', effect: 'not_run' });
});

test('without the platform the request is refused as not run', async () => {
  const platform = createFakeObjectApi();
  platform.state.down = true;
  const claimed = await settle(createClaims(platform.api).claim(request()));
  expect(claimed._unsafeUnwrapErr()).toMatchObject({
    kind: 'platform_unavailable',
    effect: 'not_run',
  });
});

test('a claim written as an outage began is removed later, since its request did not run', async () => {
  const platform = createFakeObjectApi();
  platform.state.loseAnswers = 1;
  const claims = createClaims({
    ...platform.api,
    put: (key, value, options) => {
      const written = platform.api.put(key, value, options);
      platform.state.down = true;
      return written;
    },
  });
  const refused = await settle(claims.claim(request()));
  expect(refused._unsafeUnwrapErr().effect).toBe('not_run');
  expect(platform.objects.size).toBe(1);
  platform.state.down = false;
  await vi.advanceTimersByTimeAsync(10_000);
  expect((await createClaims(platform.api).claim(request())).isOk()).toBe(true);
});
