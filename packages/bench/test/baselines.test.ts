import { ENGINE_DEFAULTS, MODEL_ROUTE_DEFAULTS } from '@hibiscusbank/standins';
import { expect, test } from 'vitest';
import { createBaselinePolicy } from '../src/harness/baseline-policies.js';
import { computeDecodeCapacity } from '../src/harness/engine-groups.js';

const addresses = { prefill: ['p1', 'p2'], decode: ['d1', 'd2', 'd3'] };

const loadWith = (slotsUsed: number) => ({
  slotsUsed,
  slots: 20,
  blocksUsed: 0,
  blocks: 200,
  prefillQueueMs: 0,
  models: [],
  role: 'both' as const,
});

// Guards against a baseline that leaves engines idle, which would make the router look better than
// it is.
test('round robin uses each engine in turn', () => {
  const readLoad = () => undefined;
  const policy = createBaselinePolicy('round_robin', { ...addresses, offset: 0, readLoad });
  expect([1, 2, 3, 4].map(() => policy.pickDecode())).toEqual(['d1', 'd2', 'd3', 'd1']);
});

// Guards against a baseline that ignores the load reports.
test('least loaded picks the engine with the fewest used slots', () => {
  const used: Record<string, number> = { d1: 5, d2: 1, d3: 4 };
  const readLoad = (address: string) => loadWith(used[address] ?? 0);
  const policy = createBaselinePolicy('least_loaded', { ...addresses, offset: 0, readLoad });
  expect([policy.pickDecode(), policy.pickDecode()]).toEqual(['d2', 'd2']);
});

// Guards against a baseline that sends everything to the first of several equally loaded engines.
test('least loaded alternates between equally loaded engines', () => {
  const readLoad = () => loadWith(0);
  const policy = createBaselinePolicy('least_loaded', { ...addresses, offset: 0, readLoad });
  const picked = new Set([1, 2, 3].map(() => policy.pickDecode()));
  expect(picked.size).toBe(3);
});

// Guards against a computed capacity that differs from that of the stand-ins: loads are percentages
// of it.
test('the decode capacity follows from slots, answers, full batches and transfers', () => {
  const options = {
    ...ENGINE_DEFAULTS,
    slots: 10,
    tokenMs: 10,
    tokenMsPerStream: 1,
    kvBytesPerToken: 100,
    linkBytesPerMs: 1_000,
  };
  const route = {
    ...MODEL_ROUTE_DEFAULTS,
    promptTokens: [1_000, 1_000] as const,
    answerTokens: [45, 45] as const,
  };
  // 20 slots, each held for a transfer of 100 ms and 45 tokens of 20 ms.
  expect(computeDecodeCapacity({ prefill: 1, decode: 2, options }, [route])).toBe(20);
});
