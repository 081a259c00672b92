import {
  createTelemetry,
  monotonicMs,
  poolId,
  routeId,
  sleep,
  upstreamId,
  createRandom,
} from '@hibiscusbank/core';
import type { Random } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import { createRollouts, createRolloutKey, upstreamVersion } from '../../src/rollouts/index.js';
import type { RolloutOrder, RolloutService, RolloutState } from '../../src/rollouts/index.js';
import { createFakeStore } from './fake-store.js';

const POOL = poolId('desk');
const NODES = 6;
const SERVERS = 4;
const BOUNDS = { exposeShare: 0.1, exposeSlack: 50 };
const ORDER_NAME = 'desk';
const SERVICE_MS = 40;

export interface Answer {
  readonly isFailed: boolean;
  readonly ms: number;
}

/** Returns how an upstream answers. `load`: its requests in progress; `ageMs`: time since the order. */
export type Behaviour = (at: {
  readonly server: number;
  readonly route: string;
  readonly load: number;
  readonly ageMs: number;
  readonly random: Random;
}) => Answer;

export interface FleetOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  readonly current: Behaviour;
  readonly candidate: Behaviour;
  /** Called every 100 ms with the time since the order. */
  readonly disturb?: (fleet: Fleet, ageMs: number) => void;
  readonly restMs?: number;
  /** Whether nodes that have ended still count as live, as for seconds in a large fleet. */
  readonly isDeathUnnoticed?: boolean;
}

export interface Fleet {
  readonly kill: (node: number) => void;
  /** Returns the nodes that now control the roll-out. */
  readonly controllers: () => readonly number[];
  /** Cuts the given nodes off from the others. */
  readonly cutOff: (nodes: readonly number[]) => void;
  readonly setStoreDown: (isDown: boolean) => void;
}

export interface FleetResult {
  readonly state: RolloutState | undefined;
  /** Time of the final state after the order. */
  readonly endedAtMs: number;
  /** Requests until the deadline, and those of them that the new version got. */
  readonly requests: number;
  readonly exposed: number;
  /** Requests that the new version got later than 5 s after its 50th bad answer. */
  readonly late: number;
  /** Requests in progress at the old version when it was completed. */
  readonly cut: number;
  readonly failed: number;
}

/** A sound upstream: times vary by a factor of about 2, one answer in 100 fails. */
export const sound: Behaviour = ({ random }) => ({
  isFailed: random.next() < 0.01,
  ms: SERVICE_MS * (0.7 + random.next() * 0.8),
});

/** Plays a roll-out on a fleet of nodes that share a store, under fake timers. */
export async function playRollout(
  options: FleetOptions,
  advance: (ms: number) => Promise<void>,
): Promise<FleetResult> {
  const random = createRandom(options.seed);
  const store = createFakeStore();
  const telemetry = createTelemetry({}, () => {});
  const alive = new Set(Array.from({ length: NODES }, (_, index) => index));
  const outage = { isDown: false, cut: new Set<number>() };
  const nodes: RolloutService[] = [];
  const stops: AbortController[] = [];
  const reaches = (a: number, b: number): boolean =>
    alive.has(a) && alive.has(b) && outage.cut.has(a) === outage.cut.has(b);
  const peersOf = (self: number): number[] =>
    (options.isDeathUnnoticed === true
      ? Array.from({ length: NODES }, (_, index) => index)
      : [...alive].filter((other) => reaches(self, other))
    ).filter((other) => other !== self);
  const order: RolloutOrder = {
    key: createRolloutKey('desk', 'v2', options.durationMs, 1),
    name: ORDER_NAME,
    pool: POOL,
    to: upstreamVersion('v2'),
    durationMs: options.durationMs,
    state: undefined,
  };
  const upstreams = ['v1', 'v2'].flatMap((version) =>
    Array.from({ length: SERVERS }, (_, server) => ({
      id: upstreamId(`${version}-${server}`),
      pool: POOL,
      version: upstreamVersion(version),
      slots: 6,
      role: undefined,
      startedAt: 1,
      coldUntil: 0,
      server,
    })),
  );
  for (let self = 0; self < NODES; self += 1) {
    const stop = new AbortController();
    const node = createRollouts({
      self: { node: `node-${self}`, host: String(self), port: 1 },
      startedAt: 1,
      bounds: BOUNDS,
      peers: () => peersOf(self).map((peer) => `node-${peer}`),
      recipients: () =>
        Array.from({ length: NODES }, (_, peer) => peer)
          .filter((peer) => peer !== self)
          .map((peer) => ({ node: `node-${peer}`, host: String(peer), port: 1 })),
      reachesMajority: () => (peersOf(self).length + 1) * 2 > NODES,
      usable: () => upstreams,
      store: {
        read: async (name) =>
          outage.isDown || outage.cut.has(self) ? err('unavailable') : store.read(name),
        writeStatus: async (...args) =>
          outage.isDown || outage.cut.has(self) ? err('unavailable') : store.writeStatus(...args),
      },
      decode: (_, value) => value as RolloutOrder,
      datagrams: {
        send: (message, recipients) => {
          const text = JSON.stringify(message);
          for (const { host } of recipients) {
            const to = Number(host);
            if (reaches(self, to))
              setTimeout(() => alive.has(to) && nodes[to]?.receive(JSON.parse(text)), 1);
          }
          return true;
        },
      },
      telemetry,
    });
    node.setUpstreams(upstreams.filter(({ version }) => version === 'v1'));
    nodes.push(node);
    stops.push(stop);
    void node.run(stop.signal);
  }
  await advance(4_000);

  const orderedAt = monotonicMs();
  const age = (): number => monotonicMs() - orderedAt;
  store.put(ORDER_NAME, order);
  const result = { requests: 0, exposed: 0, late: 0, cut: 0, failed: 0, endedAtMs: Infinity };
  let state: RolloutState | undefined;
  let badAnswers = 0;
  let fiftiethBadAt = Infinity;
  const load = new Map<string, number>();

  const readStore = async (): Promise<void> => {
    const entry = (await store.read(ORDER_NAME))._unsafeUnwrap();
    const stored = (entry.value as RolloutOrder).state;
    if (state !== stored && (stored === 'completed' || stored === 'rolled_back')) {
      result.endedAtMs = age();
      const running = upstreams.filter(({ version }) => version === 'v1');
      if (stored === 'completed')
        result.cut = running.reduce((sum, { id }) => sum + (load.get(id) ?? 0), 0);
    }
    state = stored;
    nodes.forEach((node, index) => {
      if (alive.has(index) && !outage.isDown && !outage.cut.has(index))
        node.setOrders(new Map([[ORDER_NAME, entry]]));
    });
  };

  const sendRequest = async (self: number, id: string): Promise<void> => {
    const node = nodes[self] as RolloutService;
    const route = random.next() < 0.2 ? 'lookup' : 'book';
    node.countRequest(POOL, routeId(route));
    const failed = new Set<ReturnType<typeof upstreamId>>();
    const choice = node.select(upstreams, { id, route: routeId(route), failed });
    const upstream = random.pick(choice);
    if (age() < options.durationMs) result.requests += 1;
    if (upstream === undefined || !node.mayServe(upstream)) return;
    const isCandidate = upstream.version === 'v2';
    if (isCandidate && age() < options.durationMs) result.exposed += 1;
    if (isCandidate && monotonicMs() > fiftiethBadAt + 5_000) result.late += 1;
    const inProgress = load.get(upstream.id) ?? 0;
    load.set(upstream.id, inProgress + 1);
    const run = node.beginRun(upstream, routeId(route), 'request');
    const behave = isCandidate ? options.candidate : options.current;
    const answer = behave({
      server: upstream.server,
      route,
      load: inProgress,
      ageMs: age(),
      random,
    });
    await sleep(answer.ms);
    load.set(upstream.id, (load.get(upstream.id) ?? 0) - 1);
    run.recordFirst();
    run.end(answer.isFailed ? 'failed' : 'answered');
    if (answer.isFailed) result.failed += 1;
    if (isCandidate && (answer.isFailed || answer.ms > 3 * SERVICE_MS)) {
      badAnswers += 1;
      if (badAnswers === 50) fiftiethBadAt = monotonicMs();
    }
  };

  const fleet: Fleet = {
    kill: (node) => {
      alive.delete(node);
      stops[node]?.abort();
    },
    controllers: () => {
      const hasControl = (node: RolloutService): boolean => node.listControls().length > 0;
      return [...alive].filter((index) => hasControl(nodes[index] as RolloutService));
    },
    cutOff: (cutNodes) => {
      outage.cut = new Set(cutNodes);
    },
    setStoreDown: (down) => {
      outage.isDown = down;
    },
  };
  const stepMs = 10;
  const totalMs = options.durationMs + (options.restMs ?? 2_000);
  for (let count = 0; age() < totalMs; count += 1) {
    if (age() >= 100) nodes.forEach((node) => node.setUpstreams(upstreams));
    if (count % 10 === 0) {
      options.disturb?.(fleet, age());
      await readStore();
    }
    const expected = (options.requestsPerSecond * stepMs) / 1_000;
    const arrivals = Math.floor(expected) + (random.next() < expected % 1 ? 1 : 0);
    for (let each = 0; each < arrivals; each += 1) {
      const node = random.pick([...alive]);
      if (node !== undefined) void sendRequest(node, `${options.seed}-${count}-${each}`);
    }
    await advance(stepMs);
  }
  stops.forEach((stop) => stop.abort());
  return { ...result, state };
}
