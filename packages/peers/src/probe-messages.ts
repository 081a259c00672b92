/** Contents of probes and their replies. */
import { hash32 } from '@hibiscusbank/core';
import type { DataCentreId, VmId } from '@hibiscusbank/core';
import type { DataCentreAges, DataCentreClock } from './data-centre-ages.js';
import type { MemberTable } from './member-table.js';
import type { SelfRecord } from './self-record.js';
import type { Member, MemberState, PeerIdentity, ProbePayload } from './types.js';
import { MAX_UPDATES } from './update-queue.js';
import type { UpdateQueue } from './update-queue.js';

/** VM, data centre, address, state and incarnation. */
export type MemberUpdate = readonly [string, string, string, MemberState, number];

export interface ProbeMessage {
  readonly updates: readonly MemberUpdate[];
  /** Hash of the sender's member table. */
  readonly digest: number;
  readonly ages: DataCentreAges;
  readonly payloads: Readonly<Record<string, unknown>>;
}

export const encodeUpdate = (member: Member): MemberUpdate => [
  member.vm,
  member.dataCentre,
  member.peerAddress,
  member.state,
  member.incarnation,
];

export const decodeUpdate = ([vm, dc, peerAddress, state, incarnation]: MemberUpdate): Member => ({
  vm: vm as VmId,
  dataCentre: dc as DataCentreId,
  peerAddress,
  state,
  incarnation,
});

export interface ProbeMessagesOptions {
  readonly table: MemberTable;
  readonly queue: UpdateQueue;
  readonly self: SelfRecord;
  readonly clock: DataCentreClock;
  readonly payloads: readonly ProbePayload[];
  /** Called with every report about another VM or this one. */
  readonly onReport: (report: Member, from: PeerIdentity) => void;
  /** Called with whether the sender's table equals the own one. */
  readonly onCompared: (from: PeerIdentity, areEqual: boolean) => void;
}

export interface ProbeMessages {
  write(to: PeerIdentity): ProbeMessage;
  read(message: ProbeMessage, from: PeerIdentity): void;
}

/** Hash of the whole table. */
function digestTable(table: MemberTable): number {
  return hash32(
    table
      .dataCentres()
      .map((dataCentre) => [dataCentre, table.digest(dataCentre)])
      .filter(([, digest]) => digest !== 0)
      .join(' '),
  );
}

/** Creates the writer and reader of one node's probe messages. */
export function createProbeMessages(options: ProbeMessagesOptions): ProbeMessages {
  const { table, queue, clock, payloads } = options;
  const ownDataCentre = options.self.get().dataCentre;

  const selectPayloads = (other: PeerIdentity): ProbePayload[] => {
    const scope = other.dataCentre === ownDataCentre ? 'local' : 'remote';
    return payloads.filter((payload) => payload.scope === 'all' || payload.scope === scope);
  };

  /** The own entry, then what the receiver has to refute, then the news. */
  const selectUpdates = (to: PeerIdentity): MemberUpdate[] => {
    const own = options.self.get();
    const chosen = new Map<VmId, Member>([[own.vm, own]]);
    const receiver = table.get(to.vm);
    if (receiver !== undefined && receiver.incarnation > 0 && receiver.state !== 'live') {
      chosen.set(receiver.vm, receiver);
    }
    for (const vm of queue.take(MAX_UPDATES - chosen.size)) {
      const member = table.get(vm);
      if (member !== undefined) chosen.set(vm, member);
    }
    return [...chosen.values()].map(encodeUpdate);
  };

  return {
    write: (to) => ({
      updates: selectUpdates(to),
      digest: digestTable(table),
      ages: clock.write(),
      payloads: Object.fromEntries(
        selectPayloads(to)
          .map((payload) => [payload.name, payload.read()] as const)
          .filter(([, value]) => value !== undefined),
      ),
    }),
    read: (message, from) => {
      if (from.dataCentre === ownDataCentre) clock.read(message.ages);
      else clock.hear(from.dataCentre);
      for (const update of message.updates) options.onReport(decodeUpdate(update), from);
      for (const payload of selectPayloads(from)) {
        const value = message.payloads[payload.name];
        if (value !== undefined) payload.receive(value, from);
      }
      options.onCompared(from, message.digest === digestTable(table));
    },
  };
}
