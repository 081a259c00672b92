import { createRandom } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import type { Grant, GrantOutcome } from '@hibiscusbank/scheduler';
import fc from 'fast-check';
import type { Result } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { advance, createFleet, pool, request, upstream } from './support.js';
import type { Fleet } from './support.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

const VMS = ['a1', 'a2', 'a3', 'b1', 'b2'];
const UPSTREAMS = ['a', 'b'].flatMap((dc) => [
  upstream(`${dc}-p1`, 'prefill', dc, { coldLimit: 2 }),
  upstream(`${dc}-p2`, 'prefill', dc, { coldLimit: 2 }),
  upstream(`${dc}-d1`, 'decode', dc, { coldLimit: 2, memoryBlocks: 8 }),
  upstream(`${dc}-d2`, 'decode', dc, { coldLimit: 2, memoryBlocks: 8 }),
  upstream(`${dc}-x`, 'both', dc, { coldLimit: 1, capacity: 2, memoryBlocks: 8 }),
]);
const NAMES = [...UPSTREAMS.map((u) => u.id as string), 'a', 'b', 'a1', 'b1'];

const nat = fc.nat(1_000);
const events = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('place'), vm: nat, size: nat }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('finish'), vm: nat, size: nat }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance'), vm: nat, size: nat }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel'), vm: nat, size: nat }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain'), vm: nat, size: nat }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash'), vm: nat, size: nat }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lease'), vm: nat, size: nat }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('loss'), vm: nat, size: nat }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('table'), vm: nat, size: nat }) },
);

interface LiveGrant {
  readonly vm: string;
  readonly grant: Grant;
}

const OUTCOMES: GrantOutcome[] = [
  'completed',
  'completed',
  'failed',
  'cold',
  'cancelled',
  'unused',
];

class Simulation {
  readonly live: LiveGrant[] = [];

  readonly waiting = new Set<AbortController>();

  private readonly random = createRandom(7);

  private readonly outOfService = new Set<string>();

  private readonly stoppedVms = new Set<string>();

  constructor(readonly fleet: Fleet) {}

  place(vm: number, size: number): void {
    const name = VMS[vm % VMS.length] ?? 'a1';
    if (this.stoppedVms.has(name)) return;
    const abort = new AbortController();
    this.waiting.add(abort);
    const req = request({
      org: `org${size % 4}`,
      promptTokens: 100 + (size % 3) * 1_500,
      urgency: size % 2 === 0 ? 'urgent' : 'patient',
      patienceMs: 500 + size * 20,
    });
    const onPlaced = (result: Result<Grant, RouterError>): void => {
      this.waiting.delete(abort);
      if (result.isOk()) this.live.push({ vm: name, grant: result.value });
    };
    void this.fleet.place(name, req, abort.signal).then(onPlaced);
  }

  finish(position: number, size: number): void {
    const [entry] = this.live.splice(position % Math.max(1, this.live.length), 1);
    if (entry === undefined || this.stoppedVms.has(entry.vm)) return;
    const { scheduler } = this.fleet.node(entry.vm);
    const report = { prefillMs: 20, prefilledTokens: 200, cachedTokens: 0 };
    scheduler.finishPrefill(entry.grant, { outcome: 'completed', ...report });
    const outcome = OUTCOMES[size % OUTCOMES.length] ?? 'completed';
    scheduler.release(entry.grant, { outcome, ...report, decodeMs: 500, decodedTokens: 50 });
  }

  drain(size: number): void {
    const name = NAMES[size % NAMES.length] ?? 'a';
    if (this.outOfService.has(name)) this.outOfService.delete(name);
    else this.outOfService.add(name);
    this.fleet.setOutOfService(name, this.outOfService.has(name));
  }

  async crash(vm: number): Promise<void> {
    const name = VMS[vm % VMS.length] ?? 'a1';
    if (this.stoppedVms.has(name)) {
      this.stoppedVms.delete(name);
      await this.fleet.start(name);
      return;
    }
    this.stoppedVms.add(name);
    await this.fleet.kill(name);
    await advance(vm % 2_000);
    this.fleet.setState(name, 'dead');
    for (let i = this.live.length - 1; i >= 0; i -= 1) {
      if (this.live[i]?.vm === name) this.live.splice(i, 1);
    }
  }

  setLossRate(rate: number): void {
    this.fleet.dropsMessage = () => this.random.next() < rate;
  }

  changeTable(size: number): void {
    const capacity = 2 + (size % 4);
    this.fleet.setPool(pool(UPSTREAMS.map((u, i) => (i === size % 10 ? { ...u, capacity } : u))));
  }

  async run(kind: string, vm: number, size: number): Promise<void> {
    // Bursts make slots, memory and queues reach their limits.
    if (kind === 'place') for (let i = 0; i < 6; i += 1) this.place(vm, size + i);
    if (kind === 'finish') this.finish(vm, size);
    if (kind === 'advance') await advance(size);
    if (kind === 'cancel') [...this.waiting][size % Math.max(1, this.waiting.size)]?.abort();
    if (kind === 'drain') this.drain(size);
    if (kind === 'crash') await this.crash(vm);
    if (kind === 'loss') this.setLossRate(size % 2 === 0 ? 0.3 : 0);
    if (kind === 'table') this.changeTable(size);
    if (kind === 'lease') {
      const node = this.fleet.nodes()[vm % Math.max(1, this.fleet.nodes().length)];
      if (node !== undefined) this.fleet.leases.set(node.vm, size % 2 === 0 ? undefined : size);
    }
  }

  /** Repairs all faults, ends all requests and waits until grants of lost nodes have expired. */
  async repairAndFinish(): Promise<void> {
    this.setLossRate(0);
    for (const name of this.outOfService) this.fleet.setOutOfService(name, false);
    for (const name of this.stoppedVms) await this.fleet.start(name);
    this.stoppedVms.clear();
    for (const abort of this.waiting) abort.abort();
    await advance(3_000);
    while (this.live.length > 0) this.finish(0, 0);
    await advance(60_000);
  }

  busyUpstreams(): string[] {
    return this.fleet
      .nodes()
      .flatMap(({ scheduler }) => scheduler.explain(UPSTREAMS[0]!.pool))
      .filter((line) => /queue |slots [^0]|blocks [^0]|backlog [^0]/.test(line));
  }
}

// Guards against leaked slots and queue entries and exceeded limits under any sequence of faults.
test('any sequence of events keeps the invariants and leaks no grants or queue entries', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(events, { minLength: 20, maxLength: 120 }), async (steps) => {
      const fleet = await createFleet(VMS, pool(UPSTREAMS));
      const simulation = new Simulation(fleet);
      for (const { kind, vm, size } of steps) await simulation.run(kind, vm, size);
      await simulation.repairAndFinish();
      expect(fleet.violations()).toEqual([]);
      expect(simulation.waiting.size).toBe(0);
      expect(simulation.busyUpstreams()).toEqual([]);
      for (const { vm } of fleet.nodes()) await fleet.kill(vm);
    }),
    {
      seed: Number(process.env.SCHEDULER_SEED ?? 1),
      numRuns: Number(process.env.SCHEDULER_RUNS ?? 15),
      endOnFailure: true,
    },
  );
}, 120_000);
