/** Carries out the commands of a run. */
import type { Command, CommandKind } from './commands.js';
import type { Instance } from './fleet.js';
import type { Operator } from './operator.js';
import { runOutside } from './process.js';
import { DATA_CENTRES, KEYS, VMS } from './site.js';
import type { SoakKey } from './site.js';
import type { CallKind } from './traffic.js';
import type { World } from './world.js';

const CHAT_BURST_SIZE = 6;
const PLAN_BURST_SIZE = 25;
const MAX_PAUSE_MS = 20_000;
const MIN_PAUSE_MS = 200;
const FAULT_MS = 4_000;
/** Some answers run for longer than the time after which holds of lost requests are cancelled. */
const LONG_ANSWER = 800;
const SHORT_ANSWER = 60;
const LONG_EVERY = 3;
const IDEMPOTENCY_KEYS = 6;
const LARGE_KEYS = KEYS.filter(({ entry }) => entry.organisation === 'large');
const HEAVY_KEYS = KEYS.filter(({ entry }) => entry.organisation === 'heavy');

export function pickFrom<T>(items: readonly T[], choice: number): T | undefined {
  return items.length === 0 ? undefined : items[choice % items.length];
}

function later(ms: number, fn: () => void): void {
  runOutside(() => setTimeout(fn, ms));
}

interface Context {
  readonly world: World;
  readonly operator: Operator;
  readonly a: number;
  readonly b: number;
}

type Action = (context: Context) => void;

function sendCall({ world, a, b }: Context, kind: CallKind, key: SoakKey | undefined): void {
  const instance = pickFrom(world.fleet.ready(), a);
  if (instance === undefined || key === undefined) {
    world.journal.count('no_ready_node');
    return;
  }
  world.traffic.send(instance, {
    kind,
    key,
    promptTokens: 8 + ((a * 7) % 900),
    maxTokens: 1 + (b % (a % LONG_EVERY === 0 ? LONG_ANSWER : SHORT_ANSWER)),
    repeat: b % IDEMPOTENCY_KEYS,
  });
}

const send =
  (kind: CallKind): Action =>
  (context) =>
    sendCall(context, kind, pickFrom(KEYS, context.b));

/** Ends a process as a crash does; its callers see their connections break. */
export function crash(world: World, instance: Instance): void {
  world.fleet.kill(instance);
  world.traffic.cut(instance);
}

const withRunning =
  (fn: (context: Context, instance: Instance) => void): Action =>
  (context) => {
    const instance = pickFrom(context.world.fleet.running(), context.a);
    if (instance !== undefined) fn(context, instance);
  };

/** Tells a node of a withdrawal; the bound counts from the node's acceptance. */
const withdrawAtNode = withRunning(({ world, b }, { node, owner }) => {
  const key = pickFrom(KEYS, b);
  if (key === undefined || owner.isPaused()) return;
  world.work.setWithdrawn(key.text);
  owner.run(() => {
    void node.configuration.withdrawKey(key.entry.digest);
  });
});

const pickEngine = ({ world, a }: Context) => pickFrom(world.engines.list(), a);
const pickUpstream = ({ world, a }: Context) => pickFrom(world.upstreams.list(), a);

const ACTIONS: Record<CommandKind, Action> = {
  chat: send('chat'),
  plan: send('plan'),
  booking: send('booking'),
  keyed_booking: send('keyed_booking'),
  burst: (context) => {
    const isChat = context.b % 2 === 0;
    const keys = isChat ? HEAVY_KEYS : LARGE_KEYS;
    const size = isChat ? CHAT_BURST_SIZE : PLAN_BURST_SIZE;
    for (let n = 0; n < size; n += 1) {
      // One data centre gets the whole burst, so that its upstreams fill up.
      sendCall(context, isChat ? 'chat' : 'plan', pickFrom(keys, n));
    }
  },
  cancel: ({ world, a }) => {
    const call = pickFrom(world.traffic.open(), a);
    if (call !== undefined) world.traffic.cancel(call);
  },
  crash: withRunning(({ world }, instance) => crash(world, instance)),
  restart: ({ world, a }) => {
    const down = VMS.filter((vm) => world.fleet.find(vm) === undefined);
    const vm = pickFrom(down, a);
    if (vm !== undefined) world.fleet.start(vm);
  },
  pause: withRunning(({ world, b }, instance) => {
    if (instance.owner.isPaused()) return;
    world.fleet.pause(instance);
    later(MIN_PAUSE_MS + ((b * 37) % MAX_PAUSE_MS), () => {
      if (instance.owner.isAlive()) world.fleet.resume(instance);
    });
  }),
  drain_node: withRunning(({ world }, instance) => {
    if (!instance.draining) world.fleet.drain(instance);
  }),
  partition: ({ world, a, b }) => {
    const one = pickFrom(DATA_CENTRES, a);
    const other = pickFrom(DATA_CENTRES, a + 1 + (b % 2));
    if (one !== undefined && other !== undefined) world.faults.partition(one, other);
  },
  cut_from_platform: ({ world, a }) => {
    const dataCentre = pickFrom(DATA_CENTRES, a);
    if (dataCentre !== undefined) world.faults.cutFromPlatform(dataCentre);
  },
  outage: ({ world, b }) => {
    world.faults.setOutage(true);
    later(FAULT_MS * (1 + (b % 5)), () => world.faults.setOutage(false));
  },
  lose_answers: ({ world, a }) => world.faults.loseAnswers(1 + (a % 3)),
  heal: ({ world }) => world.faults.heal(),
  withdraw_at_platform: ({ operator, b }) => {
    const key = pickFrom(KEYS, b);
    if (key !== undefined) operator.withdraw(key);
  },
  withdraw_at_node: withdrawAtNode,
  drain_data_centre: ({ operator, a }) => operator.drain('dc', DATA_CENTRES[a % 3] ?? 'ost-a'),
  drain_upstream: ({ world, operator, a, b }) => {
    const entries = [...world.engines.list(), ...world.upstreams.list()];
    const found = pickFrom(entries, a + b);
    if (found !== undefined) operator.drain('upstream', found.entry.id);
  },
  drain_vm: ({ operator, a }) => operator.drain('vm', pickFrom(VMS, a)?.id ?? ''),
  end_drains: ({ operator }) => operator.endDrains(),
  turn_cold: (context) => {
    if (context.b % 2 === 0) {
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
    if (engine !== undefined) context.world.engines.kill(engine);
  },
  revive_engines: ({ world }) => {
    for (const engine of world.engines.list()) world.engines.revive(engine);
  },
  freeze_engine: (context) => {
    pickEngine(context)?.core.faults.set({ freeze: true }, FAULT_MS);
  },
  stall_transfers: (context) => {
    pickEngine(context)?.core.faults.set({ stallTransfers: true }, FAULT_MS);
  },
  engine_dies_later: (context) => {
    pickEngine(context)?.core.faults.set({ dieAfterTokens: 1 + (context.b % 20) });
  },
  refuse_connections: (context) => {
    if (context.b % 2 === 0) pickEngine(context)?.core.faults.set({ refuse: true }, FAULT_MS);
    else pickUpstream(context)?.core.faults.set({ refuse: true }, FAULT_MS);
  },
  cut_upstream: (context) => {
    const name = context.b % 2 === 0 ? 'cutBefore' : 'cutAfter';
    pickUpstream(context)?.core.faults.set({ [name]: 1 });
  },
  clear_faults: ({ world }) => {
    for (const { core, up } of world.engines.list()) if (up) core.faults.clear();
    for (const { core } of world.upstreams.list()) core.faults.clear();
  },
  edit_tables: ({ operator, a }) => operator.editTables(a),
};

/** Carries out a command. */
export function applyCommand(world: World, operator: Operator, { kind, a, b }: Command): void {
  world.journal.count(kind);
  ACTIONS[kind]({ world, operator, a, b });
}
