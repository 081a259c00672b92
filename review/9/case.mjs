/**
 * Case 9: a part of a prompt crashes servers and is refused; after all processes were killed at the same
 * moment, requests with that part reach servers again.
 */
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { hasTrouble, runCase } from '../lib-2/case.mjs';
import { createAttemptId, createPart, sendAttempt } from '../lib-2/clients.mjs';
import { createConfiguration } from '../lib-2/configuration.mjs';
import { startServer } from '../lib-2/engines.mjs';
import { bounds, startNodes } from '../lib-2/nodes.mjs';
import { startStore } from '../lib-2/store.mjs';

const ZONES = ['almaty-a', 'almaty-b', 'almaty-c'];
const SERVERS = 13;
const PREFILL_SERVERS = 3;
const SERVER_RETURN_MS = 3_000;
const SETTLE_MS = 4_000;
const SOUND_PAUSE_MS = 400;
/** Requests with the bad part: several at once, as when one caller sends several surveys. */
/** The first batch is larger, so that the rule's five crashes come before the part is refused. */
const FIRST_BATCH = 8;
const BATCH = 5;
const FIRST_BATCH_GAP_MS = 10;
const BATCH_GAP_MS = 60;
const BATCH_INTERVAL_MS = 3_000;
const BATCHES_BEFORE = 3;
const BATCHES_AFTER = 4;
/** Time from the kill of all processes to the next request with the bad part. */
const QUIET_MS = 7_000;
const DEADLINE_MS = 14_000;
const FIFTH = 5;
const TOLERATED = 3;

const SHARED = createPart();
const SOUND = createPart();
const BAD = createPart();

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, defer) => {
  const store = await startStore();
  defer(store.stop);
  store.put('config', 'main', createConfiguration(7));

  const crashes = [];
  /** Requests with the bad part that reached a server. */
  const arrivals = [];
  const deadlyRequests = new Set();
  const sentTo = new Map();
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
      crashesOn: (req) => deadlyRequests.has(req.headers['x-attempt-id']),
      onCrash: (self) => {
        crashes.push(performance.now());
        servers.delete(self);
        record.note(`server ${self.id} crashes (crash ${crashes.length})`);
        setTimeout(() => {
          if (!isOver) void launch(zone, stage);
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
  for (let index = 0; index < SERVERS; index += 1)
    await launch(ZONES[index % ZONES.length], index < PREFILL_SERVERS ? 'prefill' : 'decode');

  const nodes = await startNodes({
    zones: [...ZONES, ...ZONES],
    storeAddressOf: () => store.address,
    record,
  });
  defer(nodes.stop);
  if (!(await nodes.waitUntilReady(20_000))) throw new Error('the nodes are not ready');
  await sleep(SETTLE_MS);

  let whole = 0;
  const send = async (kind, part) => {
    const id = createAttemptId();
    if (kind === 'deadly') deadlyRequests.add(id);
    const node = nodes.choose(ZONES[Math.floor(Math.random() * ZONES.length)]);
    sentTo.set(id, node);
    record.note(`client sends ${kind} ${id} to ${node.name}`);
    const seen = await sendAttempt(node, {
      id,
      path: '/notes/2f',
      deadlineMs: DEADLINE_MS,
      body: Buffer.alloc(5_000, 'a'),
      head: {
        'x-model': 'm',
        'x-token-usage': `5200,${20 + Math.floor(Math.random() * 60)}`,
        'x-prompt-prefix': `${SHARED}:200,${part}:200,${createPart()}:4800`,
      },
    });
    if (kind === 'sound' && seen.status === 200 && seen.isWhole) whole += 1;
    record.note(
      `client gets ${seen.status} for ${kind} ${id} after ${Math.round(seen.ms)} ms, ` +
        `${seen.body.length} bytes, whole: ${seen.isWhole}`,
    );
  };

  const pending = [];
  let isTrafficOver = false;
  const soundTraffic = async () => {
    while (!isTrafficOver) {
      pending.push(send('sound', SOUND));
      await sleep(SOUND_PAUSE_MS);
    }
  };
  const sendBatch = async (count, gapMs = BATCH_GAP_MS) => {
    for (let index = 0; index < count; index += 1) {
      pending.push(send('deadly', BAD));
      await sleep(gapMs);
    }
    await sleep(BATCH_INTERVAL_MS);
  };
  const soundEnd = soundTraffic();
  await sleep(2_000);
  await sendBatch(FIRST_BATCH, FIRST_BATCH_GAP_MS);
  for (let batch = 1; batch < BATCHES_BEFORE; batch += 1) await sendBatch(BATCH);
  const crashesBefore = crashes.length;
  const killedAt = performance.now();
  if (hasTrouble) for (const node of nodes.nodes) nodes.signal(node, 'SIGKILL');
  await sleep(QUIET_MS);
  if (!(await nodes.waitUntilReady(10_000))) throw new Error('the nodes are not ready again');
  for (let batch = 0; batch < BATCHES_AFTER; batch += 1) await sendBatch(BATCH);
  isTrafficOver = true;
  await soundEnd;
  await Promise.all(pending);

  const windowMs = bounds['stable-window-ms'];
  if (crashesBefore < FIFTH) throw new Error(`only ${crashesBefore} crashes before the kill`);
  const fifthAt = crashes[FIFTH - 1];
  const isCounted = ({ at, id }) =>
    at > fifthAt + windowMs && at > sentTo.get(id).startedAt + windowMs;
  const counted = arrivals.filter(isCounted);
  const runs = counted.filter(({ what }) => what === 'run').length;
  record.say(
    `${crashes.length} crashes, ${crashesBefore} of them before the processes were killed; ` +
      `${whole} sound streams whole; requests with the bad part that reach servers from machines in ` +
      `touch later than 3 s after the fifth crash: ${counted.length}, of them ${runs} runs ` +
      `(the fifth crash was ${((killedAt - fifthAt) / 1_000).toFixed(1)} s before the kill)`,
  );
  // Only runs are counted here, which is the milder reading of the rule.
  return runs > TOLERATED;
});
