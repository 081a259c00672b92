/**
 * SWIM-style failure detector for the VMs of the local data centre. Probes random members, marks a
 * member `suspect` when it does not answer, and `dead` unless it refutes the suspicion in time.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Random, Telemetry, VmId } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { MembershipMetrics } from './metrics.js';
import { sample } from './prober.js';
import type { Prober } from './prober.js';
import type { Member, PeerIdentity } from './types.js';
import type { UpdateQueue } from './update-queue.js';

const PROBE_INTERVAL_MS = 1_000;
/** Time that a suspected member has to refute the suspicion before it is declared dead. */
const SUSPICION_TIMEOUT_MS = 3_000;

/** A longer gap between two ticks means that this process was paused. */
const MAX_TICK_GAP_MS = 1_000;

/**
 * Every n-th round also probes a dead member, so that the two sides of a healed partition find each
 * other again.
 */
const ROUNDS_PER_DEAD_PROBE = 5;

/** Number of listed but never contacted VMs that each round probes. */
const UNCONTACTED_VM_PROBES_PER_ROUND = 2;

/**
 * Peers probed outside the rounds: after a pause, so that this VM learns early whether it was
 * declared dead, and when it leaves, so that peers learn of it.
 */
const IMMEDIATE_PROBES = 3;

export const TICK_INTERVAL_MS = 250;

export interface FailureDetector {
  /** Expires suspicions and starts due probes. Must be called every `TICK_INTERVAL_MS`. */
  tick(): void;
  /** Starts or ends the suspicion timer of a member after a change of its entry. */
  observe(member: Member): void;
  /** Probes a few random local peers at once; resolves when each has answered or timed out. */
  probeRandomPeers(): Promise<void>;
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

/** Creates the failure detector of one node. */
export function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
  const { self, table, queue, prober, random } = options;
  /** Monotonic time at which each suspected member is declared dead. */
  const suspectUntil = new Map<VmId, number>();
  /** Members that did not answer this node itself; each round probes them again. */
  const locallySuspected = new Set<VmId>();
  let lastTickAt = monotonicMs();
  let lastPauseAt = -Infinity;
  let nextRoundAt = lastTickAt + random.nextInt(PROBE_INTERVAL_MS);
  let round = random.nextInt(ROUNDS_PER_DEAD_PROBE);

  const listLocalPeers = (): Member[] =>
    table.all().filter((m) => m.dataCentre === self.dataCentre && m.vm !== self.vm);

  const publishState = (member: Member, state: 'suspect' | 'dead'): void => {
    if (table.merge({ ...member, state })) queue.add(member.vm);
  };

  /**
   * Starts the suspicion of a member. A leaving member keeps its state, because suspect members may
   * own work and leaving ones may not.
   */
  const suspect = (vm: VmId): void => {
    const member = table.get(vm);
    if (member === undefined || member.state === 'dead') return;
    locallySuspected.add(vm);
    if (member.state === 'live') publishState(member, 'suspect');
    else if (!suspectUntil.has(vm)) suspectUntil.set(vm, monotonicMs() + SUSPICION_TIMEOUT_MS);
  };

  const checkMember = async (target: Member): Promise<void> => {
    const startedAt = monotonicMs();
    const { incarnation } = target;
    const answered =
      (await prober.probe(target, 'direct')) || (await prober.probeIndirectly(target));
    // A timeout that expired while this process was paused is no evidence against the peer.
    if (startedAt <= lastPauseAt || monotonicMs() - lastTickAt > MAX_TICK_GAP_MS) return;
    const current = table.get(target.vm);
    if (current === undefined || current.incarnation !== incarnation) return;
    if (!answered) {
      suspect(target.vm);
      return;
    }
    locallySuspected.delete(target.vm);
    if (current.state === 'leaving') suspectUntil.delete(target.vm);
  };

  const checkMembers = (targets: readonly Member[]): void => {
    for (const target of targets) void checkMember(target);
  };

  const probeRound = (): void => {
    const localPeers = listLocalPeers();
    const dead = localPeers.filter((m) => m.state === 'dead');
    const notDead = localPeers.filter((m) => m.state !== 'dead');
    const suspected = notDead.filter((m) => locallySuspected.has(m.vm));
    const unsuspected = notDead.filter((m) => !locallySuspected.has(m.vm));
    checkMembers([...sample(unsuspected, 1, random), ...suspected]);
    const uncontacted = dead.filter((m) => m.incarnation === 0);
    const probesDeadMember = round % ROUNDS_PER_DEAD_PROBE === 0;
    const targets = [
      ...sample(uncontacted, UNCONTACTED_VM_PROBES_PER_ROUND, random),
      ...(probesDeadMember ? sample(dead, 1, random) : []),
    ];
    for (const target of targets) void prober.probe(target, 'direct');
    round += 1;
  };

  const expireSuspicions = (now: number): void => {
    for (const [vm, deadline] of suspectUntil) {
      if (deadline > now) continue;
      suspectUntil.delete(vm);
      locallySuspected.delete(vm);
      const member = table.get(vm);
      if (member?.state === 'suspect' || member?.state === 'leaving') publishState(member, 'dead');
    }
  };

  const probeRandomPeers = async (): Promise<void> => {
    const notDead = listLocalPeers().filter((m) => m.state !== 'dead');
    const targets = sample(notDead, IMMEDIATE_PROBES, random);
    await Promise.all(targets.map((target) => prober.probe(target, 'direct')));
  };

  /** Restarts all suspicion timers, because a paused process could not receive refutations. */
  const recoverFromPause = (now: number, gapMs: number): void => {
    lastPauseAt = now;
    options.metrics.pauses.inc();
    options.telemetry.log('processPaused', { gapMs: Math.round(gapMs) });
    for (const vm of suspectUntil.keys()) suspectUntil.set(vm, now + SUSPICION_TIMEOUT_MS);
    void probeRandomPeers();
  };

  return {
    probeRandomPeers,
    observe: ({ vm, state, dataCentre }) => {
      if (state === 'suspect' && dataCentre === self.dataCentre) {
        suspectUntil.set(vm, monotonicMs() + SUSPICION_TIMEOUT_MS);
        return;
      }
      suspectUntil.delete(vm);
      locallySuspected.delete(vm);
    },
    tick: () => {
      const now = monotonicMs();
      const gapMs = now - lastTickAt;
      lastTickAt = now;
      if (gapMs > MAX_TICK_GAP_MS) recoverFromPause(now, gapMs);
      expireSuspicions(now);
      if (now < nextRoundAt) return;
      nextRoundAt = now + PROBE_INTERVAL_MS;
      probeRound();
    },
  };
}
