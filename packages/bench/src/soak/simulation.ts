/** Simulates one site in memory, with faults, traffic and invariant checks. */
import { createRandom } from '@hibiscusbank/core';
import type { Random } from '@hibiscusbank/core';
import { createMemoryHub } from '@hibiscusbank/peers';
import type { MemoryHub } from '@hibiscusbank/peers';
import { createObjectTable } from '@hibiscusbank/standins';
import type { ObjectTable } from '@hibiscusbank/standins';
import type { SoakClock } from './clock.js';
import { createFaultHistory } from './fault-history.js';
import type { FaultHistory } from './fault-history.js';
import { createEnginePort } from './engine-port.js';
import { createFakeEngines } from './fake-engines.js';
import type { FakeEngines } from './fake-engines.js';
import { createPlatformClient, createPublishedVmList, createListedVm } from './fake-platform.js';
import { createFakeUpstreams, createUpstreamPort } from './fake-upstreams.js';
import type { FakeUpstreams } from './fake-upstreams.js';
import { createFleet } from './fleet.js';
import type { CreatePorts, Fleet, NodeInstance } from './fleet.js';
import { createHoldChecks } from './hold-checks.js';
import { createRunRecorder } from './run-recorder.js';
import type { RunRecorder } from './run-recorder.js';
import { createNetworkFaults } from './network-faults.js';
import type { NetworkFaults } from './network-faults.js';
import { createQuotaLog } from './quota-log.js';
import type { QuotaLog } from './quota-log.js';
import { POOLS, VMS, writeConfiguration } from './site.js';
import { createTraffic } from './traffic.js';
import type { Traffic } from './traffic.js';
import { createWorkChecks } from './work-checks.js';
import type { WorkChecks } from './work-checks.js';

const STEP_MS = 100;
const STEPS_PER_HOLD_CHECK = 10;
const MAX_TABLE_HISTORY_ENTRIES = 10_000;
const LOCAL_DELAY_MS = 0.5;
const REMOTE_DELAY_MS = 1;
const VM_LIST = VMS.map(({ id, dataCentre }) => createListedVm(id, dataCentre));

export interface Simulation {
  readonly random: Random;
  readonly recorder: RunRecorder;
  readonly table: ObjectTable;
  readonly faults: NetworkFaults;
  readonly engines: FakeEngines;
  readonly upstreams: FakeUpstreams;
  readonly fleet: Fleet;
  readonly traffic: Traffic;
  readonly work: WorkChecks;
  readonly quotaLog: QuotaLog;
  readonly faultHistory: FaultHistory;
  /** Advances the simulated time and checks the invariants at every step. */
  advance(ms: number): Promise<void>;
  stop(): void;
}

function configureHub(hub: MemoryHub, faults: NetworkFaults): void {
  hub.setDelay((from, to) =>
    from.dataCentre === to.dataCentre ? LOCAL_DELAY_MS : REMOTE_DELAY_MS,
  );
  hub.setBlocked((from, to) => faults.isPartitioned(from.dataCentre, to.dataCentre));
}

/** Creates the simulated site without any running node. */
export function createSimulation(clock: SoakClock, seed: number): Simulation {
  const { nowMs } = clock;
  const random = createRandom(seed);
  const recorder = createRunRecorder(nowMs);
  const table = createObjectTable(MAX_TABLE_HISTORY_ENTRIES);
  writeConfiguration(table);
  const faults = createNetworkFaults();
  const hub = createMemoryHub(createRandom(seed));
  configureHub(hub, faults);
  const upstreamEntries = POOLS.flatMap((pool) => pool.upstreams);
  const engines = createFakeEngines(upstreamEntries.filter(({ role }) => role !== 'plain'));
  const upstreams = createFakeUpstreams(
    upstreamEntries.filter(({ role }) => role === 'plain'),
    seed,
  );
  const vms = createPublishedVmList(VM_LIST);
  const components: { traffic?: Traffic; fleet?: Fleet; faultHistory?: FaultHistory } = {};
  const work = createWorkChecks({
    nowMs,
    recorder,
    traffic: () => components.traffic as Traffic,
    faultHistory: () => components.faultHistory as FaultHistory,
  });
  const quotaLog = createQuotaLog(nowMs);

  const createPorts: CreatePorts = ({ dataCentre, nodeProcess }) => {
    const access = { faults, dataCentre, nodeProcess };
    const instance = (): NodeInstance =>
      (components.fleet as Fleet)
        .all()
        .find((found) => found.nodeProcess === nodeProcess) as NodeInstance;
    return {
      ...createPlatformClient({ table, vms, ...access }),
      weightStore: undefined,
      engines: createEnginePort(engines, access, work.createEngineObserver(instance)),
      upstreams: createUpstreamPort(upstreams, access, work.createUpstreamObserver(instance)),
    };
  };
  const fleet = createFleet({
    hub,
    createPorts,
    onStart: ({ node }) => quotaLog.observe(node.quota),
    onDrained: (instance) => {
      const interrupted = components.traffic
        ?.open()
        .filter((call) => call.connection?.instance === instance);
      if (interrupted !== undefined && interrupted.length > 0) {
        recorder.fail(
          'drain_interrupts_none',
          `${instance.vm.id} stopped during call ${interrupted[0]?.id}`,
        );
      }
      recorder.count('drained');
      components.traffic?.closeConnections(instance);
    },
    onError: ({ vm }, thrown) => recorder.fail('node_runs', `${vm.id}: ${String(thrown)}`),
  });
  const traffic = createTraffic({
    nowMs,
    recorder,
    pickInstance: () => random.pick(fleet.ready()),
  });
  const faultHistory = createFaultHistory({ nowMs, faults, running: fleet.running });
  const holdChecks = createHoldChecks({ nowMs, recorder, engines, work, faultHistory });
  Object.assign(components, { traffic, fleet, faultHistory });

  let steps = 0;
  let reportedViolations = 0;
  const reportViolations = (): void => {
    const found = fleet.violations();
    for (const { vm, invariant, detail } of found.slice(reportedViolations)) {
      recorder.fail(invariant, `${vm}: ${detail}`);
    }
    reportedViolations = found.length;
  };
  const step = async (ms: number): Promise<void> => {
    faultHistory.record();
    await clock.advance(ms);
    faultHistory.record();
    steps += 1;
    if (steps % STEPS_PER_HOLD_CHECK === 0) holdChecks.check();
    reportViolations();
  };

  return {
    random,
    recorder,
    table,
    faults,
    engines,
    upstreams,
    fleet,
    traffic,
    work,
    quotaLog,
    faultHistory,
    advance: async (ms) => {
      for (let remaining = ms; remaining > 0; remaining -= STEP_MS)
        await step(Math.min(remaining, STEP_MS));
    },
    stop: () => {
      for (const instance of fleet.running()) fleet.kill(instance);
      for (const { core } of engines.list()) core.stop();
      table.stop();
    },
  };
}
