/**
 * A server in trouble sends bytes that are no answer, without end, in the body of a stream and in
 * chunks of one byte. The machine that reads it answers nobody for seconds.
 */
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { hasTrouble, runCase } from '../lib/case.mjs';
import { createEpisodes } from '../lib/episodes.mjs';
import { sleep } from '../lib/http.mjs';
import { startEngine, startPlainServer } from '../lib/servers.mjs';
import { PATHS, sendRequest, startSite } from '../lib/site.mjs';

const PLAY_MS = 50_000;
const STREAMS_PER_S = 12;
const BOOKINGS_PER_S = 10;
/** Share of its answers that the faulty server spoils: the default of `garble`. */
const SPOILED_SHARE = 0.02;
/** `timeout-ms` of the bookings' route, and the deadline of their clients on the sheet of werkbank-at. */
const TIMEOUT_MS = 1_000;
const DEADLINE_MS = 1_500;
/** A request is held too long half a second after its route's time; so many break the rule. */
const LATE_MS = 500;
const MIN_HELD = 8;
const HELD_SHARE = 0.25;
const STREAM = { path: PATHS.stream, usage: '5000,200', deadlineMs: 14_000, patienceMs: 3_600 };
const BOOKING = { path: PATHS.booking, deadlineMs: DEADLINE_MS, patienceMs: 10_000 };
const BYTES = Buffer.from('1\r\nx\r\n'.repeat(10_000));

/** Begins a stream whose body never ends and holds no event, until the caller closes. */
function answerWithoutEnd(req, res, id) {
  const { socket } = res;
  socket.write(
    'HTTP/1.1 200 OK\r\n' +
      `X-Attempt-Id: ${req.headers['x-attempt-id']}\r\nX-Server-Stamp: ${id}.0\r\n` +
      'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  const write = () => {
    while (!socket.destroyed && socket.write(BYTES));
  };
  socket.on('error', () => {});
  socket.on('drain', write);
  write();
}

await runCase(import.meta.url, async (directory, stops) => {
  const site = await startSite({
    directory,
    zones: ['almaty-a', 'almaty-a'],
    bookingTimeoutMs: TIMEOUT_MS,
  });
  stops.push(site.stop);
  const { store, machines, record } = site;
  const episodes = createEpisodes({ share: SPOILED_SHARE, isActive: hasTrouble });
  const answer = ({ kind, req, res, id }) => {
    if (kind !== 'run' || !episodes.isDue()) return false;
    record('answer without end', { server: id, request: req.headers['x-attempt-id'] });
    answerWithoutEnd(req, res, id);
    return true;
  };
  const engine = {
    store,
    service: 'engines',
    zone: 'almaty-a',
    memory: 59_819,
    slots: 64,
    eventMs: 40,
    events: () => 12,
    record,
  };
  const desk = { store, service: 'desk', zone: 'almaty-a', workMs: 15, record };
  const servers = [
    await startEngine({ ...engine, stage: 'prefill' }),
    await startEngine({ ...engine, stage: 'decode' }),
    await startEngine({ ...engine, stage: 'decode', answer }),
    await startPlainServer(desk),
    await startPlainServer(desk),
  ];
  for (const { stop } of servers) stops.push(stop);
  if (!(await site.waitUntilReady())) throw new Error('the machines are not ready');
  await sleep(1_500);
  const ended = [];
  for (const machine of machines) machine.onExit = () => ended.push(machine.name);

  const streams = [];
  const bookings = [];
  const until = performance.now() + PLAY_MS;
  const play = async (list, kind, perSecond) => {
    for (let count = 0; performance.now() < until; count += 1) {
      list.push(sendRequest(site, machines[count % machines.length], kind));
      await sleep(1_000 / perSecond);
    }
  };
  await Promise.all([
    play(streams, STREAM, STREAMS_PER_S),
    play(bookings, BOOKING, BOOKINGS_PER_S),
  ]);
  const seen = await Promise.all(bookings);
  await Promise.all(streams);
  const longer = seen.filter(({ ms }) => ms > TIMEOUT_MS);
  const held = longer.filter(({ ms }) => ms > TIMEOUT_MS + LATE_MS);
  const served = seen.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  for (const { request, machine, ms } of held) record('held too long', { request, machine, ms });
  if (ended.length > 0) throw new Error(`processes ended: ${ended.join(', ')}`);
  if (served < seen.length / 10) throw new Error(`only ${served} of ${seen.length} were served`);
  const longestMs = Math.max(...seen.map(({ ms }) => ms));
  return {
    isBroken: held.length >= MIN_HELD && held.length > longer.length * HELD_SHARE,
    summary:
      `${seen.length} bookings, ${served} served, ${longer.length} unanswered at ${TIMEOUT_MS} ms, ` +
      `${held.length} of them ${LATE_MS} ms later; the longest took ${longestMs} ms; ` +
      `${episodes.describe()}`,
  };
});
