/** Which VMs are live: assembles the list, the failure detector and the probes between data centres. */
import { createRandom, hash32, monotonicMs } from '@hibiscusbank/core';
import type { Random, Telemetry } from '@hibiscusbank/core';
import type { ListedVm, VmList } from '@hibiscusbank/object-api';
import { createDataCentreClock, DATA_CENTRE_TIMEOUT_MS } from './data-centre-ages.js';
import { createFailureDetector, TICK_INTERVAL_MS } from './failure-detector.js';
import { createListReader } from './list-reader.js';
import { createMemberTable } from './member-table.js';
import { createMembershipMetrics } from './metrics.js';
import { createProbeMessages } from './probe-messages.js';
import { createProber, sample } from './prober.js';
import { createRemoteProber } from './remote-prober.js';
import { createSelfRecord, isUnspecified } from './self-record.js';
import { createTableSync } from './table-sync.js';
import type { Member, Membership, PeerIdentity, PeerNetwork, ProbePayload } from './types.js';
import { createUpdateQueue } from './update-queue.js';

/** Peers asked for their whole table when a process starts. */
const JOIN_PEERS = 3;

/** Pause until the next attempt when no peer gave its table, as when the list was not readable. */
const JOIN_RETRY_MS = 2_000;

export interface MembershipOptions {
  readonly self: PeerIdentity;
  /** `host:port` at which peers reach this node. */
  readonly selfAddress: string;
  readonly network: PeerNetwork;
  readonly vmList: VmList;
  readonly telemetry: Telemetry;
  readonly random?: Random;
}

/** Creates the membership of one node. */
export function createMembership(options: MembershipOptions): Membership {
  const { self, network, telemetry } = options;
  // eslint-disable-next-line no-bitwise
  const random = options.random ?? createRandom((hash32(self.vm) ^ Date.now()) | 0);
  const metrics = createMembershipMetrics(telemetry);
  const table = createMemberTable(telemetry);
  const queue = createUpdateQueue(() => table.listLive(self.dataCentre).length);
  const clock = createDataCentreClock();
  const payloads: ProbePayload[] = [];
  const stopping = new AbortController();
  let lastPeerContact = -Infinity;
  let lastListRead = -Infinity;
  let ticking: NodeJS.Timeout | undefined;
  let leavingByCall = false;
  let nextJoin = 0;
  const startedAt = monotonicMs();

  const ownRecord = createSelfRecord({
    self,
    address: options.selfAddress,
    table,
    queue,
    telemetry,
    metrics,
  });

  let probeBack: (to: PeerIdentity) => void = () => {};

  const onReport = (report: Member, from: PeerIdentity, isOldNews = false): void => {
    if (report.vm === self.vm) {
      if (ownRecord.hear(report)) probeBack(from);
      return;
    }
    const isFirst = table.get(report.vm) === undefined;
    const peerAddress = isUnspecified(report.peerAddress)
      ? (table.get(report.vm)?.peerAddress ?? report.peerAddress)
      : report.peerAddress;
    const isNews = table.merge({ ...report, peerAddress });
    // A death of a VM unknown so far is not passed on, or forgotten members would spread for ever.
    if (isNews && !isOldNews && !(isFirst && report.state === 'dead')) queue.add(report.vm);
  };

  const tableSync = createTableSync({ network, table, metrics, onReport });
  const messages = createProbeMessages({
    table,
    queue,
    self: ownRecord,
    clock,
    payloads,
    onReport,
    onCompared: tableSync.compare,
  });
  const prober = createProber({
    network,
    table,
    messages,
    metrics,
    random,
    onContact: () => {
      lastPeerContact = monotonicMs();
    },
  });
  probeBack = (to) => {
    setTimeout(() => {
      void prober.probe(to, 'direct');
    }, 0);
  };
  const detector = createFailureDetector({
    self,
    table,
    queue,
    prober,
    metrics,
    random,
    telemetry,
  });
  const probeRemotely = createRemoteProber({ self, table, prober, random });
  table.onChange((member) => {
    if (member.vm !== self.vm) detector.observe(member);
  });

  /** The platform may announce that this VM is about to go; only the VM itself tells the others. */
  const followList = (vms: readonly ListedVm[]): void => {
    lastListRead = monotonicMs();
    table.applyList(vms.filter((vm) => vm.id !== self.vm));
    const listed = vms.find((vm) => vm.id === self.vm);
    if (listed === undefined) return;
    ownRecord.learnAddress(listed.peerAddress);
    if (!leavingByCall && listed.state !== ownRecord.get().state) ownRecord.setState(listed.state);
  };

  const listReader = createListReader({
    vmList: options.vmList,
    telemetry,
    metrics,
    onList: followList,
    lastPeerContactMs: () => lastPeerContact,
  });

  const otherDataCentres = () => table.dataCentres().filter((dc) => dc !== self.dataCentre);

  /** Takes over the table of a few peers, because one probe a second would take a minute. */
  const join = async (): Promise<void> => {
    nextJoin = monotonicMs() + JOIN_RETRY_MS;
    const others = table.all().filter((m) => m.dataCentre === self.dataCentre && m.vm !== self.vm);
    await Promise.all(
      sample(others, JOIN_PEERS, random).map(async (peer) => {
        if (!(await prober.probe(peer, 'direct'))) return;
        if (await tableSync.sync(peer)) nextJoin = Infinity;
      }),
    );
  };

  const tick = (): void => {
    if (monotonicMs() >= nextJoin) void join();
    detector.tick();
    probeRemotely();
    for (const dc of otherDataCentres()) {
      const ageS = (monotonicMs() - Math.max(clock.lastHeardMs(dc), startedAt)) / 1_000;
      metrics.dataCentreAge.set({ data_centre: dc }, ageS);
    }
  };

  const stop = async (): Promise<void> => {
    stopping.abort();
    clearInterval(ticking);
  };

  return {
    self,
    listLive: table.listLive,
    members: table.all,
    find: table.get,
    listedVms: () => listReader.last()?.map((vm) => vm.id),
    lastContactMs: () => Math.max(lastPeerContact, lastListRead, startedAt),
    findAddress: (vm) => table.get(vm)?.peerAddress,
    otherDataCentres,
    lastHeardMs: clock.lastHeardMs,
    isReachable: (dc) => monotonicMs() - clock.lastHeardMs(dc) <= DATA_CENTRE_TIMEOUT_MS,
    addPayload: (payload) => {
      payloads.push(payload);
    },
    onChange: table.onChange,
    start: async () => {
      table.merge(ownRecord.get());
      queue.add(self.vm);
      await listReader.start(stopping.signal);
      await join();
      if (stopping.signal.aborted) return;
      ticking = setInterval(tick, TICK_INTERVAL_MS);
    },
    leave: async () => {
      leavingByCall = true;
      ownRecord.setState('leaving');
      await detector.probeSome();
    },
    stop,
  };
}
