import { requestId } from '@hibiscusbank/core';
import { beforeEach, expect, test, vi } from 'vitest';
import { createClaims } from '../src/claims.js';
import type { ClaimRequest } from '../src/claims.js';
import { createFakeObjectApi, ORGANISATION } from './support/fakes.js';

const createClaimRequest = (overrides: Partial<ClaimRequest> = {}): ClaimRequest => ({
  organisation: ORGANISATION,
  idempotencyKey: 'booking-1',
  requestId: requestId('req_1'),
  fingerprint: 'f1',
  ...overrides,
});

beforeEach(() => {
  vi.useFakeTimers();
  return () => vi.useRealTimers();
});

async function advanceTimersAndAwait<T>(promise: Promise<T>): Promise<T> {
  await vi.advanceTimersByTimeAsync(2_000);
  return promise;
}

test('a claim whose write response was lost is recognised by its write id', async () => {
  const platform = createFakeObjectApi();
  platform.state.lostResponses = 1;
  const claimed = await advanceTimersAndAwait(
    createClaims(platform.api).claim(createClaimRequest()),
  );
  expect(claimed._unsafeUnwrap().kind).toBe('claimed');
});

test('only one of two nodes that claim the same key at once gets it', async () => {
  const platform = createFakeObjectApi();
  platform.state.lostResponses = 2;
  const results = await advanceTimersAndAwait(
    Promise.all([
      createClaims(platform.api).claim(createClaimRequest()),
      createClaims(platform.api).claim(createClaimRequest({ requestId: requestId('req_2') })),
    ]),
  );
  expect(results.filter((result) => result.isOk())).toHaveLength(1);
  const refused = results.find((result) => result.isErr());
  expect(refused?._unsafeUnwrapErr()).toMatchObject({ kind: 'conflict', effect: 'unknown' });
});

test('a repeated request gets the stored answer', async () => {
  const platform = createFakeObjectApi();
  const claims = createClaims(platform.api);
  const first = (await claims.claim(createClaimRequest()))._unsafeUnwrap();
  if (first.kind !== 'claimed') throw new Error('not claimed');
  const answer = { status: 201, headers: {}, bodyBase64: 'e30=' };
  await claims.finish(first.claim, answer);
  const repeat = (await claims.claim(createClaimRequest()))._unsafeUnwrap();
  expect(repeat).toEqual({ kind: 'repeat', answer });
});

test('a key that was used for another request is refused as not run', async () => {
  const claims = createClaims(createFakeObjectApi().api);
  await claims.claim(createClaimRequest());
  const other = await claims.claim(createClaimRequest({ fingerprint: 'f2' }));
  expect(other._unsafeUnwrapErr()).toMatchObject({ kind: 'invalid_request', effect: 'not_run' });
});

test('a request is refused as not run while the platform is unavailable', async () => {
  const platform = createFakeObjectApi();
  platform.state.down = true;
  const claimed = await advanceTimersAndAwait(
    createClaims(platform.api).claim(createClaimRequest()),
  );
  expect(claimed._unsafeUnwrapErr()).toMatchObject({
    kind: 'platform_unavailable',
    effect: 'not_run',
  });
});

test('a claim stored at the start of an outage is removed later, because its request did not run', async () => {
  const platform = createFakeObjectApi();
  platform.state.lostResponses = 1;
  const claims = createClaims({
    ...platform.api,
    put: (key, value, options) => {
      const written = platform.api.put(key, value, options);
      platform.state.down = true;
      return written;
    },
  });
  const refused = await advanceTimersAndAwait(claims.claim(createClaimRequest()));
  expect(refused._unsafeUnwrapErr().effect).toBe('not_run');
  expect(platform.objects.size).toBe(1);
  platform.state.down = false;
  await vi.advanceTimersByTimeAsync(10_000);
  expect((await createClaims(platform.api).claim(createClaimRequest())).isOk()).toBe(true);
});
