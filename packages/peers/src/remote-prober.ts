/** Probes between data centres, sent by the two gateway VMs of each data centre. */
import { monotonicMs, rankByRendezvous } from '@hibiscusbank/core';
import type { DataCentreId, Random } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { Prober } from './prober.js';
import type { Member, PeerIdentity } from './types.js';

const REMOTE_PROBE_INTERVAL_MS = 2_000;

/** The round trip between regions takes tens of milliseconds; the rest is margin. */
const REMOTE_PROBE_TIMEOUT_MS = 1_000;

const GATEWAYS_PER_DATA_CENTRE = 2;

/** On average every n-th probe goes to any known VM, in case no VM marked live exists any more. */
const PROBES_PER_ANY_VM = 4;

export interface RemoteProberOptions {
  readonly self: PeerIdentity;
  readonly table: MemberTable;
  readonly prober: Prober;
  readonly random: Random;
}

/** Returns a function to call on every tick; it probes each remote data centre when due. */
export function createRemoteProber(options: RemoteProberOptions): () => void {
  const { self, table, prober, random } = options;
  let nextRoundAt = monotonicMs() + random.nextInt(REMOTE_PROBE_INTERVAL_MS);

  const isGateway = (): boolean =>
    rankByRendezvous(`gateway ${self.dataCentre}`, table.listLive(self.dataCentre))
      .slice(0, GATEWAYS_PER_DATA_CENTRE)
      .includes(self.vm);

  const pickTarget = (dataCentre: DataCentreId): Member | undefined => {
    const all = table.all().filter((member) => member.dataCentre === dataCentre);
    const live = all.filter((member) => member.state === 'live');
    const useAllMembers = live.length === 0 || random.nextInt(PROBES_PER_ANY_VM) === 0;
    return random.pick(useAllMembers ? all : live);
  };

  return () => {
    const now = monotonicMs();
    if (now < nextRoundAt) return;
    nextRoundAt = now + REMOTE_PROBE_INTERVAL_MS;
    if (!isGateway()) return;
    for (const dataCentre of table.dataCentres()) {
      if (dataCentre === self.dataCentre) continue;
      const target = pickTarget(dataCentre);
      if (target !== undefined) void prober.probe(target, 'remote', REMOTE_PROBE_TIMEOUT_MS);
    }
  };
}
