/** Metrics of the quota. */
import { Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';

const WAIT_BUCKETS_S = [0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 5];

/** Creates the metrics and registers them. */
export function createQuotaMetrics(registry: Registry) {
  const registers = [registry];
  return {
    debits: new Counter({
      name: 'hibiscusbank_quota_debits_total',
      help: 'Debits at this holder by result',
      labelNames: ['result'],
      registers,
    }),
    debitWaitSeconds: new Histogram({
      name: 'hibiscusbank_quota_debit_wait_seconds',
      help: 'Time that granted debits waited at this holder',
      buckets: WAIT_BUCKETS_S,
      registers,
    }),
    loans: new Counter({
      name: 'hibiscusbank_quota_loans_total',
      help: 'Requests for a loan sent by this holder, by result',
      labelNames: ['result'],
      registers,
    }),
    borrowedTokens: new Counter({
      name: 'hibiscusbank_quota_borrowed_tokens_total',
      help: 'Tokens borrowed from other holders',
      registers,
    }),
    lostTokens: new Counter({
      name: 'hibiscusbank_quota_lost_tokens_total',
      help: 'Tokens that were dropped to stay within the bound, by reason',
      labelNames: ['reason'],
      registers,
    }),
    ringVersion: new Gauge({
      name: 'hibiscusbank_quota_ring_version',
      help: 'Version of the ring whose shares this VM has adopted; 0 while it may not spend',
      registers,
    }),
  };
}

export type QuotaMetrics = ReturnType<typeof createQuotaMetrics>;
