/** Direct and indirect probes of single VMs. */
import type { Random, VmId } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { MembershipMetrics } from './metrics.js';
import type { ProbeMessage, ProbeMessages } from './probe-messages.js';
import type { Member, PeerIdentity, PeerNetwork } from './types.js';

/** An answer inside a data centre takes about a millisecond; the rest is room for a busy process. */
export const PROBE_TIMEOUT_MS = 300;

const INDIRECT_PROBES = 2;

/** A helper needs its own probe and the way there and back. */
const INDIRECT_TIMEOUT_MS = 2 * PROBE_TIMEOUT_MS;

export type ProbeKind = 'direct' | 'indirect' | 'remote';

export interface Prober {
  /** Probes a VM; returns whether it answered. */
  probe(target: PeerIdentity, kind: ProbeKind, timeoutMs?: number): Promise<boolean>;
  /** Asks two other live VMs of the data centre to probe; returns whether one got an answer. */
  probeIndirectly(target: PeerIdentity): Promise<boolean>;
}

export interface ProberOptions {
  readonly network: PeerNetwork;
  readonly table: MemberTable;
  readonly messages: ProbeMessages;
  readonly metrics: MembershipMetrics;
  readonly random: Random;
  /** Called when any peer answered or called. */
  readonly onContact: () => void;
}

/** Chooses up to `count` different items. */
export function sample<T>(items: readonly T[], count: number, random: Random): T[] {
  const rest = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && rest.length > 0) {
    chosen.push(...rest.splice(random.below(rest.length), 1));
  }
  return chosen;
}

/** Creates the prober of one node and answers `member.probe` and `member.probeFor`. */
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
      messages.write(target),
      { timeoutMs },
    );
    metrics.probes.inc({ kind, result: result.isOk() ? 'answered' : 'failed' });
    if (result.isErr()) return false;
    options.onContact();
    messages.read(result.value, target);
    return true;
  };

  const askHelper = async (helper: VmId, target: PeerIdentity): Promise<boolean> => {
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
    messages.read(params as ProbeMessage, from);
    return messages.write(from);
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
      const answers = await Promise.all(helpers.map((helper) => askHelper(helper, target)));
      return answers.includes(true);
    },
  };
}
