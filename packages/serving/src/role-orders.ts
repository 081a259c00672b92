/**
 * Orders engines to change role. Only the holder of a lease in the store sends orders, with the
 * epoch of the lease as fencing token. A node that wrongly ranks itself first among the live nodes
 * finds the lease taken.
 */
import { monotonicMs, pickByRendezvous, sleep } from '@hibiscusbank/core';
import type { PoolId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { Lease } from '@hibiscusbank/object-api';
import type { ChangingRoles } from './changing-roles.js';
import type { Directory, KnownUpstream } from './directory.js';
import type { UpstreamTransport } from './ports.js';
import type { PrefillWork } from './prefill-work.js';
import { hasPrefillShortage, planRoles } from './role-plan.js';
import type { RoleEngine, RolePlanInput } from './role-plan.js';
import type { EngineSettings } from './types.js';
import type { UpstreamLoads } from './upstream-loads.js';

const OBSERVE_INTERVAL_MS = 500;
/**
 * Time constant of the means on which the plan is based. It is about the length of a run, so that
 * single runs do not change the plan.
 */
const MEAN_TIME_CONSTANT_MS = 4_000;
/** Time after the start of the process in which the first reports of peers arrive. */
const STARTUP_MS = 3_000;
/** Pause between the orders of two lease holders, and before the first orders for a new pool. */
const FIRST_ORDER_DELAY_MS = 4_000;
/** Pause between two rounds of orders to a pool; an engine needs about this long to change role. */
const ORDER_ROUND_MS = 6_000;
const ORDER_TIMEOUT_MS = 1_000;
/** Key of the lease, and of the ranking that decides which node tries to acquire it. */
const LEASE_KEY = 'engine-roles';

export interface RoleOrdersOptions {
  readonly self: string;
  /** Returns the names of the live peers. */
  readonly peers: () => readonly string[];
  /**
   * Whether this node has live contact with a majority of the registered nodes. A node without a
   * majority sends no orders.
   */
  readonly reachesMajority: () => boolean;
  readonly changing: ChangingRoles;
  readonly lease: (key: string) => Lease;
  readonly directory: Directory;
  readonly loads: UpstreamLoads;
  readonly prefillLoads: UpstreamLoads;
  readonly prefillWork: Pick<PrefillWork, 'takeMean'>;
  readonly transport: UpstreamTransport;
  /** Whether the traffic of a pool is being moved to another software version. */
  readonly isRollingOut: (pool: PoolId) => boolean;
  /** Called after orders, so that peers learn immediately which engines are changing role. */
  readonly onOrdered: () => void;
  readonly telemetry: Telemetry;
}

export interface RoleOrders {
  run(signal: AbortSignal): Promise<void>;
  release(): Promise<void>;
}

interface PoolMeans {
  prompts: number;
  tokens: number;
  since: number;
  /** Start of the current prefill shortage; `undefined` while there is none. */
  shortageSince: number | undefined;
  orderedAt: number;
}

/** Creates the role orders of one node. No calls are made before `run`. */
export function createRoleOrders(options: RoleOrdersOptions): RoleOrders {
  const { self, directory, changing, loads, prefillLoads, transport, telemetry } = options;
  const lease = options.lease(LEASE_KEY);
  const means = new Map<PoolId, PoolMeans>();
  let startedAt = Infinity;
  let isContending = false;
  // A stopping node must not acquire the lease again, so that another node can take it at once.
  let isReleased = false;
  let heldSince: number | undefined;

  const updateMeans = (pool: PoolId, engines: readonly KnownUpstream[]): PoolMeans => {
    const now = monotonicMs();
    const sum = (role: string, read: (id: UpstreamId) => number): number =>
      engines.reduce((total, engine) => total + (engine.role === role ? read(engine.id) : 0), 0);
    const prompts = options.prefillWork.takeMean(pool);
    const tokens = sum('decode', loads.tokens);
    const poolMeans = means.get(pool) ?? {
      prompts,
      tokens,
      since: now,
      shortageSince: undefined,
      orderedAt: -Infinity,
    };
    const weight = OBSERVE_INTERVAL_MS / MEAN_TIME_CONSTANT_MS;
    poolMeans.prompts += (prompts - poolMeans.prompts) * weight;
    poolMeans.tokens += (tokens - poolMeans.tokens) * weight;
    const prefill = engines.filter(({ role }) => role === 'prefill').length;
    poolMeans.shortageSince = hasPrefillShortage(poolMeans.prompts, prefill)
      ? (poolMeans.shortageSince ?? now)
      : undefined;
    means.set(pool, poolMeans);
    return poolMeans;
  };

  const toPlanInput = (
    engines: readonly KnownUpstream[],
    poolMeans: PoolMeans,
    { memoryTokens }: EngineSettings,
  ): RolePlanInput => ({
    prompts: poolMeans.prompts,
    tokens: poolMeans.tokens,
    memoryTokens,
    totalEngines: engines.length,
    shortageMs: poolMeans.shortageSince === undefined ? 0 : monotonicMs() - poolMeans.shortageSince,
    engines: engines.flatMap((engine): RoleEngine[] => {
      const { id, dataCentre, role } = engine;
      if (role === undefined || changing.isInCooldown(id) || changing.isChanging(engine)) return [];
      return [{ id, dataCentre, role, tokens: loads.tokens(id) + prefillLoads.tokens(id) }];
    }),
  });

  const sendOrders = async (
    engines: readonly KnownUpstream[],
    input: RolePlanInput,
  ): Promise<boolean> => {
    const changes = planRoles(input);
    for (const { engine, role } of changes) {
      const upstream = engines.find(({ id }) => id === engine.id);
      const epoch = lease.epochIfHeld();
      if (upstream === undefined || epoch === undefined) return false;
      changing.recordOrder(upstream.id, engine.role);
      const signal = AbortSignal.timeout(ORDER_TIMEOUT_MS);
      const sent = await transport.orderRole({ upstream, role, holder: self, epoch, signal });
      telemetry.log(sent.isOk() ? 'engineOrdered' : 'engineOrderFailed', {
        upstream: upstream.id,
        order: 'role',
        detail: role,
        epoch,
        prompts: Number(input.prompts.toFixed(2)),
        tokens: Math.round(input.tokens),
        error: sent.isErr() ? sent.error.reason : undefined,
      });
    }
    if (changes.length > 0) options.onOrdered();
    return changes.length > 0;
  };

  /**
   * Acquires the lease while this node ranks first among the live nodes, and releases it otherwise.
   * Returns whether this node may send orders.
   */
  const updateLease = (): boolean => {
    const isFirst =
      !isReleased &&
      monotonicMs() - startedAt >= STARTUP_MS &&
      options.reachesMajority() &&
      pickByRendezvous(LEASE_KEY, [self, ...options.peers()]) === self;
    if (isFirst && !isContending) lease.acquire();
    if (!isFirst && isContending) void lease.release();
    isContending = isFirst;
    if (lease.epochIfHeld() === undefined) heldSince = undefined;
    else heldSince ??= monotonicMs();
    return heldSince !== undefined && monotonicMs() - heldSince >= FIRST_ORDER_DELAY_MS;
  };

  const step = async (): Promise<void> => {
    const mayOrder = updateLease();
    for (const { id, engine: settings } of directory.tables()?.pools ?? []) {
      if (settings === undefined) continue;
      const engines = directory.usable(id);
      const poolMeans = updateMeans(id, engines);
      const now = monotonicMs();
      // A plan over both versions would take the prefill engines of one away.
      const isDue =
        !options.isRollingOut(id) &&
        now - poolMeans.since >= FIRST_ORDER_DELAY_MS &&
        now - poolMeans.orderedAt >= ORDER_ROUND_MS;
      if (!mayOrder || !isDue) continue;
      if (await sendOrders(engines, toPlanInput(engines, poolMeans, settings)))
        poolMeans.orderedAt = monotonicMs();
    }
  };

  return {
    release: () => {
      isReleased = true;
      return lease.release();
    },
    run: async (signal) => {
      startedAt = monotonicMs();
      while (!signal.aborted) {
        await step();
        await sleep(OBSERVE_INTERVAL_MS, signal);
      }
    },
  };
}
