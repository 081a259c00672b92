import { requestId } from '@hibiscusbank/core';
import type { NodePorts } from '@hibiscusbank/node';
import { okAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import { createLedger, findWorstWindow } from '../src/benches/tenants-ledger.js';

const LIMIT = { ratePerS: 100, burst: 1_000 };

// Guards against a limit that is checked only for windows from the start of the run.
test('the worst window is found in the middle of a run', () => {
  const worst = findWorstWindow(
    [
      { atMs: 0, tokens: 10 },
      { atMs: 60_000, tokens: 900 },
      { atMs: 61_000, tokens: 750 },
      { atMs: 120_000, tokens: 10 },
    ],
    LIMIT,
  );
  expect(worst).toEqual({ ratio: 1.5, tokens: 1_650, ms: 1_000 });
});

// Guards against a window that omits admissions at its first or last instant.
test('admissions at the same instant count against the burst alone', () => {
  const admissions = [
    { atMs: 5, tokens: 600 },
    { atMs: 5, tokens: 600 },
  ];
  expect(findWorstWindow(admissions, LIMIT).ratio).toBe(1.2);
});

// Guards against counting charges of requests that never ran and tokens that were refunded.
test('only charges of requests that ran count, less their refunds', () => {
  const ledger = createLedger();
  const prefill = () => okAsync({ kvId: 'kv', promptTokens: 1, cachedTokens: 0, elapsedMs: 1 });
  const ports = ledger.observer.wrapPorts({ engines: { prefill } } as unknown as NodePorts);
  const debit = (id: string, granted: boolean): void =>
    ledger.observer.onCall(
      'quota.debit',
      { organisation: 'a', id, tokens: 100 },
      { granted, waitedMs: 0, retryAfterMs: 0 },
    );
  debit('ran/1', true);
  debit('refused/1', false);
  debit('unused/1', true);
  ledger.observer.onSent('quota.refund', { organisation: 'a', id: 'ran/1', tokens: 30 });
  void ports.engines.prefill({ requestId: requestId('ran') } as never);
  expect(ledger.readAdmissions('a').map(({ tokens }) => tokens)).toEqual([70]);
  expect(ledger.listUncharged()).toEqual([]);
});

// Guards against requests that run without a charge and are not reported.
test('a run without a granted debit is listed', () => {
  const ledger = createLedger();
  const prefill = () => okAsync({ kvId: 'kv', promptTokens: 1, cachedTokens: 0, elapsedMs: 1 });
  const ports = ledger.observer.wrapPorts({ engines: { prefill } } as unknown as NodePorts);
  void ports.engines.prefill({ requestId: requestId('free') } as never);
  expect(ledger.listUncharged()).toEqual(['free']);
});
