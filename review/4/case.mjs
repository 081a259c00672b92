/**
 * A server in trouble sends bytes that are no answer, without end, in the body of a 500 answer and in
 * chunks of one byte. The process of the router that reads it runs out of heap and ends.
 */
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { hasTrouble, runCase } from '../lib/case.mjs';
import { createEpisodes } from '../lib/episodes.mjs';
import { sleep } from '../lib/http.mjs';
import { startEngine } from '../lib/servers.mjs';
import { PATHS, sendRequest, startSite } from '../lib/site.mjs';

const PLAY_MS = 90_000;
/** Time after which the platform starts a process again that has ended. */
const RESTART_MS = 1_000;
/** Streams a second, as on the sheet of werkbank-at. */
const STREAMS_PER_S = 12;
/** Share of its answers that the faulty server spoils: the default of `garble`. */
const SPOILED_SHARE = 0.02;
/** Ends of a process by itself from which its machine counts, and machines that break the rule. */
const ENDS = 3;
const MACHINES = 2;
const STREAM = { path: PATHS.stream, usage: '5000,200', deadlineMs: 14_000, patienceMs: 3_600 };
const BYTES = Buffer.from('1\r\nx\r\n'.repeat(10_000));

/** Answers with a body that never ends, until the caller closes. */
function answerWithoutEnd(req, res, id) {
  const { socket } = res;
  socket.write(
    'HTTP/1.1 500 Internal Server Error\r\n' +
      `X-Attempt-Id: ${req.headers['x-attempt-id']}\r\nX-Server-Stamp: ${id}.0\r\n` +
      'Content-Type: application/octet-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  const write = () => {
    while (!socket.destroyed && socket.write(BYTES));
  };
  socket.on('error', () => {});
  socket.on('drain', write);
  write();
}

await runCase(import.meta.url, async (directory, stops) => {
  const site = await startSite({ directory, zones: ['almaty-a', 'almaty-a'] });
  stops.push(site.stop);
  const { store, machines, record } = site;
  const episodes = createEpisodes({ share: SPOILED_SHARE, isActive: hasTrouble });
  const answer = ({ kind, req, res, id }) => {
    if (kind !== 'run') return false;
    const owner = site.owners.get(req.headers['x-attempt-id']);
    // Which of its answers a faulty server spoils is not set; each machine gets its part.
    if (!episodes.isDue(owner.ends < ENDS)) return false;
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
  const engines = [
    await startEngine({ ...engine, stage: 'prefill' }),
    await startEngine({ ...engine, stage: 'decode' }),
    await startEngine({ ...engine, stage: 'decode', answer }),
  ];
  for (const { stop } of engines) stops.push(stop);
  if (!(await site.waitUntilReady())) throw new Error('the machines are not ready');
  await sleep(1_500);
  for (const machine of machines) {
    machine.onExit = (code, signal) => {
      machine.ends += 1;
      record('process ended by itself', { machine: machine.name, code, signal });
      setTimeout(machine.start, RESTART_MS);
    };
  }

  const asked = [];
  const isOver = () => machines.filter(({ ends }) => ends >= ENDS).length >= MACHINES;
  const until = performance.now() + PLAY_MS;
  for (let count = 0; performance.now() < until && !isOver(); count += 1) {
    asked.push(sendRequest(site, machines[count % machines.length], STREAM));
    await sleep(1_000 / STREAMS_PER_S);
  }
  const seen = await Promise.all(asked);
  const whole = seen.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  const cut = seen.filter(({ isWhole, error }) => !isWhole && error !== 'ECONNREFUSED').length;
  if (whole < seen.length / 10) throw new Error(`only ${whole} of ${seen.length} were served`);
  const ends = machines.map(({ name, ends: count }) => `${name} ${count}`).join(', ');
  return {
    isBroken: isOver(),
    summary: `${seen.length} streams, ${whole} whole, ${cut} cut; ${episodes.describe()}; processes ended by themselves: ${ends}`,
  };
});
