import { createRandom, createTelemetry, organisationId, sleep } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import { upstreamVersion } from '../../src/index.js';
import type { KnownPeer } from '../../src/peer-reports.js';
import { createStreamOrigins } from '../../src/stream-origins/index.js';
import type { StreamOrigin, StreamOriginService } from '../../src/stream-origins/index.js';
import { createFakeStore, createTestEra } from './fake-store.js';
import type { FakeStore } from './fake-store.js';
import { createUpstream, enginePool } from './test-node.js';

/** Time in which the caller of a stream may resume it. */
const STREAM_LIFE_MS = 28_000;
const DATAGRAM_DELAY_MS = 2;
/** Largest delay with which a node learns that a version comes or goes. */
const MAX_LIST_DELAY_MS = 800;
const organisation = organisationId('workshop');

export interface OriginNode {
  readonly origins: StreamOriginService;
  /** Versions that the node knows to serve; none before it has read the list. */
  versions: readonly string[];
  isRunning: boolean;
  readonly stop: () => void;
}

export interface OriginFleet {
  readonly nodes: OriginNode[];
  readonly store: FakeStore;
  /** Versions that serve now; nodes learn of changes later. */
  versions: readonly string[];
  /** Fraction of datagrams that are lost. */
  lossShare: number;
  /** Ends or begins an outage of the store, in which no node learns of other versions. */
  setStoreDown(isDown: boolean): void;
  /** Makes the nodes read the list of upstreams again, each after a delay of its own. */
  tellVersions(): void;
  kill(index: number): void;
  start(index: number): void;
  begin(index: number, attempt: string, version: string): void;
  resume(index: number, attempt: string | undefined): Promise<StreamOrigin>;
}

/** Creates a running fleet with one store, whose messages arrive after a short time. */
export function createOriginFleet(nodeCount: number, seed: number): OriginFleet {
  const { next: random } = createRandom(seed);
  const store = createFakeStore();
  const nodes: OriginNode[] = [];
  const peerOf = (index: number): KnownPeer & { readonly startedAt: number } => ({
    node: `node-${index}`,
    host: '127.0.0.1',
    port: index + 1,
    dataCentre: `dc-${index % 3}`,
    startedAt: Date.now(),
  });
  const startedAt: number[] = [];
  const outage = { isStoreDown: false };

  const fleet: OriginFleet = {
    nodes,
    store,
    versions: ['v1'],
    lossShare: 0,
    setStoreDown: (isDown) => {
      outage.isStoreDown = isDown;
      store.setDown(isDown);
      if (!isDown) fleet.tellVersions();
    },
    tellVersions: () => {
      for (const node of nodes) {
        void sleep(random() * MAX_LIST_DELAY_MS).then(() => {
          if (!node.isRunning || outage.isStoreDown) return;
          node.versions = fleet.versions;
          node.origins.setUpstreams(
            fleet.versions.map((version) =>
              createUpstream(version, {
                pool: enginePool,
                role: 'decode',
                version: upstreamVersion(version),
              }),
            ),
          );
        });
      }
    },
    kill: (index) => {
      const node = nodes[index];
      if (node === undefined) return;
      node.isRunning = false;
      node.stop();
    },
    start: (index) => {
      const stopping = new AbortController();
      const era = createTestEra();
      const access = store.connect(era);
      const others = (): number[] =>
        nodes.map((_, other) => other).filter((each) => each !== index);
      startedAt[index] = Date.now();
      const node: OriginNode = {
        versions: [],
        isRunning: true,
        stop: () => stopping.abort(),
        origins: createStreamOrigins({
          self: peerOf(index),
          store: {
            ...access,
            // A process that was ended writes no more.
            write: async (...args) =>
              stopping.signal.aborted ? err('unavailable' as const) : access.write(...args),
          },
          era,
          datagrams: {
            send: (message, recipients) => {
              if (stopping.signal.aborted) return false;
              const bytes = JSON.stringify(message);
              for (const { port } of recipients) {
                if (random() < fleet.lossShare) continue;
                void sleep(DATAGRAM_DELAY_MS).then(() => {
                  const peer = nodes[port - 1];
                  if (peer?.isRunning === true) peer.origins.receive(JSON.parse(bytes));
                });
              }
              return true;
            },
          },
          recipients: () => others().map(peerOf),
          livePeers: () =>
            others()
              .filter((other) => nodes[other]?.isRunning)
              .map((other) => ({ ...peerOf(other), startedAt: startedAt[other] ?? 0 })),
          lifeMs: () => STREAM_LIFE_MS,
          random,
          telemetry: createTelemetry({}, () => {}),
        }),
      };
      nodes[index] = node;
      void node.origins.run(stopping.signal);
    },
    begin: (index, attempt, version) =>
      nodes[index]?.origins.recordBegun(
        { pool: enginePool, organisation, firstAttempt: attempt },
        upstreamVersion(version),
      ),
    resume: async (index, attempt) => {
      const node = nodes[index];
      if (node === undefined) throw new Error(`no node ${index}`);
      const stream = { pool: enginePool, organisation, firstAttempt: attempt };
      return node.origins.find(stream, new AbortController().signal);
    },
  };
  for (let index = 0; index < nodeCount; index += 1) fleet.start(index);
  fleet.tellVersions();
  return fleet;
}
