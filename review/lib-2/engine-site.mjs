/** A small deployment with model servers, some of whose requests hold a part that crashes servers. */
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { createAttemptId, sendAttempt } from './clients.mjs';
import { createConfiguration } from './configuration.mjs';
import { startServer } from './engines.mjs';
import { startNodes } from './nodes.mjs';
import { startStore } from './store.mjs';

export const ZONES = ['almaty-a', 'almaty-b', 'almaty-c'];
const SETTLE_MS = 4_000;
const READY_MS = 20_000;
const SERVER_RETURN_MS = 3_000;
const DEADLINE_MS = 14_000;
const BODY_BYTES = 5_000;
/** Output tokens that a request asks for. */
const MIN_OUTPUT_TOKENS = 20;
const MAX_OUTPUT_TOKENS = 80;

const pickOne = (list) => list[Math.floor(Math.random() * list.length)];
const sumTokens = (parts) => parts.reduce((sum, part) => sum + Number(part.split(':')[1]), 0);

/**
 * Starts the store, model servers and six nodes in three zones, and waits until they are in touch. `canCrash`:
 * whether servers crash on deadly requests; a server that crashed is back after 3 s.
 */
export async function startEngineSite(record, defer, { prefillServers, decodeServers, canCrash }) {
  const store = await startStore();
  defer(store.stop);
  store.put('config', 'main', createConfiguration(7));

  /** Times of the crashes. */
  const crashes = [];
  /** Deadly requests that reached a server. */
  const arrivals = [];
  const deadlyRequests = new Set();
  const servers = new Set();
  let isOver = false;
  const launch = async (zone, stage) => {
    const server = await startServer({
      store,
      service: 'engines',
      zone,
      stage,
      onRun: (self, req, what) => {
        const id = req.headers['x-attempt-id'];
        record.note(`server ${self.id} (${stage}) ${what} of ${id}`);
        if (deadlyRequests.has(id)) arrivals.push({ at: performance.now(), what, id });
      },
      onMiss: (self, id) => record.note(`server ${self.id} rejects ${id}`),
      crashesOn: (req) => canCrash && deadlyRequests.has(req.headers['x-attempt-id']),
      onCrash: (self) => {
        crashes.push(performance.now());
        servers.delete(self);
        record.note(`server ${self.id} crashes (crash ${crashes.length})`);
        setTimeout(() => {
          if (!isOver) launch(zone, stage);
        }, SERVER_RETURN_MS);
      },
    });
    servers.add(server);
    record.note(`server ${server.id} (${stage}) at ${server.address} in ${zone}`);
  };
  defer(() => {
    isOver = true;
    for (const server of servers) server.stop();
  });
  for (let index = 0; index < prefillServers + decodeServers; index += 1)
    await launch(ZONES[index % ZONES.length], index < prefillServers ? 'prefill' : 'decode');

  const nodes = await startNodes({
    zones: [...ZONES, ...ZONES],
    storeAddressOf: () => store.address,
    record,
  });
  defer(nodes.stop);
  if (!(await nodes.waitUntilReady(READY_MS))) throw new Error('the nodes are not ready');
  await sleep(SETTLE_MS);

  /** Times of the starts of the processes to which requests were sent, by request. */
  const startedAt = new Map();

  /** Sends a `sound` or `deadly` stream whose prompt has the given parts, each `ID:TOKENS`. */
  const send = async (kind, parts) => {
    const id = createAttemptId();
    if (kind === 'deadly') deadlyRequests.add(id);
    const node = nodes.choose(pickOne(ZONES));
    const outputTokens =
      MIN_OUTPUT_TOKENS + Math.floor(Math.random() * (MAX_OUTPUT_TOKENS - MIN_OUTPUT_TOKENS));
    startedAt.set(id, node.startedAt);
    const sentAt = performance.now();
    record.note(`client sends ${kind} ${id} to ${node.name}`);
    const seen = await sendAttempt(node, {
      id,
      path: '/notes/2f',
      deadlineMs: DEADLINE_MS,
      body: Buffer.alloc(BODY_BYTES, 'a'),
      head: {
        'x-model': 'm',
        'x-token-usage': `${sumTokens(parts)},${outputTokens}`,
        'x-prompt-prefix': parts.join(','),
      },
    });
    record.note(
      `client gets ${seen.status} for ${kind} ${id} after ${Math.round(seen.ms)} ms, ` +
        `${seen.body.length} bytes, whole: ${seen.isWhole}, ` +
        `retry-after: ${seen.head['retry-after'] ?? '-'}`,
    );
    return {
      kind,
      sentAt,
      hasBegun: seen.status === 200 && seen.body.length > 0,
      isWhole: seen.status === 200 && seen.isWhole,
    };
  };

  return { nodes, crashes, arrivals, startedAt, send };
}
