/** One emulated site with its faults, traffic and checks. */
import { createRandom } from '@hibiscusbank/core';
import type { Random } from '@hibiscusbank/core';
import { createMemoryHub } from '@hibiscusbank/peers';
import type { MemoryHub } from '@hibiscusbank/peers';
import { createObjectTable } from '@hibiscusbank/standins';
import type { ObjectTable } from '@hibiscusbank/standins';
import type { SoakClock } from './clock.js';
import { createDisturbances } from './disturbances.js';
import type { Disturbances } from './disturbances.js';
import { createEnginePort } from './engine-port.js';
import { createFakeEngines } from './fake-engines.js';
import type { FakeEngines } from './fake-engines.js';
import { createPlatformClient, createVmListBoard, listVm } from './fake-platform.js';
import { createFakeUpstreams, createUpstreamPort } from './fake-upstreams.js';
import type { FakeUpstreams } from './fake-upstreams.js';
import { createFleet } from './fleet.js';
import type { CreatePorts, Fleet, Instance } from './fleet.js';
import { createHoldChecks } from './hold-checks.js';
import { createJournal } from './journal.js';
import type { Journal } from './journal.js';
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
const HOLD_CHECK_STEPS = 10;
const HISTORY_LENGTH = 10_000;
const LOCAL_DELAY_MS = 0.5;
const REMOTE_DELAY_MS = 1;
const VM_LIST = VMS.map(({ id, dataCentre }) => listVm(id, dataCentre));

export interface World {
  readonly random: Random;
  readonly journal: Journal;
  readonly table: ObjectTable;
  readonly faults: NetworkFaults;
  readonly engines: FakeEngines;
  readonly upstreams: FakeUpstreams;
  readonly fleet: Fleet;
  readonly traffic: Traffic;
  readonly work: WorkChecks;
  readonly quotaLog: QuotaLog;
  readonly disturbances: Disturbances;
  /** Lets time pass and checks what must always hold. */
  advance(ms: number): Promise<void>;
  stop(): void;
}

function connectHub(hub: MemoryHub, faults: NetworkFaults): void {
  hub.setDelay((from, to) =>
    from.dataCentre === to.dataCentre ? LOCAL_DELAY_MS : REMOTE_DELAY_MS,
  );
  hub.setBlocked((from, to) => faults.isCut(from.dataCentre, to.dataCentre));
}

/** Creates the site; no node runs yet. */
export function createWorld(clock: SoakClock, seed: number): World {
  const { nowMs } = clock;
  const random = createRandom(seed);
  const journal = createJournal(nowMs);
  const table = createObjectTable(HISTORY_LENGTH);
  writeConfiguration(table);
  const faults = createNetworkFaults();
  const hub = createMemoryHub(createRandom(seed));
  connectHub(hub, faults);
  const upstreamEntries = POOLS.flatMap((pool) => pool.upstreams);
  const engines = createFakeEngines(upstreamEntries.filter(({ role }) => role !== 'plain'));
  const upstreams = createFakeUpstreams(
    upstreamEntries.filter(({ role }) => role === 'plain'),
    seed,
  );
  const vms = createVmListBoard(VM_LIST);
  const parts: { traffic?: Traffic; fleet?: Fleet; disturbances?: Disturbances } = {};
  const work = createWorkChecks({
    nowMs,
    journal,
    traffic: () => parts.traffic as Traffic,
    disturbances: () => parts.disturbances as Disturbances,
  });
  const quotaLog = createQuotaLog(nowMs);

  const createPorts: CreatePorts = ({ dataCentre, owner }) => {
    const access = { faults, dataCentre, owner };
    const instance = (): Instance =>
      (parts.fleet as Fleet).all().find((found) => found.owner === owner) as Instance;
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
      const left = parts.traffic?.open().filter((call) => call.connection?.instance === instance);
      if (left !== undefined && left.length > 0) {
        journal.fail('drain_interrupts_none', `${instance.vm.id} left call ${left[0]?.id}`);
      }
      journal.count('drained');
      parts.traffic?.cut(instance);
    },
    onError: ({ vm }, thrown) => journal.fail('node_runs', `${vm.id}: ${String(thrown)}`),
  });
  const traffic = createTraffic({
    nowMs,
    journal,
    pickInstance: () => random.pick(fleet.ready()),
  });
  const disturbances = createDisturbances({ nowMs, faults, running: fleet.running });
  const holds = createHoldChecks({ nowMs, journal, engines, work, disturbances });
  Object.assign(parts, { traffic, fleet, disturbances });

  let steps = 0;
  let violations = 0;
  const reportViolations = (): void => {
    const found = fleet.violations();
    for (const { vm, invariant, detail } of found.slice(violations)) {
      journal.fail(invariant, `${vm}: ${detail}`);
    }
    violations = found.length;
  };
  const step = async (ms: number): Promise<void> => {
    disturbances.observe();
    await clock.advance(ms);
    disturbances.observe();
    steps += 1;
    if (steps % HOLD_CHECK_STEPS === 0) holds.check();
    reportViolations();
  };

  return {
    random,
    journal,
    table,
    faults,
    engines,
    upstreams,
    fleet,
    traffic,
    work,
    quotaLog,
    disturbances,
    advance: async (ms) => {
      for (let left = ms; left > 0; left -= STEP_MS) await step(Math.min(left, STEP_MS));
    },
    stop: () => {
      for (const instance of fleet.running()) fleet.kill(instance);
      for (const { core } of engines.list()) core.stop();
      table.stop();
    },
  };
}
