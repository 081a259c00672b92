/**
 * Case 7: a part of a prompt crashes servers; requests that hold it behind 32 other parts are never refused.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
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
const SERVERS = 8;
const PREFILL_SERVERS = 2;
const SERVER_RETURN_MS = 3_000;
const SETTLE_MS = 4_000;
const SOUND_PAUSE_MS = 400;
/** Requests with the bad part come one by one. */
const DEADLY_PAUSE_MS = 2_000;
const DEADLY_REQUESTS = 16;
/** Parts of a long session before the bad one, each of its own. */
const EARLIER_PARTS = Number(process.env.EARLIER_PARTS ?? 32);
const DEADLINE_MS = 14_000;
const FIFTH = 5;
const TOLERATED = 3;

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
      crashesOn: (req) => hasTrouble && deadlyRequests.has(req.headers['x-attempt-id']),
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

  /** Returns a prompt of a long session: parts of its own, a shared one, and the request's text. */
  const createPrefix = (shared) => {
    const earlier = Array.from({ length: EARLIER_PARTS }, () => `${createPart()}:100`);
    return [...earlier, `${shared}:100`, `${createPart()}:100`].join(',');
  };
  let whole = 0;
  let sound = 0;
  const send = async (kind, shared) => {
    const id = createAttemptId();
    if (kind === 'deadly') deadlyRequests.add(id);
    else sound += 1;
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
        'x-token-usage': `3400,${20 + Math.floor(Math.random() * 60)}`,
        'x-prompt-prefix': createPrefix(shared),
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
      pending.push(send('sound', createPart()));
      await sleep(SOUND_PAUSE_MS);
    }
  };
  const soundEnd = soundTraffic();
  await sleep(2_000);
  for (let sent = 0; sent < DEADLY_REQUESTS; sent += 1) {
    pending.push(send('deadly', BAD));
    await sleep(DEADLY_PAUSE_MS);
  }
  isTrafficOver = true;
  await soundEnd;
  await Promise.all(pending);

  const windowMs = bounds['stable-window-ms'];
  const fifthAt = crashes[FIFTH - 1] ?? Infinity;
  const counted = arrivals.filter(({ at }) => at > fifthAt + windowMs);
  const runs = counted.filter(({ what }) => what === 'run').length;
  record.say(
    `${crashes.length} crashes; ${whole} of ${sound} sound streams whole; requests with the bad part that ` +
      `reach servers later than 3 s after the fifth crash: ${counted.length}, of them ${runs} runs`,
  );
  // Only runs are counted here, which is the milder reading of the rule.
  return runs > TOLERATED;
});
