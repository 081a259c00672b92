import {
  createRandom,
  createTelemetry,
  dataCentreId,
  monotonicMs,
  poolId,
  sleep,
  upstreamId,
} from '@hibiscusbank/core';
import { createAllocation } from '../../src/allocation/index.js';
import type {
  AllocationCandidate,
  AllocationService,
  Refusal,
} from '../../src/allocation/index.js';
import { createGranterSelection } from '../../src/granter-selection.js';

export const POOL = poolId('engines');
const MEMORY_TOKENS = 45_000;
const SLOTS = 128;

export interface FleetOptions {
  readonly nodes: number;
  readonly engines: number;
  /** Fraction of the messages that are lost. */
  readonly lossShare?: number;
}

/** A request of the load, and what became of it. */
export interface Played {
  readonly tokens: number;
  readonly organisation: string;
  readonly priority: number;
  waitedMs: number;
  outcome: 'served' | 'refused' | 'unanswered';
  /** Grants that the engine refused because its memory was in use. */
  engineRefusals: number;
}

export interface AllocationFleet {
  readonly services: readonly AllocationService[];
  kill(node: number): void;
  /** Returns the tokens in use at the fullest engine. */
  mostUsed(): number;
  /** Sends one request from a node; it holds its engine for `holdMs`. */
  send(
    node: number,
    req: Pick<Played, 'tokens' | 'organisation' | 'priority'>,
    times: { readonly onTargetMs: number; readonly maxWaitMs: number; readonly holdMs: number },
  ): Promise<Played>;
  stop(): void;
}

/** Creates nodes that allocate the memory of engines, which refuse what does not fit. */
export function createAllocationFleet({
  nodes,
  engines,
  lossShare = 0,
}: FleetOptions): AllocationFleet {
  const random = createRandom(5);
  const alive = new Set(Array.from({ length: nodes }, (_, index) => index));
  const used = new Map<string, number>();
  const dataCentre = dataCentreId('a');
  const candidates = Array.from({ length: engines }, (_, index): AllocationCandidate => ({
    id: upstreamId(`engine-${index}`),
    dataCentre,
    capacity: { requests: SLOTS, tokens: MEMORY_TOKENS },
    isQueueing: false,
    penalty: 0,
    reported: { requests: 0, tokens: 0 },
  }));
  const services: AllocationService[] = [];
  const peer = (index: number) => ({
    node: `node-${index}`,
    host: String(index),
    port: 1,
    dataCentre: 'a',
  });
  for (let self = 0; self < nodes; self += 1) {
    const service = createAllocation({
      self: peer(self),
      dataCentre,
      granters: createGranterSelection({
        self: peer(self),
        peers: () =>
          Array.from({ length: nodes }, (_, index) => peer(index)).filter(
            (_, index) => index !== self,
          ),
        isSilent: () => false,
        maxPauseMs: 16_000,
      }),
      datagrams: {
        send: (message, recipients) => {
          const text = JSON.stringify(message);
          for (const { host } of recipients) {
            const to = Number(host);
            if (random.next() < lossShare) continue;
            setTimeout(() => {
              if (alive.has(self) && alive.has(to)) services[to]?.receive(JSON.parse(text));
            }, 1);
          }
          return true;
        },
      },
      isActive: () => true,
      dataCentresOf: () => candidates.map(() => dataCentre),
      listCandidates: () => candidates,
      random: () => random.next(),
      telemetry: createTelemetry({}, () => {}),
    });
    service.start();
    services.push(service);
  }

  return {
    services,
    kill: (node) => {
      alive.delete(node);
      services[node]?.stop();
    },
    mostUsed: () => Math.max(0, ...used.values()),
    send: async (node, req, { onTargetMs, maxWaitMs, holdMs }) => {
      const startedAt = monotonicMs();
      const played: Played = { ...req, waitedMs: 0, outcome: 'refused', engineRefusals: 0 };
      let refusedBy: Refusal | undefined;
      while (monotonicMs() - startedAt <= maxWaitMs) {
        const passedMs = monotonicMs() - startedAt;
        const result = await services[node]?.acquire(POOL, 'run', {
          ...req,
          onTargetMs: Math.max(0, onTargetMs - passedMs),
          maxWaitMs: Math.max(0, maxWaitMs - passedMs),
          dataCentre: 'a',
          excluded: [],
          refusedBy,
          signal: new AbortController().signal,
        });
        played.waitedMs = monotonicMs() - startedAt;
        if (result?.kind !== 'granted') {
          played.outcome = result?.kind ?? 'unanswered';
          return played;
        }
        const { held } = result;
        const inUse = used.get(held.upstream) ?? 0;
        if (inUse + req.tokens <= MEMORY_TOKENS) {
          used.set(held.upstream, inUse + req.tokens);
          await sleep(holdMs);
          used.set(held.upstream, (used.get(held.upstream) ?? 0) - req.tokens);
          held.release();
          played.outcome = 'served';
          return played;
        }
        played.engineRefusals += 1;
        held.release();
        refusedBy = { upstream: held.upstream, isAlive: true };
      }
      return played;
    },
    stop: () => services.forEach((service) => service.stop()),
  };
}
