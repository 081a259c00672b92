/**
 * Case 9: a part of a prompt crashes servers and is refused; after all processes were killed at the same
 * moment, requests with that part reach servers again.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { runCase } from '../lib-2/case.mjs';
import { createPart } from '../lib-2/clients.mjs';
import { startEngineSite } from '../lib-2/engine-site.mjs';
import { bounds } from '../lib-2/nodes.mjs';

/** What was sent, answered and run. */
const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
/** Whether the case runs with its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const SOUND_PAUSE_MS = 400;
const CALM_MS = 2_000;
/** The first batch is larger, so that the rule's five crashes come before the part is refused. */
const FIRST_BATCH = 8;
const FIRST_BATCH_GAP_MS = 10;
const BATCH = 5;
const BATCH_GAP_MS = 60;
const BATCH_INTERVAL_MS = 3_000;
const BATCHES_BEFORE = 3;
const BATCHES_AFTER = 4;
/** Time from the kill of all processes to the next request with the bad part. */
const QUIET_MS = 7_000;
const READY_MS = 10_000;
const FIFTH = 5;
const TOLERATED = 3;

const SHARED = createPart();
const SOUND = createPart();
const BAD = createPart();

const createPrompt = (part) => [`${SHARED}:200`, `${part}:200`, `${createPart()}:4800`];

await runCase(RECORD, async (record, defer) => {
  const site = await startEngineSite(record, defer, {
    prefillServers: 3,
    decodeServers: 10,
    canCrash: true,
  });
  const { nodes, crashes, arrivals, startedAt, send } = site;
  const pending = [];
  let isTrafficOver = false;
  const soundTraffic = async () => {
    while (!isTrafficOver) {
      pending.push(send('sound', createPrompt(SOUND)));
      await sleep(SOUND_PAUSE_MS);
    }
  };
  const sendBatch = async (count, gapMs) => {
    for (let index = 0; index < count; index += 1) {
      pending.push(send('deadly', createPrompt(BAD)));
      await sleep(gapMs);
    }
    await sleep(BATCH_INTERVAL_MS);
  };
  const soundEnd = soundTraffic();
  await sleep(CALM_MS);
  await sendBatch(FIRST_BATCH, FIRST_BATCH_GAP_MS);
  for (let batch = 1; batch < BATCHES_BEFORE; batch += 1) await sendBatch(BATCH, BATCH_GAP_MS);
  const crashesBefore = crashes.length;
  const killedAt = performance.now();
  if (hasTrouble) for (const node of nodes.nodes) nodes.signal(node, 'SIGKILL');
  await sleep(QUIET_MS);
  if (!(await nodes.waitUntilReady(READY_MS))) throw new Error('the nodes are not ready again');
  for (let batch = 0; batch < BATCHES_AFTER; batch += 1) await sendBatch(BATCH, BATCH_GAP_MS);
  isTrafficOver = true;
  await soundEnd;
  const results = await Promise.all(pending);

  if (crashesBefore < FIFTH) throw new Error(`only ${crashesBefore} crashes before the kill`);
  const windowMs = bounds['stable-window-ms'];
  const fifthAt = crashes[FIFTH - 1];
  const isCounted = ({ at, id }) => at > fifthAt + windowMs && at > startedAt.get(id) + windowMs;
  const counted = arrivals.filter(isCounted);
  const runs = counted.filter(({ what }) => what === 'run').length;
  const whole = results.filter(({ kind, isWhole }) => kind === 'sound' && isWhole).length;
  record.say(
    `${crashes.length} crashes, ${crashesBefore} of them before the processes were killed; ` +
      `${whole} sound streams whole; requests with the bad part that reach servers from machines in ` +
      `touch later than 3 s after the fifth crash: ${counted.length}, of them ${runs} runs ` +
      `(the fifth crash was ${((killedAt - fifthAt) / 1_000).toFixed(1)} s before the kill)`,
  );
  // Only runs are counted here, which is the milder reading of the rule.
  return runs > TOLERATED;
});
