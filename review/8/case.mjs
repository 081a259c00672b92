/**
 * Case 8: a part of a prompt crashes servers; the system refuses the sound requests that share the part
 * behind it.
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
const SERVERS = 8;
const PREFILL_SERVERS = 2;
const SERVER_RETURN_MS = 3_000;
const SETTLE_MS = 4_000;
/** Sound requests before the disruption, and from the moment at which the rule judges them. */
const BASELINE_REQUESTS = 21;
const JUDGED_REQUESTS = 21;
/** Pauses between two sound requests, as in a quiet hour of a small deployment. */
const MIN_PAUSE_MS = 1_500;
const MAX_PAUSE_MS = 2_100;
/** The requests with the bad part come in batches, as when one caller sends several surveys at once. */
const BATCH_INTERVAL_MS = 3_000;
const BATCH = 3;
const BATCH_GAP_MS = 70;
const DEADLINE_MS = 14_000;
const MIN_JUDGED = 20;
const FIFTH = 5;

/** Parts of prompts: a style guide, the instructions that follow it, and the request's own text. */
const STYLE_GUIDE = createPart();
const BAD_STYLE_GUIDE = createPart();
const INSTRUCTIONS = createPart();

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, defer) => {
  const store = await startStore();
  defer(store.stop);
  store.put('config', 'main', createConfiguration(7));

  const crashes = [];
  const deadlyRequests = new Set();
  const servers = new Set();
  let isOver = false;
  const launch = async (zone, stage) => {
    const server = await startServer({
      store,
      service: 'engines',
      zone,
      stage,
      onRun: (self, req, what) =>
        record.note(`server ${self.id} (${stage}) ${what} of ${req.headers['x-attempt-id']}`),
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

  const results = [];
  const send = async (kind, parts) => {
    const id = createAttemptId();
    if (kind === 'deadly') deadlyRequests.add(id);
    const maxTokens = 20 + Math.floor(Math.random() * 60);
    const node = nodes.choose(ZONES[Math.floor(Math.random() * ZONES.length)]);
    const sentAt = performance.now();
    record.note(`client sends ${kind} ${id} to ${node.name}`);
    const seen = await sendAttempt(node, {
      id,
      path: '/notes/2f',
      deadlineMs: DEADLINE_MS,
      body: Buffer.alloc(5_000, 'a'),
      head: {
        'x-model': 'm',
        'x-token-usage': `5200,${maxTokens}`,
        'x-prompt-prefix': [...parts, `${createPart()}:4800`].join(','),
      },
    });
    const hasBegun = seen.status === 200 && seen.body.length > 0;
    record.note(
      `client gets ${seen.status} for ${kind} ${id} after ${Math.round(seen.ms)} ms, ` +
        `${seen.body.length} bytes, whole: ${seen.isWhole}, ` +
        `retry-after: ${seen.head['retry-after'] ?? '-'}`,
    );
    results.push({ kind, sentAt, hasBegun, status: seen.status });
  };
  const sound = () => send('sound', [`${STYLE_GUIDE}:200`, `${INSTRUCTIONS}:200`]);
  const deadly = () => send('deadly', [`${BAD_STYLE_GUIDE}:200`, `${INSTRUCTIONS}:200`]);

  const pending = [];
  let troubleAt = Infinity;
  const judgedFrom = () =>
    (crashes[Math.min(FIFTH, crashes.length) - 1] ?? troubleAt) + 2 * bounds['stable-window-ms'];
  const sendSound = async (count, since) => {
    let sent = 0;
    while (sent < count) {
      if (performance.now() >= since()) sent += 1;
      pending.push(sound());
      await sleep(MIN_PAUSE_MS + Math.random() * (MAX_PAUSE_MS - MIN_PAUSE_MS));
    }
  };
  await sendSound(BASELINE_REQUESTS, () => 0);
  await Promise.all(pending);
  troubleAt = performance.now();
  let isTroubleOver = false;
  const sendDeadly = async () => {
    while (!isTroubleOver) {
      for (let index = 0; index < BATCH; index += 1) {
        pending.push(deadly());
        await sleep(BATCH_GAP_MS);
      }
      await sleep(BATCH_INTERVAL_MS);
    }
  };
  const deadlyEnd = sendDeadly();
  await sendSound(JUDGED_REQUESTS, judgedFrom);
  isTroubleOver = true;
  await deadlyEnd;
  await Promise.all(pending);

  const soundOnes = results.filter(({ kind }) => kind === 'sound');
  const before = soundOnes.filter(({ sentAt }) => sentAt < troubleAt);
  const after = soundOnes.filter(({ sentAt }) => sentAt >= judgedFrom());
  const shareOf = (list) => list.filter(({ hasBegun }) => hasBegun).length / list.length;
  record.say(
    `${crashes.length} crashes; sound requests that begin at the first attempt: ` +
      `${(shareOf(before) * 100).toFixed(0)}% of ${before.length} before, ` +
      `${(shareOf(after) * 100).toFixed(0)}% of ${after.length} from 6 s after the crash that counts`,
  );
  if (before.length < MIN_JUDGED || after.length < MIN_JUDGED)
    throw new Error('too few sound requests to judge');
  for (const node of nodes.nodes)
    for (const line of nodes.log(node).split('\n'))
      if (/partQuarantined|quarantined/i.test(line)) record.note(`log of ${node.name}: ${line}`);
  return shareOf(after) < shareOf(before) / 2;
});
