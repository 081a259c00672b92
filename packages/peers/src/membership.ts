/** Membership of one node: connects the VM list, the failure detector and the remote probes. */
import { createRandom, hash32, monotonicMs } from '@hibiscusbank/core';
import type { Random, Telemetry } from '@hibiscusbank/core';
import type { ListedVm, VmList } from '@hibiscusbank/object-api';
import { createDataCentreContacts, DATA_CENTRE_TIMEOUT_MS } from './data-centre-ages.js';
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

/** Number of peers whose member table a starting process fetches. */
const JOIN_PEERS = 3;

/**
 * Delay before the next attempt to join when no peer sent its table, e.g. because the VM list could
 * not be read.
 */
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
  const contacts = createDataCentreContacts();
  const payloads: ProbePayload[] = [];
  const stopController = new AbortController();
  let lastPeerContactAt = -Infinity;
  let lastListReadAt = -Infinity;
  let tickTimer: NodeJS.Timeout | undefined;
  let leaveCalled = false;
  let nextJoinAt = 0;
  const startedAt = monotonicMs();

  const selfRecord = createSelfRecord({
    self,
    address: options.selfAddress,
    table,
    queue,
    telemetry,
    metrics,
  });

  let sendRefutation: (to: PeerIdentity) => void = () => {};

  const onReport = (report: Member, from: PeerIdentity, isKnownLocally = false): void => {
    if (report.vm === self.vm) {
      if (selfRecord.handleReport(report)) sendRefutation(from);
      return;
    }
    const wasUnknown = table.get(report.vm) === undefined;
    const peerAddress = isUnspecified(report.peerAddress)
      ? (table.get(report.vm)?.peerAddress ?? report.peerAddress)
      : report.peerAddress;
    const isApplied = table.merge({ ...report, peerAddress });
    // The death of an unknown VM is not passed on; otherwise nodes that have removed a dead member
    // would keep learning of it from each other.
    if (isApplied && !isKnownLocally && !(wasUnknown && report.state === 'dead'))
      queue.add(report.vm);
  };

  const tableSync = createTableSync({ network, table, metrics, onReport });
  const messages = createProbeMessages({
    table,
    queue,
    selfRecord,
    contacts,
    payloads,
    onReport,
    onCompared: tableSync.recordComparison,
  });
  const prober = createProber({
    network,
    table,
    messages,
    metrics,
    random,
    onContact: () => {
      lastPeerContactAt = monotonicMs();
    },
  });
  sendRefutation = (to) => {
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
  const probeRemoteDataCentres = createRemoteProber({ self, table, prober, random });
  table.onChange((member) => {
    if (member.vm !== self.vm) detector.observe(member);
  });

  /**
   * Applies the VM list. If the platform lists this VM as leaving, this node announces that itself;
   * its peers ignore the listed state.
   */
  const applyVmList = (vms: readonly ListedVm[]): void => {
    lastListReadAt = monotonicMs();
    table.applyList(vms.filter((vm) => vm.id !== self.vm));
    const listed = vms.find((vm) => vm.id === self.vm);
    if (listed === undefined) return;
    selfRecord.adoptListedAddress(listed.peerAddress);
    if (!leaveCalled && listed.state !== selfRecord.get().state) selfRecord.setState(listed.state);
  };

  const listReader = createListReader({
    vmList: options.vmList,
    telemetry,
    metrics,
    onList: applyVmList,
    lastPeerContactMs: () => lastPeerContactAt,
  });

  const otherDataCentres = () => table.dataCentres().filter((dc) => dc !== self.dataCentre);

  /** Copies the tables of a few peers; learning all members by probes would take a minute. */
  const join = async (): Promise<void> => {
    nextJoinAt = monotonicMs() + JOIN_RETRY_MS;
    const others = table.all().filter((m) => m.dataCentre === self.dataCentre && m.vm !== self.vm);
    await Promise.all(
      sample(others, JOIN_PEERS, random).map(async (peer) => {
        if (!(await prober.probe(peer, 'direct'))) return;
        if (await tableSync.sync(peer)) nextJoinAt = Infinity;
      }),
    );
  };

  const tick = (): void => {
    if (monotonicMs() >= nextJoinAt) void join();
    detector.tick();
    probeRemoteDataCentres();
    for (const dc of otherDataCentres()) {
      const ageS = (monotonicMs() - Math.max(contacts.lastContactMs(dc), startedAt)) / 1_000;
      metrics.dataCentreAge.set({ data_centre: dc }, ageS);
    }
  };

  const stop = async (): Promise<void> => {
    stopController.abort();
    clearInterval(tickTimer);
  };

  return {
    self,
    listLive: table.listLive,
    members: table.all,
    find: table.get,
    listedVms: () => listReader.last()?.map((vm) => vm.id),
    lastContactMs: () => Math.max(lastPeerContactAt, lastListReadAt, startedAt),
    findAddress: (vm) => table.get(vm)?.peerAddress,
    otherDataCentres,
    lastDataCentreContactMs: contacts.lastContactMs,
    isReachable: (dc) => monotonicMs() - contacts.lastContactMs(dc) <= DATA_CENTRE_TIMEOUT_MS,
    addPayload: (payload) => {
      payloads.push(payload);
    },
    onChange: table.onChange,
    start: async () => {
      table.merge(selfRecord.get());
      queue.add(self.vm);
      await listReader.start(stopController.signal);
      await join();
      if (stopController.signal.aborted) return;
      tickTimer = setInterval(tick, TICK_INTERVAL_MS);
    },
    leave: async () => {
      leaveCalled = true;
      selfRecord.setState('leaving');
      await detector.probeRandomPeers();
    },
    stop,
  };
}
