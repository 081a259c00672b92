/**
 * Orders engines to load models, adapters and versions and to change role. Orders are sent one at a
 * time per cell and only while this VM holds the cell's lease. Each carries the lease's epoch as
 * fencing token. Engines that ignore the token are also safe from orders of two VMs at once, because
 * a holder stops before another VM may acquire the lease.
 */
import { monotonicMs, repeatUntilAborted, sleep } from '@hibiscusbank/core';
import type { CellId, PoolId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { EngineLoad, EngineOrder, EnginePort } from '@hibiscusbank/engines';
import type { WeightStore } from '@hibiscusbank/object-api';
import type { PoolEntry, UpstreamEntry } from '@hibiscusbank/settings';
import { createRoleBalance } from './role-balance.js';
import type { RoleBalance, ScarceRole } from './role-balance.js';
import type { CellBacklog, EngineRole, OwnedCell } from './types.js';

const CHECK_INTERVAL_MS = 10_000;
/** An order that has not taken effect after this time is sent again. */
const ORDER_TIMEOUT_MS = 120_000;
const IDLE_POLL_INTERVAL_MS = 1_000;
/** An engine counts as idle after this many consecutive idle reports, because load reports lag. */
const REQUIRED_IDLE_REPORTS = 3;
/**
 * An engine that is still busy after this time gets its role order anyway, because the time limits of
 * requests end its long streams.
 */
const MAX_IDLE_WAIT_MS = 120_000;

export interface ModelOrdersOptions {
  readonly engines: EnginePort;
  readonly weightStore: WeightStore | undefined;
  readonly telemetry: Telemetry;
  readonly listCells: () => readonly OwnedCell[];
  /** Returns the epoch of the cell's lease while this VM holds it. Called right before each order. */
  readonly epochIfHeld: (cell: CellId) => number | undefined;
  readonly readBacklog: (cell: CellId) => CellBacklog;
  /** Writes an engine's role to the pools table. Resolves to false on a concurrent edit or failure. */
  readonly writeRole: (pool: PoolId, upstream: UpstreamId, role: ScarceRole) => Promise<boolean>;
}

export interface ModelOrders {
  /** Whether an engine gets no new work because it does not yet have the role stated in the table. */
  isAwaitingRoleChange(upstream: UpstreamEntry): boolean;
  start(): void;
  stop(): void;
  /** Checks all owned cells once. */
  check(): Promise<void>;
}

interface DesiredModel {
  readonly model: string;
  readonly version?: string;
  readonly adapter?: string;
}

/** Returns the name under which engines list a model: `model[@version][+adapter]`. */
export function formatModel({ model, version, adapter }: DesiredModel): string {
  const versioned = version === undefined ? model : `${model}@${version}`;
  return adapter === undefined ? versioned : `${versioned}+${adapter}`;
}

function listDesiredModels(pool: PoolEntry): readonly DesiredModel[] {
  if (pool.model === undefined) return [];
  const base = {
    model: pool.model,
    ...(pool.version === undefined ? {} : { version: pool.version }),
  };
  return [base, ...pool.adapters.map((adapter) => ({ ...base, adapter }))];
}

interface MissingModel {
  readonly engine: UpstreamEntry;
  readonly desired: DesiredModel;
}

type LoadsByEngine = ReadonlyMap<UpstreamId, EngineLoad>;

function findMissingModel(
  { pool, upstreams }: OwnedCell,
  loads: LoadsByEngine,
): MissingModel | undefined {
  for (const engine of upstreams) {
    const load = loads.get(engine.id);
    if (load === undefined) continue;
    const desired = listDesiredModels(pool).find(
      (item) => !load.models.includes(formatModel(item)),
    );
    if (desired !== undefined) return { engine, desired };
  }
  return undefined;
}

/** Creates the controller that sends a node's orders. */
export function createModelOrders(options: ModelOrdersOptions): ModelOrders {
  const { engines, telemetry } = options;
  const stopController = new AbortController();
  const reportedRoles = new Map<UpstreamId, EngineRole>();
  const balances = new Map<CellId, RoleBalance>();
  /** Time of the last order that an engine accepted, by engine and content of the order. */
  const lastOrderedAt = new Map<string, number>();
  const cellsInCheck = new Set<CellId>();

  const readLoads = async (cell: OwnedCell): Promise<LoadsByEngine> => {
    const loads = new Map<UpstreamId, EngineLoad>();
    await Promise.all(
      cell.upstreams.map(async (engine) => {
        const load = await engines.readLoad(engine.address);
        if (load.isErr()) return;
        loads.set(engine.id, load.value);
        reportedRoles.set(engine.id, load.value.role);
      }),
    );
    return loads;
  };

  const sendOrder = async (
    cell: CellId,
    engine: UpstreamEntry,
    order: Omit<EngineOrder, 'epoch'>,
  ): Promise<boolean> => {
    const epoch = options.epochIfHeld(cell);
    if (epoch === undefined) return false;
    const sent = await engines.order(engine.address, { ...order, epoch });
    telemetry.log(sent.isOk() ? 'engineOrdered' : 'engineOrderFailed', {
      upstream: engine.id,
      order: order.kind,
      epoch,
      detail: order.role ?? order.model,
      error: sent.isErr() ? sent.error.message : undefined,
    });
    return sent.isOk();
  };

  /** Whether an engine may still be carrying out an order. */
  const isOrderPending = (key: string): boolean => {
    const last = lastOrderedAt.get(key);
    return last !== undefined && monotonicMs() - last < ORDER_TIMEOUT_MS;
  };

  const loadModel = async (cell: CellId, { engine, desired }: MissingModel): Promise<void> => {
    const key = `${engine.id} ${formatModel(desired)}`;
    if (isOrderPending(key)) return;
    const reservation = await options.weightStore?.reserve(desired.model, desired.version ?? '');
    if (reservation?.isErr()) return;
    if (reservation?.isOk()) await sleep(reservation.value, stopController.signal);
    if (await sendOrder(cell, engine, { kind: 'load', ...desired })) {
      lastOrderedAt.set(key, monotonicMs());
    }
  };

  const waitUntilIdle = async (engine: UpstreamEntry): Promise<void> => {
    const deadline = monotonicMs() + MAX_IDLE_WAIT_MS;
    let idleReports = 0;
    while (
      idleReports < REQUIRED_IDLE_REPORTS &&
      monotonicMs() < deadline &&
      !stopController.signal.aborted
    ) {
      const load = await engines.readLoad(engine.address);
      const isIdle = load.isOk() && load.value.slotsUsed === 0 && load.value.prefillQueueMs === 0;
      idleReports = isIdle ? idleReports + 1 : 0;
      await sleep(IDLE_POLL_INTERVAL_MS, stopController.signal);
    }
  };

  const hasRoleMismatch = ({ id, role }: UpstreamEntry): boolean => {
    const reported = reportedRoles.get(id);
    // An engine with role `both` also serves the role in the table.
    if (reported === undefined || reported === 'both') return false;
    return role !== 'plain' && reported !== role;
  };

  /** Orders an engine to take the role stated in the table, after its running work has ended. */
  const orderRole = async (cell: CellId, engine: UpstreamEntry): Promise<void> => {
    const key = `${engine.id} role ${engine.role}`;
    if (engine.role === 'plain' || isOrderPending(key)) return;
    await waitUntilIdle(engine);
    if (await sendOrder(cell, engine, { kind: 'role', role: engine.role })) {
      lastOrderedAt.set(key, monotonicMs());
    }
  };

  /** Writes a new role for the least loaded engine to the table; a later check sends the order. */
  const reassignEngine = async (
    cell: OwnedCell,
    scarce: ScarceRole,
    loads: LoadsByEngine,
  ): Promise<void> => {
    const other = scarce === 'prefill' ? 'decode' : 'prefill';
    const candidates = cell.upstreams.filter(({ id, role }) => role === other && loads.has(id));
    // The last engine of a role keeps it: a cell that lacks a role could place no requests.
    if (candidates.length < 2) return;
    const usedSlots = ({ id }: UpstreamEntry): number => loads.get(id)?.slotsUsed ?? 0;
    const [engine] = candidates.sort((a, b) => usedSlots(a) - usedSlots(b));
    if (engine === undefined) return;
    if (!(await options.writeRole(cell.pool.id, engine.id, scarce))) return;
    balances.get(cell.cell)?.recordChange();
    telemetry.log('engineRoleChanged', { upstream: engine.id, role: scarce });
  };

  const checkCell = async (cell: OwnedCell): Promise<void> => {
    if (cell.pool.kind !== 'model' || cellsInCheck.has(cell.cell)) return;
    if (options.epochIfHeld(cell.cell) === undefined) return;
    cellsInCheck.add(cell.cell);
    try {
      const loads = await readLoads(cell);
      const missing = findMissingModel(cell, loads);
      if (missing !== undefined) {
        await loadModel(cell.cell, missing);
        return;
      }
      const mismatched = cell.upstreams.find(hasRoleMismatch);
      if (mismatched !== undefined) {
        await orderRole(cell.cell, mismatched);
        return;
      }
      if (!cell.pool.balanceRoles) return;
      const balance = balances.get(cell.cell) ?? createRoleBalance();
      balances.set(cell.cell, balance);
      const scarce = balance.observe(options.readBacklog(cell.cell));
      if (scarce !== undefined) await reassignEngine(cell, scarce, loads);
    } finally {
      cellsInCheck.delete(cell.cell);
    }
  };

  const check = async (): Promise<void> => {
    await Promise.all(options.listCells().map(checkCell));
  };

  return {
    isAwaitingRoleChange: hasRoleMismatch,
    start: () => {
      // A check that waits for an engine to become idle must not delay the other cells.
      void repeatUntilAborted(
        stopController.signal,
        () => CHECK_INTERVAL_MS,
        async () => {
          void check();
        },
      );
    },
    stop: () => stopController.abort(),
    check,
  };
}
