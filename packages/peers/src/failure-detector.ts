/** Detects dead VMs of the own data centre: random probes, suspicion, refutation. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Random, Telemetry, VmId } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { MembershipMetrics } from './metrics.js';
import { sample } from './prober.js';
import type { Prober } from './prober.js';
import type { Member, PeerIdentity } from './types.js';
import type { UpdateQueue } from './update-queue.js';

const PROBE_INTERVAL_MS = 1_000;
const SUSPICION_MS = 3_000;

/** A longer gap between two ticks means that the process was paused. */
const MAX_TICK_GAP_MS = 1_000;

/**
 * One of this many rounds also probes a dead member, so that two sides of a healed partition find
 * each other.
 */
const ROUNDS_PER_DEAD_PROBE = 5;

/** VMs of the list without a sign of life that are probed in one round. */
const NEW_VM_PROBES = 2;

/** Peers probed after a pause, to hear soon whether this VM was declared dead. */
const WAKE_PROBES = 3;

export const TICK_INTERVAL_MS = 250;

export interface FailureDetector {
  /** Runs every `TICK_INTERVAL_MS`. */
  tick(): void;
  /** Starts or ends the suspicion of a member after a change of its state. */
  observe(member: Member): void;
  /** Probes a few random peers at once; resolves when they answered or failed to. */
  probeSome(): Promise<void>;
}

export interface FailureDetectorOptions {
  readonly self: PeerIdentity;
  readonly table: MemberTable;
  readonly queue: UpdateQueue;
  readonly prober: Prober;
  readonly metrics: MembershipMetrics;
  readonly random: Random;
  readonly telemetry: Telemetry;
}

/** Creates the detector of one node. */
export function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
  const { self, table, queue, prober, random } = options;
  const deadlines = new Map<VmId, number>();
  const ownSuspects = new Set<VmId>();
  let lastTick = monotonicMs();
  let lastPause = -Infinity;
  let nextRound = lastTick + random.below(PROBE_INTERVAL_MS);
  let round = random.below(ROUNDS_PER_DEAD_PROBE);

  const listOthers = (): Member[] =>
    table.all().filter((m) => m.dataCentre === self.dataCentre && m.vm !== self.vm);

  const report = (member: Member, state: 'suspect' | 'dead'): void => {
    if (table.merge({ ...member, state })) queue.add(member.vm);
  };

  /** A leaving member keeps its state while it is suspected, so that it does not own work again. */
  const suspect = (vm: VmId): void => {
    const member = table.get(vm);
    if (member === undefined || member.state === 'dead') return;
    ownSuspects.add(vm);
    if (member.state === 'live') report(member, 'suspect');
    else if (!deadlines.has(vm)) deadlines.set(vm, monotonicMs() + SUSPICION_MS);
  };

  const check = async (target: Member): Promise<void> => {
    const startedAt = monotonicMs();
    const { incarnation } = target;
    const answered =
      (await prober.probe(target, 'direct')) || (await prober.probeIndirectly(target));
    // Timeouts that ran out while this process was paused say nothing about the peer.
    if (startedAt <= lastPause || monotonicMs() - lastTick > MAX_TICK_GAP_MS) return;
    const current = table.get(target.vm);
    if (current === undefined || current.incarnation !== incarnation) return;
    if (!answered) {
      suspect(target.vm);
      return;
    }
    ownSuspects.delete(target.vm);
    if (current.state === 'leaving') deadlines.delete(target.vm);
  };

  const checkAll = (targets: readonly Member[]): void => {
    for (const target of targets) void check(target);
  };

  const probeRound = (): void => {
    const others = listOthers();
    const dead = others.filter((m) => m.state === 'dead');
    const alive = others.filter((m) => m.state !== 'dead');
    const repeated = alive.filter((m) => ownSuspects.has(m.vm));
    const fresh = alive.filter((m) => !ownSuspects.has(m.vm));
    checkAll([...sample(fresh, 1, random), ...repeated]);
    const unproven = dead.filter((m) => m.incarnation === 0);
    const isDeadRound = round % ROUNDS_PER_DEAD_PROBE === 0;
    const targets = [
      ...sample(unproven, NEW_VM_PROBES, random),
      ...(isDeadRound ? sample(dead, 1, random) : []),
    ];
    for (const target of targets) void prober.probe(target, 'direct');
    round += 1;
  };

  const expireSuspicions = (now: number): void => {
    for (const [vm, deadline] of deadlines) {
      if (deadline > now) continue;
      deadlines.delete(vm);
      ownSuspects.delete(vm);
      const member = table.get(vm);
      if (member?.state === 'suspect' || member?.state === 'leaving') report(member, 'dead');
    }
  };

  const probeSome = async (): Promise<void> => {
    const alive = listOthers().filter((m) => m.state !== 'dead');
    const targets = sample(alive, WAKE_PROBES, random);
    await Promise.all(targets.map((target) => prober.probe(target, 'direct')));
  };

  /** Peers had no chance to refute towards a paused process: their suspicion starts again. */
  const recoverFromPause = (now: number, gapMs: number): void => {
    lastPause = now;
    options.metrics.pauses.inc();
    options.telemetry.log('processPaused', { gapMs: Math.round(gapMs) });
    for (const vm of deadlines.keys()) deadlines.set(vm, now + SUSPICION_MS);
    void probeSome();
  };

  return {
    probeSome,
    observe: ({ vm, state, dataCentre }) => {
      if (state === 'suspect' && dataCentre === self.dataCentre) {
        deadlines.set(vm, monotonicMs() + SUSPICION_MS);
        return;
      }
      deadlines.delete(vm);
      ownSuspects.delete(vm);
    },
    tick: () => {
      const now = monotonicMs();
      const gapMs = now - lastTick;
      lastTick = now;
      if (gapMs > MAX_TICK_GAP_MS) recoverFromPause(now, gapMs);
      expireSuspicions(now);
      if (now < nextRound) return;
      nextRound = now + PROBE_INTERVAL_MS;
      probeRound();
    },
  };
}
