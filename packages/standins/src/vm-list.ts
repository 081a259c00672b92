/** Stand-in for the platform's VM list, whose changes become visible after a lag. */
import { Hono } from 'hono';
import { addControlRoutes, createFaultController, createGate } from './control.js';
import { createLaggedValue } from './lagged-value.js';
import { addOutageMiddleware, updateGate } from './outage.js';
import type { Outage } from './outage.js';
import { startServer } from './server.js';
import type { StandinApp, StandinServer } from './server.js';

export interface StandinVm {
  readonly id: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

export interface VmListOptions {
  /** Time until a change is visible to readers. */
  readonly lagMs: number;
}

export const VM_LIST_DEFAULTS: VmListOptions = { lagMs: 0 };

export interface VmListFaults {
  readonly outage: Outage;
  /** Overrides the `lagMs` option for later changes; -1 keeps the option. */
  readonly lagMs: number;
}

const NO_FAULTS: VmListFaults = { outage: 'none', lagMs: -1 };

export interface VmListState {
  readonly reads: number;
  /** Number of VMs that readers see. */
  readonly visible: number;
  /** Number of VMs in the newest list, which readers may not see yet. */
  readonly latest: number;
}

export interface VmListStandin extends StandinServer {
  /** Replaces the list, which readers see after the lag. */
  setVms(vms: readonly StandinVm[]): void;
  /** Adds a VM, or replaces the VM with the same id. */
  putVm(vm: StandinVm): void;
  removeVm(id: string): void;
  setState(id: string, state: StandinVm['state']): void;
  setFaults(faults: Partial<VmListFaults>, forMs?: number): void;
  clearFaults(): void;
  readState(): VmListState;
}

/** Starts the stand-in. The initial VMs are visible at once. */
export async function startVmList(
  port: number,
  initial: readonly StandinVm[] = [],
  { lagMs: configuredLagMs = VM_LIST_DEFAULTS.lagMs }: Partial<VmListOptions> = {},
): Promise<VmListStandin> {
  const gate = createGate();
  const faults = createFaultController(NO_FAULTS, (next) => updateGate(gate, next.outage));
  const lagMs = (): number => {
    const override = faults.read().lagMs;
    return override >= 0 ? override : configuredLagMs;
  };
  const list = createLaggedValue<readonly StandinVm[]>(initial, lagMs);
  let reads = 0;

  const listVmsExcept = (id: string): StandinVm[] => list.latest().filter((vm) => vm.id !== id);
  const putVm = (vm: StandinVm): void => list.set([...listVmsExcept(vm.id), vm]);
  const setState = (id: string, state: StandinVm['state']): void => {
    list.set(list.latest().map((vm) => (vm.id === id ? { ...vm, state } : vm)));
  };
  const removeVm = (id: string): void => list.set(listVmsExcept(id));
  const readState = (): VmListState => ({
    reads,
    visible: list.read().length,
    latest: list.latest().length,
  });

  const app: StandinApp = new Hono();
  addControlRoutes(app, { faults, faultNames: Object.keys(NO_FAULTS), gate, readState });
  addOutageMiddleware(app, () => faults.read().outage);
  app.get('/vms', (c) => {
    reads += 1;
    return c.json({ vms: list.read() });
  });
  app.put('/control/vms', async (c) => {
    const { vms } = await c.req.json<{ vms: StandinVm[] }>();
    list.set(vms);
    return c.json({});
  });
  app.put('/control/vms/:id', async (c) => {
    putVm({ ...(await c.req.json<StandinVm>()), id: c.req.param('id') });
    return c.json({});
  });
  app.delete('/control/vms/:id', (c) => {
    removeVm(c.req.param('id'));
    return c.json({});
  });
  const server = await startServer(app, port);
  return {
    url: server.url,
    stop: async () => {
      faults.stop();
      await server.stop();
    },
    setVms: list.set,
    putVm,
    removeVm,
    setState,
    setFaults: faults.set,
    clearFaults: faults.clear,
    readState,
  };
}
