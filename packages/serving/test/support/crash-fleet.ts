import { createTelemetry } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import { vi } from 'vitest';
import { createCrashProtection } from '../../src/crash-protection.js';
import type { CrashProtection } from '../../src/crash-protection.js';
import type { ServingUpstream } from '../../src/index.js';
import { toPartIds } from '../../src/part-ids.js';
import { createFakeStore, createTestEra } from './fake-store.js';
import type { FakeStore } from './fake-store.js';
import { createUpstream, enginePool } from './test-node.js';

/** Largest message that a node sends to its peers. */
const MAX_MESSAGE_BYTES = 60_000;
/** Time for which an engine is gone after it ended. */
const RESTART_MS = 3_000;
/** Time between the start of a run and the end of the engine under a deadly part. */
const CRASH_AFTER_MS = 40;
const STREAM_MS = 1_500;
export const DEADLY = 'deadly';
export const DEADLY_REQUEST = 'request-deadly';

interface Engine {
  upstream: ServingUpstream;
  endedAt: number;
  /** Functions that break off the running requests. */
  readonly running: Set<() => void>;
}

export interface Node {
  readonly protection: CrashProtection;
  /** Nodes that get the messages of this one. */
  peers: Node[];
  readonly stop: () => void;
}

export interface Fleet {
  readonly nodes: Node[];
  /** Keeps the quarantines. */
  readonly store: FakeStore;
  readonly ends: { deadly: number; ordinary: number };
  /** Sends a request by a node to an engine; counts it by how it ends. Unless it is named, no other is like it. */
  serve(node: Node, engine: number, parts: readonly string[], request?: string): void;
  end(engine: number): void;
  restartNode(index: number): void;
  /** Ends all processes at once and starts new ones. */
  restartAll(): void;
  readonly counts: Record<'whole' | 'broken' | 'refused', number>;
  readonly refusedSound: string[];
  /** Times of the ends under deadly requests. */
  readonly deadlyEndsAt: number[];
}

export function createFleet(nodeCount: number, engineCount: number): Fleet {
  const now = (): number => performance.now();
  const engines = Array.from({ length: engineCount }, (_, index): Engine => ({
    upstream: createUpstream(`engine-${index}`, { pool: enginePool, role: 'decode' }),
    endedAt: -Infinity,
    running: new Set(),
  }));
  const isUp = ({ endedAt }: Engine): boolean => now() - endedAt >= RESTART_MS;
  const isListening = async ({ id }: ServingUpstream): Promise<boolean> => {
    const engine = engines.find(({ upstream }) => upstream.id === id);
    return engine !== undefined && isUp(engine);
  };
  let requestCount = 0;
  const nodes: Node[] = [];
  const store = createFakeStore();

  const createNode = (name: string): Node => {
    const stopping = new AbortController();
    const era = createTestEra();
    const access = store.connect(era);
    const node: Node = {
      peers: [],
      stop: () => stopping.abort(),
      protection: createCrashProtection({
        self: name,
        transport: { isListening },
        store: {
          ...access,
          // A process that was ended writes no more.
          write: async (...args) =>
            stopping.signal.aborted ? err('unavailable' as const) : access.write(...args),
        },
        era,
        datagrams: {
          send: (message) => {
            const bytes = JSON.stringify(message);
            if (Buffer.byteLength(bytes) > MAX_MESSAGE_BYTES) return false;
            for (const peer of node.peers) {
              setTimeout(() => peer.protection.receive(JSON.parse(bytes)), 2);
            }
            return true;
          },
        },
        recipients: () => [],
        peers: () => [],
        random: () => 0,
        telemetry: createTelemetry({}, () => {}),
      }),
    };
    void node.protection.run(stopping.signal);
    return node;
  };
  for (let index = 0; index < nodeCount; index += 1) nodes.push(createNode(`node-${index}`));
  const connect = (): void => {
    for (const node of nodes) node.peers = nodes.filter((peer) => peer !== node);
  };
  connect();

  const fleet: Fleet = {
    nodes,
    store,
    ends: { deadly: 0, ordinary: 0 },
    counts: { whole: 0, broken: 0, refused: 0 },
    refusedSound: [],
    deadlyEndsAt: [],
    end: (index) => {
      const engine = engines[index];
      if (engine === undefined || !isUp(engine)) return;
      engine.endedAt = now();
      engine.upstream = { ...engine.upstream, startedAt: now() };
      for (const breakOff of [...engine.running]) breakOff();
      engine.running.clear();
    },
    serve: (node, index, parts, request) => {
      const engine = engines.find((candidate, at) => at >= index && isUp(candidate));
      if (engine === undefined) return;
      requestCount += 1;
      const id = `request ${requestCount}`;
      const suspects = [...toPartIds(parts), request ?? `request-${requestCount}`];
      const isDeadly = request === DEADLY_REQUEST || parts.some((part) => part.startsWith(DEADLY));
      if (node.protection.isWaiting()) {
        fleet.counts.refused += 1;
        return;
      }
      if (node.protection.findBlocked(id, suspects) !== undefined) {
        fleet.counts.refused += 1;
        if (!isDeadly) fleet.refusedSound.push(suspects.join());
        return;
      }
      const finish = node.protection.beginRun(engine.upstream, id, suspects);
      let timer: NodeJS.Timeout | undefined;
      const breakOff = (): void => {
        clearTimeout(timer);
        finish('broken');
        fleet.counts.broken += 1;
      };
      timer = setTimeout(() => {
        engine.running.delete(breakOff);
        finish('answered');
        fleet.counts.whole += 1;
      }, STREAM_MS);
      engine.running.add(breakOff);
      if (!isDeadly) return;
      setTimeout(() => {
        if (!engine.running.has(breakOff)) return;
        fleet.ends.deadly += 1;
        fleet.deadlyEndsAt.push(now());
        fleet.end(engines.indexOf(engine));
      }, CRASH_AFTER_MS);
    },
    restartNode: (index) => {
      nodes[index]?.stop();
      nodes[index] = createNode(`node-${index}`);
      connect();
      for (const peer of nodes)
        nodes[index]?.protection.applyReport(peer.protection.report(), true);
    },
    restartAll: () => {
      for (const node of nodes) {
        node.stop();
        node.peers = [];
      }
      nodes.forEach((_, index) => {
        nodes[index] = createNode(`node-${index}`);
      });
      connect();
    },
  };
  return fleet;
}

export interface Load {
  readonly seconds: number;
  /** Fraction of requests with the deadly part. */
  readonly deadlyShare: number;
  readonly onSecond?: (fleet: Fleet, second: number) => void;
}

/** Plays 10 requests a second over all nodes and engines. Sound ones share the guide and the caller's part. */
export async function play(fleet: Fleet, { seconds, deadlyShare, onSecond }: Load): Promise<void> {
  for (let tick = 0; tick < seconds * 10; tick += 1) {
    if (tick % 10 === 0) onSecond?.(fleet, tick / 10);
    const node = fleet.nodes[(tick * 7) % fleet.nodes.length];
    const isDeadly = Math.floor((tick + 1) * deadlyShare) > Math.floor(tick * deadlyShare);
    const parts = isDeadly ? ['guide', DEADLY] : ['guide', `subject-${tick % 6}`];
    if (node !== undefined) fleet.serve(node, (tick * 5) % 8, parts);
    await vi.advanceTimersByTimeAsync(100);
  }
}

/** Returns the ends under deadly requests later than 3 s after the fifth; operators tolerate three. */
export function countLateEnds({ deadlyEndsAt }: Fleet): number {
  return deadlyEndsAt.filter((at) => at > (deadlyEndsAt[4] ?? Infinity) + 3_000).length;
}
