/**
 * Case 8: a part of a prompt crashes servers; the system refuses the sound requests that share the part
 * behind it.
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
const MIN_JUDGED = 20;
const FIFTH = 5;

/** Parts of prompts: a style guide, the instructions that follow it, and the request's own text. */
const STYLE_GUIDE = createPart();
const BAD_STYLE_GUIDE = createPart();
const INSTRUCTIONS = createPart();

const createPrompt = (first) => [`${first}:200`, `${INSTRUCTIONS}:200`, `${createPart()}:4800`];

await runCase(RECORD, async (record, defer) => {
  const { nodes, crashes, send } = await startEngineSite(record, defer, {
    prefillServers: 2,
    decodeServers: 6,
    canCrash: hasTrouble,
  });
  const pending = [];
  let troubleAt = Infinity;
  const judgedFrom = () =>
    (crashes[Math.min(FIFTH, crashes.length) - 1] ?? troubleAt) + 2 * bounds['stable-window-ms'];
  const sendSound = async (count, since) => {
    let sent = 0;
    while (sent < count) {
      if (performance.now() >= since()) sent += 1;
      pending.push(send('sound', createPrompt(STYLE_GUIDE)));
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
        pending.push(send('deadly', createPrompt(BAD_STYLE_GUIDE)));
        await sleep(BATCH_GAP_MS);
      }
      await sleep(BATCH_INTERVAL_MS);
    }
  };
  const deadlyEnd = sendDeadly();
  await sendSound(JUDGED_REQUESTS, judgedFrom);
  isTroubleOver = true;
  await deadlyEnd;
  const results = await Promise.all(pending);

  const sound = results.filter(({ kind }) => kind === 'sound');
  const before = sound.filter(({ sentAt }) => sentAt < troubleAt);
  const after = sound.filter(({ sentAt }) => sentAt >= judgedFrom());
  const shareOf = (list) => list.filter(({ hasBegun }) => hasBegun).length / list.length;
  const percentOf = (list) => `${(shareOf(list) * 100).toFixed(0)}% of ${list.length}`;
  record.say(
    `${crashes.length} crashes; sound requests that begin at the first attempt: ${percentOf(before)} before, ` +
      `${percentOf(after)} from 6 s after the crash that counts`,
  );
  if (before.length < MIN_JUDGED || after.length < MIN_JUDGED)
    throw new Error('too few sound requests to judge');
  for (const node of nodes.nodes)
    for (const line of nodes.log(node).split('\n'))
      if (line.includes('part quarantined')) record.note(`log of ${node.name}: ${line}`);
  return shareOf(after) < shareOf(before) / 2;
});
