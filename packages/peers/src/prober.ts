/** Sends direct and indirect probes to single VMs. */
import type { Random, VmId } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { MembershipMetrics } from './metrics.js';
import type { ProbeMessage, ProbeMessages } from './probe-messages.js';
import type { Member, PeerIdentity, PeerNetwork } from './types.js';

/** A local answer takes about 1 ms; the rest is margin for a busy process. */
export const PROBE_TIMEOUT_MS = 300;

const INDIRECT_PROBES = 2;

/** Covers the helper's own probe and the round trip to the helper. */
const INDIRECT_TIMEOUT_MS = 2 * PROBE_TIMEOUT_MS;

export type ProbeKind = 'direct' | 'indirect' | 'remote';

export interface Prober {
  /** Probes a VM; resolves to whether it answered. */
  probe(target: PeerIdentity, kind: ProbeKind, timeoutMs?: number): Promise<boolean>;
  /** Asks two other VMs of the target's data centre to probe it; resolves to whether it answered. */
  probeIndirectly(target: PeerIdentity): Promise<boolean>;
}

export interface ProberOptions {
  readonly network: PeerNetwork;
  readonly table: MemberTable;
  readonly messages: ProbeMessages;
  readonly metrics: MembershipMetrics;
  readonly random: Random;
  /** Called when any peer answers or sends a probe. */
  readonly onContact: () => void;
}

/** Returns up to `count` distinct items, chosen at random. */
export function sample<T>(items: readonly T[], count: number, random: Random): T[] {
  const remaining = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && remaining.length > 0) {
    chosen.push(...remaining.splice(random.nextInt(remaining.length), 1));
  }
  return chosen;
}

/** Creates the prober of one node and handles `member.probe` and `member.probeFor`. */
export function createProber(options: ProberOptions): Prober {
  const { network, table, messages, metrics } = options;

  const probe = async (
    target: PeerIdentity,
    kind: ProbeKind,
    timeoutMs = PROBE_TIMEOUT_MS,
  ): Promise<boolean> => {
    const result = await network.call<ProbeMessage>(
      target.vm,
      'member.probe',
      messages.compose(target),
      { timeoutMs },
    );
    metrics.probes.inc({ kind, result: result.isOk() ? 'answered' : 'failed' });
    if (result.isErr()) return false;
    options.onContact();
    messages.handle(result.value, target);
    return true;
  };

  const requestIndirectProbe = async (helper: VmId, target: PeerIdentity): Promise<boolean> => {
    const result = await network.call<{ alive: boolean }>(
      helper,
      'member.probeFor',
      { target: target.vm },
      { timeoutMs: INDIRECT_TIMEOUT_MS },
    );
    return result.isOk() && result.value.alive;
  };

  network.handle('member.probe', async (params, from) => {
    options.onContact();
    messages.handle(params as ProbeMessage, from);
    return messages.compose(from);
  });
  network.handle('member.probeFor', async (params) => {
    const target: Member | undefined = table.get((params as { target: VmId }).target);
    return { alive: target !== undefined && (await probe(target, 'indirect')) };
  });

  return {
    probe,
    probeIndirectly: async (target) => {
      const others = table
        .listLive(target.dataCentre)
        .filter((vm) => vm !== target.vm && vm !== network.self.vm);
      const helpers = sample(others, INDIRECT_PROBES, options.random);
      const answers = await Promise.all(
        helpers.map((helper) => requestIndirectProbe(helper, target)),
      );
      return answers.includes(true);
    },
  };
}
