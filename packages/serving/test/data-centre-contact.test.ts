import { createTelemetry, dataCentreId, upstreamId } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import {
  computeReachableShare,
  createDataCentreContact,
  silenceLimitMs,
} from '../src/data-centre-contact.js';
import { rankDecode, rankPrefill } from '../src/placement.js';
import type { CandidateState } from '../src/placement.js';
import { createUpstreamHealth } from '../src/upstream-health.js';
import { createUpstream } from './support/test-node.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

function createContact(peers: readonly string[]) {
  return createDataCentreContact({
    local: 'a',
    peers: () =>
      peers.map((dataCentre, index) => ({
        node: `n${index}`,
        host: '10.0.0.1',
        port: index,
        dataCentre,
      })),
    telemetry: createTelemetry({}, () => {}),
  });
}

// With the time-out of single peers, 35 s in a fleet of 80, both sides of a partition spend the
// whole rate of each organisation until then.
test('a data centre of a large fleet is silent within seconds after its last report', () => {
  expect(silenceLimitMs(2, 6)).toBeLessThanOrEqual(1_500);
  expect(silenceLimitMs(27, 80)).toBeLessThanOrEqual(3_000);
  expect(silenceLimitMs(39, 195)).toBeLessThanOrEqual(6_000);
});

test('a data centre is silent while none of its nodes reports, and heard with the first report', async () => {
  const contact = createContact(['a', 'b', 'b']);
  contact.check();
  expect(contact.isSilent('b')).toBe(false);
  contact.record('b');
  contact.record('a');
  await vi.advanceTimersByTimeAsync(5_000);
  expect(contact.check()).toEqual(['b']);
  expect(contact.check()).toEqual([]);
  expect(contact.isSilent('b')).toBe(true);
  expect(contact.isSilent('a')).toBe(false);
  contact.record('b');
  expect(contact.isSilent('b')).toBe(false);
});

test('a data centre whose nodes were all removed is not silent', async () => {
  const peers = ['b'];
  const contact = createContact(peers);
  contact.record('b');
  peers.length = 0;
  await vi.advanceTimersByTimeAsync(60_000);
  contact.check();
  expect(contact.isSilent('b')).toBe(false);
});

// A process that started in a large fleet held organisations to the share of the few nodes that it had
// heard, for up to 26 s.
test('a new process of a large fleet counts the nodes of data centres that it hears', () => {
  const share = (nodes: number, heard: readonly string[], timedOut: readonly string[] = []) =>
    computeReachableShare({
      peers: Array.from({ length: nodes - 1 }, (_, index) => ({
        node: `n${index}`,
        host: '10.0.0.1',
        port: index,
        dataCentre: index % 2 === 0 ? 'a' : 'b',
      })),
      livePeers: { has: (node) => node === 'n1', hasTimedOut: (node) => timedOut.includes(node) },
      contact: { isHeard: (dataCentre) => heard.includes(dataCentre ?? '') },
    });
  expect(share(81, ['a', 'b'])).toBe(1);
  expect(share(81, ['a', 'b'], ['n2', 'n4'])).toBeCloseTo(79 / 81);
  expect(share(81, ['a'])).toBeCloseTo(41 / 81);
  // In a small fleet every node reports each interval, so one that was not heard is out of contact.
  expect(share(7, ['a', 'b'])).toBeCloseTo(2 / 7);
});

function createState(change: Partial<CandidateState>): CandidateState {
  return {
    requests: 0,
    tokens: 0,
    failureRate: 0,
    isEjected: false,
    isWithinRateLimits: true,
    isCold: false,
    isChanging: false,
    ...change,
  };
}

const need = { tokens: 5_000, memoryTokens: 60_000, slots: 64 };

// In a partition each request waited for the time-outs of two prefill engines beyond the cut, which
// is longer than its target, although its decode engine could prefill the prompt.
test('ejected prefill engines get no prompts, while ejected decode engines are used last', () => {
  const engines = [
    { ...createUpstream('near', { role: 'decode' }), coldUntil: 0 },
    { ...createUpstream('far', { role: 'decode', dataCentre: dataCentreId('b') }), coldUntil: 0 },
    { ...createUpstream('p', { role: 'prefill', dataCentre: dataCentreId('b') }), coldUntil: 0 },
  ];
  const context = {
    dataCentre: dataCentreId('a'),
    excluded: new Set<never>(),
    random: () => 0,
    readState: ({ dataCentre }: { dataCentre: string }) =>
      createState({ isEjected: dataCentre === 'b', tokens: dataCentre === 'a' ? 54_000 : 0 }),
  };
  expect(rankPrefill(engines, context, dataCentreId('a'))).toEqual([]);
  expect(rankDecode(engines, context, { ...need, tokens: 1_000 })[0]?.id).toBe('near');
  expect(rankDecode(engines, context, { ...need, tokens: 9_000 })[0]?.id).toBe('far');
});

// Without the limit all requests that arrive while a probe is unanswered run into the time-out too.
test('a failing upstream is probed by one call at a time', async () => {
  const health = createUpstreamHealth(createTelemetry({}, () => {}));
  const upstream = { id: upstreamId('p'), dataCentre: dataCentreId('b') };
  health.recordFailure(upstream, 'answered');
  health.recordFailure(upstream, 'answered');
  expect(health.isEjected(upstream)).toBe(true);
  await vi.advanceTimersByTimeAsync(600);
  expect(health.isEjected(upstream)).toBe(false);
  health.recordSend(upstream);
  expect(health.isEjected(upstream)).toBe(true);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(health.isEjected(upstream)).toBe(false);
  health.recordSend(upstream);
  health.recordSuccess(upstream);
  expect(health.isEjected(upstream)).toBe(false);
});
