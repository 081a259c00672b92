import type { RequestResult } from '@hibiscusbank/standins';
import { expect, test } from 'vitest';
import { checkRecords } from '../src/benches/faults-checks.js';
import type { TrafficExchange, TrafficRecord } from '../src/harness/traffic.js';

const NODE = 'http://127.0.0.1:1';

function createRecord(
  path: string,
  result: Partial<RequestResult>,
  exchange: Partial<TrafficExchange>,
): TrafficRecord {
  return {
    planned: { path, route: { name: path } },
    arrivedAtMs: 0,
    exchanges: [{ origin: NODE, requestId: 'r1', endedAtMs: 100, ...exchange }],
    results: [{ resumed: 0, ...result }],
    isFinished: true,
  } as unknown as TrafficRecord;
}

function check(records: readonly TrafficRecord[], logOverrides: object = {}) {
  const log = {
    plainRuns: new Map<string, number>(),
    keyRuns: new Map<string, number>(),
    prefilled: new Set<string>(),
    decoded: new Set<string>(),
    ...logOverrides,
  };
  const pathsById = new Map([['r1', '/bookings?load=1.1']]);
  return checkRecords({ records, log, kills: [{ origin: NODE, atMs: 90 }], pathsById });
}

// Guards against a lost answer that is attributed to the kill of another node or at another time.
test('a broken connection is unanswered unless its node was killed at that time', () => {
  const cutLongAfterKill = createRecord('/plans', { outcome: 'cut' }, { endedAtMs: 5_000 });
  const cutAtOtherNode = createRecord(
    '/plans',
    { outcome: 'cut' },
    { origin: 'http://127.0.0.1:2' },
  );
  const cutByKill = createRecord('/plans', { outcome: 'cut' }, {});
  const figures = check([cutLongAfterKill, cutAtOtherNode, cutByKill]);
  expect(figures.unanswered).toHaveLength(2);
  expect(figures.cutWithNode).toBe(1);
});

// Guards against unnoticed requests that hang until the end of the run.
test('an unfinished request is unanswered', () => {
  expect(check([createRecord('/plans', { outcome: 'unfinished' }, {})]).unanswered).toHaveLength(1);
});

// Guards against a `not_run` response for a request that an upstream ran.
test('not_run is false when any upstream has run the request id', () => {
  const refused = createRecord(
    '/plans',
    { outcome: 'not_run' },
    { outcome: 'not_run', status: 503 },
  );
  const notRun = { ...refused, results: [{ ...refused.results[0], status: 503 }] } as TrafficRecord;
  expect(check([notRun]).untrueNotRun).toHaveLength(0);
  expect(check([notRun], { plainRuns: new Map([['r1', 1]]) }).untrueNotRun).toHaveLength(1);
  expect(check([notRun], { prefilled: new Set(['r1']) }).untrueNotRun).toHaveLength(1);
});

// Guards against unnoticed double runs of a booking, by request id or by idempotency key.
test('non-idempotent work that ran twice is found by request id and by idempotency key', () => {
  expect(check([], { plainRuns: new Map([['r1', 2]]) }).ranTwice).toHaveLength(1);
  expect(check([], { keyRuns: new Map([['k1', 2]]) }).ranTwice).toHaveLength(1);
  expect(check([], { plainRuns: new Map([['r1', 1]]) }).ranTwice).toHaveLength(0);
});
