/**
 * Orders to engines: models, adapters, versions and roles. Orders are sent only under the cell's
 * lease, with its epoch as fencing token, one at a time per cell; so engines that ignore the token
 * are safe too, because a lease's holder stops before another VM may start.
 */
import { monotonicMs, repeatUntilAborted, sleep } from '@hibiscusbank/core';
import type { CellId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { EngineLoad, EngineOrder, EnginePort } from '@hibiscusbank/engines';
import type { WeightStore } from '@hibiscusbank/platform';
import type { PoolEntry, UpstreamEntry } from '@hibiscusbank/settings';
import { createRoleBalance } from './role-balance.js';
import type { RoleBalance, ScarceRole } from './role-balance.js';
import type { CellBacklog, EngineRole, OwnedCell } from './types.js';

const CHECK_INTERVAL_MS = 10_000;
/** An engine that has not obeyed an order after this time is ordered again. */
const ORDER_PATIENCE_MS = 120_000;
const IDLE_POLL_MS = 500;
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
  /** Whether the cell's owner has no grant on the engine. */
  readonly isIdle: (upstream: UpstreamId) => boolean;
}

export interface ModelOrders {
  /** Role that an engine reported last, where it differs from the pools table. */
  findRole(upstream: UpstreamId): EngineRole | undefined;
  /** Whether an engine gets no new work because it changes role or loads a model. */
  isHeldBack(upstream: UpstreamId): boolean;
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
  const heldBack = new Set<UpstreamId>();
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

  const loadModel = async (cell: CellId, { engine, wanted }: MissingModel): Promise<void> => {
    const key = `${engine.id} ${formatModel(wanted)}`;
    const last = orderedAt.get(key);
    if (last !== undefined && monotonicMs() - last < ORDER_PATIENCE_MS) return;
    const turn = await options.weightStore?.reserve(wanted.model, wanted.version ?? '');
    if (turn?.isErr()) return;
    if (turn?.isOk()) await sleep(turn.value, stopping.signal);
    if (await sendOrder(cell, engine, { kind: 'load', ...wanted })) {
      orderedAt.set(key, monotonicMs());
    }
  };

  const waitUntilIdle = async (engine: UpstreamEntry): Promise<void> => {
    const deadline = monotonicMs() + MAX_IDLE_WAIT_MS;
    while (!options.isIdle(engine.id) && monotonicMs() < deadline && !stopping.signal.aborted) {
      await sleep(IDLE_POLL_MS, stopping.signal);
    }
  };

  const changeRole = async (cell: OwnedCell, scarce: ScarceRole, loads: Loads): Promise<void> => {
    const other = scarce === 'prefill' ? 'decode' : 'prefill';
    const donors = cell.upstreams.filter(({ id }) => loads.get(id)?.role === other);
    // The last engine of a role stays, or the cell could place nothing.
    if (donors.length < 2) return;
    const [engine] = donors.sort(
      (a, b) => (loads.get(a.id)?.slotsUsed ?? 0) - (loads.get(b.id)?.slotsUsed ?? 0),
    );
    if (engine === undefined) return;
    balances.get(cell.cell)?.recordChange();
    heldBack.add(engine.id);
    try {
      await waitUntilIdle(engine);
      if (await sendOrder(cell.cell, engine, { kind: 'role', role: scarce })) {
        roles.set(engine.id, scarce);
      }
    } finally {
      heldBack.delete(engine.id);
    }
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
      if (!cell.pool.balanceRoles) return;
      const balance = balances.get(cell.cell) ?? createRoleBalance();
      balances.set(cell.cell, balance);
      const scarce = balance.observe(options.readBacklog(cell.cell));
      if (scarce !== undefined) await changeRole(cell, scarce, loads);
    } finally {
      busyCells.delete(cell.cell);
    }
  };

  const check = async (): Promise<void> => {
    await Promise.all(options.listCells().map(checkCell));
  };

  return {
    findRole: (upstream) => roles.get(upstream),
    isHeldBack: (upstream) => heldBack.has(upstream),
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
