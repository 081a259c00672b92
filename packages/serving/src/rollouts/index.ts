/** Moves a pool's traffic to another software version on an operator's order. */
import type { PoolId, RouteId } from '@hibiscusbank/core';
import { Hono } from 'hono';
import type { StoredEntry } from '../ports.js';
import { createRolloutController } from './controller.js';
import type { ControlView, RolloutControllerOptions } from './controller.js';
import { compactEvidence } from './evidence.js';
import { isEvidenceMessage, isStepMessage } from './messages.js';
import type { EvidenceMessage } from './messages.js';
import type { RolloutOrder, VersionedUpstream } from './types.js';
import { createVersionGate } from './version-gate.js';
import type { RolloutView, VersionRequest } from './version-gate.js';
import { createVersionRuns } from './version-runs.js';
import type { RunKind, RunningUpstream, VersionRun } from './version-runs.js';

export * from './types.js';
export type { VersionRun } from './version-runs.js';

const ROLLOUTS_PATH = '/rollouts';

/** A roll-out of a pool as one node sees it. */
export interface PoolRollout extends RolloutView {
  /** Set on the node that controls it. */
  readonly control: ControlView | undefined;
}

export interface Rollouts {
  /** Returns the roll-out of a pool, the last one if it has ended. */
  view(pool: PoolId): PoolRollout | undefined;
  /** Returns the usable upstreams of one pool that a request may be sent to now. */
  select<T extends VersionedUpstream>(usable: readonly T[], req?: VersionRequest): readonly T[];
  /** Whether an upstream may get a request at all. Checked immediately before a run is sent. */
  mayServe(upstream: VersionedUpstream): boolean;
  /** Whether a pool's traffic is being moved. */
  isRunning(pool: PoolId): boolean;
  countRequest(pool: PoolId, route: RouteId): void;
  beginRun(upstream: RunningUpstream, route: RouteId, kind: RunKind): VersionRun;
}

export interface RolloutService extends Rollouts {
  /** Applies the entries that hold the operators' orders. */
  setOrders(entries: ReadonlyMap<string, StoredEntry>): void;
  setUpstreams(upstreams: readonly RunningUpstream[]): void;
  /** Handles a message from a peer. Returns false when it is not about roll-outs. */
  receive(message: unknown): boolean;
  run(signal: AbortSignal): Promise<void>;
  /** Returns the roll-outs that this node controls. */
  listControls(): readonly ControlView[];
  /** HTTP handler for operators: the orders, and on the controller what it knows of them. */
  readonly app: Hono;
}

export interface RolloutServiceOptions extends Omit<
  RolloutControllerOptions,
  'gate' | 'report' | 'bounds' | 'decode' | 'store'
> {
  readonly store: RolloutControllerOptions['store'] | undefined;
  /** Without it versions decide nothing. */
  readonly bounds: RolloutControllerOptions['bounds'] | undefined;
  readonly decode: (name: string, value: unknown) => RolloutOrder | undefined;
}

/** Creates the roll-outs of one node. */
export function createRollouts(options: RolloutServiceOptions): RolloutService {
  const { self, startedAt, bounds, datagrams, telemetry } = options;
  const { store } = options;
  const isEnabled = bounds !== undefined && store !== undefined;
  const gate = createVersionGate({ isEnabled, telemetry });
  const runs = createVersionRuns(gate.findRunning, telemetry);
  const decode = ({ name, value }: StoredEntry): RolloutOrder | undefined =>
    options.decode(name, value);
  const controller = isEnabled
    ? createRolloutController({ ...options, store, bounds, gate, report: runs.report, decode })
    : undefined;

  const listControls = (): readonly ControlView[] => controller?.list() ?? [];
  const app = new Hono();
  app.get(ROLLOUTS_PATH, (c) => c.json({ orders: gate.list(), controls: listControls() }));

  return {
    app,
    listControls,
    view: (pool) => {
      const order = gate.list().find((each) => each.pool === pool);
      if (order === undefined) return undefined;
      return { ...order, control: listControls().find(({ key }) => key === order.key) };
    },
    select: gate.select,
    mayServe: gate.mayServe,
    isRunning: (pool) => gate.findRunning(pool) !== undefined,
    countRequest: runs.countRequest,
    beginRun: runs.begin,
    setOrders: (entries) => {
      const orders = [...entries.values()].map(decode).filter((order) => order !== undefined);
      gate.setOrders(orders);
      runs.retain(orders);
    },
    setUpstreams: (upstreams) => {
      if (!isEnabled) return;
      gate.setUpstreams(upstreams);
      runs.setUpstreams(upstreams);
    },
    receive: (message) => {
      if (isEvidenceMessage(message)) {
        controller?.receive(message.rolloutEvidence);
        return true;
      }
      if (!isStepMessage(message)) return false;
      const { rolloutStep: step } = message;
      if (!gate.applyStep(step)) return true;
      const order = gate.orders().find(({ key }) => key === step.key);
      if (order === undefined) return true;
      const answer: EvidenceMessage = {
        rolloutEvidence: {
          key: order.key,
          node: self.node,
          startedAt,
          evidence: compactEvidence(runs.report(order)),
        },
      };
      datagrams.send(answer, [step.from]);
      return true;
    },
    run: async (signal) => {
      await controller?.run(signal);
    },
  };
}
