/**
 * Orders to engines: models, adapters, versions and roles. Orders are sent only under the cell's
 * lease, with its epoch as fencing token, one at a time per cell; so engines that ignore the token
 * are safe too, because a lease's holder stops before another VM may start.
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
/** An engine that has not obeyed an order after this time is ordered again. */
const ORDER_PATIENCE_MS = 120_000;
const IDLE_POLL_MS = 1_000;
/** Load reports lag; an engine counts as idle after this many idle reports in a row. */
const IDLE_REPORTS = 3;
/** An engine is ordered to change role anyway after this time: long streams end by their limit. */
const MAX_IDLE_WAIT_MS = 120_000;

export interface ModelOrdersOptions {
  readonly engines: EnginePort;
  readonly weightStore: WeightStore | undefined;
  readonly telemetry: Telemetry;
  readonly listCells: () => readonly OwnedCell[];
  /** Epoch of the cell's lease while this VM holds it; consulted right before each order. */
  readonly epochIfHeld: (cell: CellId) => number | undefined;
  readonly readBacklog: (cell: CellId) => CellBacklog;
  /** Changes an engine's role in the pools table; false when the table changed meanwhile. */
  readonly writeRole: (pool: PoolId, upstream: UpstreamId, role: ScarceRole) => Promise<boolean>;
}

export interface ModelOrders {
  /** Whether an engine gets no new work because its role is not yet the one in the table. */
  isHeldBack(upstream: UpstreamEntry): boolean;
  start(): void;
  stop(): void;
  /** Checks all owned cells once. */
  check(): Promise<void>;
}

interface WantedModel {
  readonly model: string;
  readonly version?: string;
  readonly adapter?: string;
}

/** Names a model the way engines list it: `model[@version][+adapter]`. */
export function formatModel({ model, version, adapter }: WantedModel): string {
  const versioned = version === undefined ? model : `${model}@${version}`;
  return adapter === undefined ? versioned : `${versioned}+${adapter}`;
}

function listWanted(pool: PoolEntry): readonly WantedModel[] {
  if (pool.model === undefined) return [];
  const base = {
    model: pool.model,
    ...(pool.version === undefined ? {} : { version: pool.version }),
  };
  return [base, ...pool.adapters.map((adapter) => ({ ...base, adapter }))];
}

interface MissingModel {
  readonly engine: UpstreamEntry;
  readonly wanted: WantedModel;
}

type Loads = ReadonlyMap<UpstreamId, EngineLoad>;

function findMissing({ pool, upstreams }: OwnedCell, loads: Loads): MissingModel | undefined {
  for (const engine of upstreams) {
    const load = loads.get(engine.id);
    if (load === undefined) continue;
    const wanted = listWanted(pool).find((item) => !load.models.includes(formatModel(item)));
    if (wanted !== undefined) return { engine, wanted };
  }
  return undefined;
}

/** Creates the orders of a node. */
export function createModelOrders(options: ModelOrdersOptions): ModelOrders {
  const { engines, telemetry } = options;
  const stopping = new AbortController();
  const roles = new Map<UpstreamId, EngineRole>();
  const balances = new Map<CellId, RoleBalance>();
  const orderedAt = new Map<string, number>();
  const busyCells = new Set<CellId>();

  const readLoads = async (cell: OwnedCell): Promise<Loads> => {
    const loads = new Map<UpstreamId, EngineLoad>();
    await Promise.all(
      cell.upstreams.map(async (engine) => {
        const load = await engines.readLoad(engine.address);
        if (load.isErr()) return;
        loads.set(engine.id, load.value);
        roles.set(engine.id, load.value.role);
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

  /** Whether an engine may still be obeying an order. */
  const isPending = (key: string): boolean => {
    const last = orderedAt.get(key);
    return last !== undefined && monotonicMs() - last < ORDER_PATIENCE_MS;
  };

  const loadModel = async (cell: CellId, { engine, wanted }: MissingModel): Promise<void> => {
    const key = `${engine.id} ${formatModel(wanted)}`;
    if (isPending(key)) return;
    const turn = await options.weightStore?.reserve(wanted.model, wanted.version ?? '');
    if (turn?.isErr()) return;
    if (turn?.isOk()) await sleep(turn.value, stopping.signal);
    if (await sendOrder(cell, engine, { kind: 'load', ...wanted })) {
      orderedAt.set(key, monotonicMs());
    }
  };

  const waitUntilIdle = async (engine: UpstreamEntry): Promise<void> => {
    const deadline = monotonicMs() + MAX_IDLE_WAIT_MS;
    let idleReports = 0;
    while (idleReports < IDLE_REPORTS && monotonicMs() < deadline && !stopping.signal.aborted) {
      const load = await engines.readLoad(engine.address);
      const isIdle = load.isOk() && load.value.slotsUsed === 0 && load.value.prefillQueueMs === 0;
      idleReports = isIdle ? idleReports + 1 : 0;
      await sleep(IDLE_POLL_MS, stopping.signal);
    }
  };

  const isMisplaced = ({ id, role }: UpstreamEntry): boolean => {
    const reported = roles.get(id);
    // An engine that serves both roles serves the one in the table too.
    if (reported === undefined || reported === 'both') return false;
    return role !== 'plain' && reported !== role;
  };

  /** Brings an engine to the role that the table states, after its running work has ended. */
  const orderRole = async (cell: CellId, engine: UpstreamEntry): Promise<void> => {
    const key = `${engine.id} role ${engine.role}`;
    if (engine.role === 'plain' || isPending(key)) return;
    await waitUntilIdle(engine);
    if (await sendOrder(cell, engine, { kind: 'role', role: engine.role })) {
      orderedAt.set(key, monotonicMs());
    }
  };

  /** Moves the least loaded engine in the table; the next check orders it. */
  const moveEngine = async (cell: OwnedCell, scarce: ScarceRole, loads: Loads): Promise<void> => {
    const other = scarce === 'prefill' ? 'decode' : 'prefill';
    const donors = cell.upstreams.filter(({ id, role }) => role === other && loads.has(id));
    // The last engine of a role stays, or the cell could place nothing.
    if (donors.length < 2) return;
    const usedSlots = ({ id }: UpstreamEntry): number => loads.get(id)?.slotsUsed ?? 0;
    const [engine] = donors.sort((a, b) => usedSlots(a) - usedSlots(b));
    if (engine === undefined) return;
    if (!(await options.writeRole(cell.pool.id, engine.id, scarce))) return;
    balances.get(cell.cell)?.recordChange();
    telemetry.log('engineRoleChanged', { upstream: engine.id, role: scarce });
  };

  const checkCell = async (cell: OwnedCell): Promise<void> => {
    if (cell.pool.kind !== 'model' || busyCells.has(cell.cell)) return;
    if (options.epochIfHeld(cell.cell) === undefined) return;
    busyCells.add(cell.cell);
    try {
      const loads = await readLoads(cell);
      const missing = findMissing(cell, loads);
      if (missing !== undefined) {
        await loadModel(cell.cell, missing);
        return;
      }
      const misplaced = cell.upstreams.find(isMisplaced);
      if (misplaced !== undefined) {
        await orderRole(cell.cell, misplaced);
        return;
      }
      if (!cell.pool.balanceRoles) return;
      const balance = balances.get(cell.cell) ?? createRoleBalance();
      balances.set(cell.cell, balance);
      const scarce = balance.observe(options.readBacklog(cell.cell));
      if (scarce !== undefined) await moveEngine(cell, scarce, loads);
    } finally {
      busyCells.delete(cell.cell);
    }
  };

  const check = async (): Promise<void> => {
    await Promise.all(options.listCells().map(checkCell));
  };

  return {
    isHeldBack: isMisplaced,
    start: () => {
      // A check that waits for an engine to become idle must not delay the other cells.
      void repeatUntilAborted(
        stopping.signal,
        () => CHECK_INTERVAL_MS,
        async () => {
          void check();
        },
      );
    },
    stop: () => stopping.abort(),
    check,
  };
}
