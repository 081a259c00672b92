/** Applies the commands of a run to the simulation. */
import type { Command, CommandKind } from './commands.js';
import type { NodeInstance } from './fleet.js';
import type { Operator } from './operator.js';
import { runOutsideProcesses } from './process.js';
import { DATA_CENTRES, KEYS, VMS } from './site.js';
import type { SoakKey } from './site.js';
import type { CallKind } from './traffic.js';
import type { Simulation } from './simulation.js';

const CHAT_BURST_SIZE = 6;
const PLAN_BURST_SIZE = 25;
const MAX_PAUSE_MS = 20_000;
const MIN_PAUSE_MS = 200;
const FAULT_DURATION_MS = 4_000;
/** Long enough that some responses outlast the time after which the holds of orphaned requests are cancelled. */
const LONG_RESPONSE_TOKENS = 800;
const SHORT_RESPONSE_TOKENS = 60;
const CALLS_PER_LONG_RESPONSE = 3;
const IDEMPOTENCY_KEY_COUNT = 6;
const LARGE_KEYS = KEYS.filter(({ entry }) => entry.organisation === 'large');
const HEAVY_KEYS = KEYS.filter(({ entry }) => entry.organisation === 'heavy');

export function pickFrom<T>(items: readonly T[], choice: number): T | undefined {
  return items.length === 0 ? undefined : items[choice % items.length];
}

function runAfter(ms: number, fn: () => void): void {
  runOutsideProcesses(() => setTimeout(fn, ms));
}

interface Context {
  readonly simulation: Simulation;
  readonly operator: Operator;
  readonly choiceA: number;
  readonly choiceB: number;
}

type Action = (context: Context) => void;

function sendCall(
  { simulation, choiceA, choiceB }: Context,
  kind: CallKind,
  key: SoakKey | undefined,
): void {
  const instance = pickFrom(simulation.fleet.ready(), choiceA);
  if (instance === undefined || key === undefined) {
    simulation.recorder.count('no_ready_node');
    return;
  }
  simulation.traffic.send(instance, {
    kind,
    key,
    promptTokens: 8 + ((choiceA * 7) % 900),
    maxTokens:
      1 +
      (choiceB %
        (choiceA % CALLS_PER_LONG_RESPONSE === 0 ? LONG_RESPONSE_TOKENS : SHORT_RESPONSE_TOKENS)),
    idempotencyKeyIndex: choiceB % IDEMPOTENCY_KEY_COUNT,
  });
}

const send =
  (kind: CallKind): Action =>
  (context) =>
    sendCall(context, kind, pickFrom(KEYS, context.choiceB));

/** Kills a process and closes the connections of its callers, as a crash does. */
export function crash(simulation: Simulation, instance: NodeInstance): void {
  simulation.fleet.kill(instance);
  simulation.traffic.closeConnections(instance);
}

const withRunning =
  (fn: (context: Context, instance: NodeInstance) => void): Action =>
  (context) => {
    const instance = pickFrom(context.simulation.fleet.running(), context.choiceA);
    if (instance !== undefined) fn(context, instance);
  };

/** Withdraws a key through a node; the time limit of the withdrawal starts when the node accepts it. */
const withdrawAtNode = withRunning(({ simulation, choiceB }, { node, nodeProcess }) => {
  const key = pickFrom(KEYS, choiceB);
  if (key === undefined || nodeProcess.isPaused()) return;
  simulation.work.recordWithdrawal(key.text);
  nodeProcess.run(() => {
    void node.configuration.withdrawKey(key.entry.digest);
  });
});

const pickEngine = ({ simulation, choiceA }: Context) =>
  pickFrom(simulation.engines.list(), choiceA);
const pickUpstream = ({ simulation, choiceA }: Context) =>
  pickFrom(simulation.upstreams.list(), choiceA);

const ACTIONS: Record<CommandKind, Action> = {
  chat: send('chat'),
  plan: send('plan'),
  booking: send('booking'),
  keyed_booking: send('keyed_booking'),
  burst: (context) => {
    const isChat = context.choiceB % 2 === 0;
    const keys = isChat ? HEAVY_KEYS : LARGE_KEYS;
    const size = isChat ? CHAT_BURST_SIZE : PLAN_BURST_SIZE;
    for (let n = 0; n < size; n += 1) {
      // All requests go to one node, so that the upstreams of its data centre reach their capacity.
      sendCall(context, isChat ? 'chat' : 'plan', pickFrom(keys, n));
    }
  },
  cancel: ({ simulation, choiceA }) => {
    const call = pickFrom(simulation.traffic.open(), choiceA);
    if (call !== undefined) simulation.traffic.cancel(call);
  },
  crash: withRunning(({ simulation }, instance) => crash(simulation, instance)),
  restart: ({ simulation, choiceA }) => {
    const stoppedVms = VMS.filter((vm) => simulation.fleet.find(vm) === undefined);
    const vm = pickFrom(stoppedVms, choiceA);
    if (vm !== undefined) simulation.fleet.start(vm);
  },
  pause: withRunning(({ simulation, choiceB }, instance) => {
    if (instance.nodeProcess.isPaused()) return;
    simulation.fleet.pause(instance);
    runAfter(MIN_PAUSE_MS + ((choiceB * 37) % MAX_PAUSE_MS), () => {
      if (instance.nodeProcess.isAlive()) simulation.fleet.resume(instance);
    });
  }),
  drain_node: withRunning(({ simulation }, instance) => {
    if (!instance.draining) simulation.fleet.drain(instance);
  }),
  partition: ({ simulation, choiceA, choiceB }) => {
    const firstDataCentre = pickFrom(DATA_CENTRES, choiceA);
    const secondDataCentre = pickFrom(DATA_CENTRES, choiceA + 1 + (choiceB % 2));
    if (firstDataCentre !== undefined && secondDataCentre !== undefined)
      simulation.faults.partition(firstDataCentre, secondDataCentre);
  },
  cut_from_platform: ({ simulation, choiceA }) => {
    const dataCentre = pickFrom(DATA_CENTRES, choiceA);
    if (dataCentre !== undefined) simulation.faults.disconnectFromPlatform(dataCentre);
  },
  outage: ({ simulation, choiceB }) => {
    simulation.faults.setOutage(true);
    runAfter(FAULT_DURATION_MS * (1 + (choiceB % 5)), () => simulation.faults.setOutage(false));
  },
  lose_answers: ({ simulation, choiceA }) => simulation.faults.loseResponses(1 + (choiceA % 3)),
  heal: ({ simulation }) => simulation.faults.heal(),
  withdraw_at_platform: ({ operator, choiceB }) => {
    const key = pickFrom(KEYS, choiceB);
    if (key !== undefined) operator.withdraw(key);
  },
  withdraw_at_node: withdrawAtNode,
  drain_data_centre: ({ operator, choiceA }) =>
    operator.drain('dc', DATA_CENTRES[choiceA % 3] ?? 'ost-a'),
  drain_upstream: ({ simulation, operator, choiceA, choiceB }) => {
    const backEnds = [...simulation.engines.list(), ...simulation.upstreams.list()];
    const found = pickFrom(backEnds, choiceA + choiceB);
    if (found !== undefined) operator.drain('upstream', found.entry.id);
  },
  drain_vm: ({ operator, choiceA }) => operator.drain('vm', pickFrom(VMS, choiceA)?.id ?? ''),
  end_drains: ({ operator }) => operator.endDrains(),
  turn_cold: (context) => {
    if (context.choiceB % 2 === 0) {
      pickEngine(context)?.core.faults.set({ turnCold: true });
      return;
    }
    const upstream = pickUpstream(context);
    if (upstream === undefined) return;
    upstream.refusedColdAtMs = undefined;
    upstream.core.faults.set({ turnCold: true });
  },
  kill_engine: (context) => {
    const engine = pickEngine(context);
    if (engine !== undefined) context.simulation.engines.kill(engine);
  },
  revive_engines: ({ simulation }) => {
    for (const engine of simulation.engines.list()) simulation.engines.restart(engine);
  },
  freeze_engine: (context) => {
    pickEngine(context)?.core.faults.set({ freeze: true }, FAULT_DURATION_MS);
  },
  stall_transfers: (context) => {
    pickEngine(context)?.core.faults.set({ stallTransfers: true }, FAULT_DURATION_MS);
  },
  engine_dies_later: (context) => {
    pickEngine(context)?.core.faults.set({ dieAfterTokens: 1 + (context.choiceB % 20) });
  },
  refuse_connections: (context) => {
    if (context.choiceB % 2 === 0)
      pickEngine(context)?.core.faults.set({ refuse: true }, FAULT_DURATION_MS);
    else pickUpstream(context)?.core.faults.set({ refuse: true }, FAULT_DURATION_MS);
  },
  cut_upstream: (context) => {
    const name = context.choiceB % 2 === 0 ? 'cutBefore' : 'cutAfter';
    pickUpstream(context)?.core.faults.set({ [name]: 1 });
  },
  clear_faults: ({ simulation }) => {
    for (const { core, isUp } of simulation.engines.list()) if (isUp) core.faults.clear();
    for (const { core } of simulation.upstreams.list()) core.faults.clear();
  },
  edit_tables: ({ operator, choiceA }) => operator.editConfiguration(choiceA),
};

export function applyCommand(
  simulation: Simulation,
  operator: Operator,
  { kind, choiceA, choiceB }: Command,
): void {
  simulation.recorder.count(kind);
  ACTIONS[kind]({ simulation, operator, choiceA, choiceB });
}
