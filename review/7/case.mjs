/**
 * Case 7: a part of a prompt crashes servers; requests that hold it behind 32 other parts are never refused.
 */
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
/** Requests with the bad part come one by one. */
const DEADLY_PAUSE_MS = 2_000;
const DEADLY_REQUESTS = 16;
/** Parts of a long session before the bad one, each of its own. */
const EARLIER_PARTS = Number(process.env.EARLIER_PARTS ?? 32);
const FIFTH = 5;
const TOLERATED = 3;

const BAD = createPart();

/** Returns a prompt of a long session: earlier parts, the given one, and the request's own text. */
function createPrompt(part) {
  const earlier = Array.from({ length: EARLIER_PARTS }, createPart);
  return [...earlier, part, createPart()].map((id) => `${id}:100`);
}

await runCase(RECORD, async (record, defer) => {
  const site = await startEngineSite(record, defer, {
    prefillServers: 2,
    decodeServers: 6,
    canCrash: hasTrouble,
  });
  const { crashes, arrivals, send } = site;
  const pending = [];
  let isTrafficOver = false;
  const soundTraffic = async () => {
    while (!isTrafficOver) {
      pending.push(send('sound', createPrompt(createPart())));
      await sleep(SOUND_PAUSE_MS);
    }
  };
  const soundEnd = soundTraffic();
  await sleep(CALM_MS);
  for (let sent = 0; sent < DEADLY_REQUESTS; sent += 1) {
    pending.push(send('deadly', createPrompt(BAD)));
    await sleep(DEADLY_PAUSE_MS);
  }
  isTrafficOver = true;
  await soundEnd;
  const results = await Promise.all(pending);

  const sound = results.filter(({ kind }) => kind === 'sound');
  const fifthAt = crashes[FIFTH - 1] ?? Infinity;
  const counted = arrivals.filter(({ at }) => at > fifthAt + bounds['stable-window-ms']);
  const runs = counted.filter(({ what }) => what === 'run').length;
  record.say(
    `${crashes.length} crashes; ${sound.filter(({ isWhole }) => isWhole).length} of ${sound.length} sound ` +
      'streams whole; requests with the bad part that reach servers later than 3 s after the fifth crash: ' +
      `${counted.length}, of them ${runs} runs`,
  );
  // Only runs are counted here, which is the milder reading of the rule.
  return runs > TOLERATED;
});
