/**
 * Two rolls overlap, so two of the three machines of a zone stop at a time. The platform goes on sending
 * connections to all three. A stopping machine takes new streams that it can't finish, and cuts them.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { hasTrouble, runCase } from '../lib/case.mjs';
import { sleep } from '../lib/http.mjs';
import { startEngine, startPlainServer } from '../lib/servers.mjs';
import { PATHS, sendRequest, startSite } from '../lib/site.mjs';

/** Seed of the moments at which clients ask. */
const SEED = 3;
const ROUNDS = 5;
const ROUND_MS = 18_000;
const GRACE_MS = 8_000;
/** Requests that were sent later than this after the SIGTERM are not excused. */
const EXCUSED_MS = 3_000;
const SECOND_ROLL_MS = 200;
/** Requests a second of the clients of almaty-a, and the part of them that are streams, as in the site file. */
const REQUESTS_PER_S = 9.34;
const STREAM_SHARE = 0.4;
/** Clients of the zone; the platform chooses a machine by a hash of the client, so the shares differ. */
const MACHINE_OF_CLIENT = [0, 1, 0, 1, 0, 1, 0, 1, 0, 2];
const STREAM = { path: PATHS.stream, usage: '5000,1000', deadlineMs: 14_000, patienceMs: 3_600 };
const BOOKING = { path: PATHS.booking, deadlineMs: 1_500, patienceMs: 1_500 };

/** A reproducible random number from 0 to 1. */
function createRandom(seed) {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) % 2 ** 32;
    return ((state + 2 ** 32) % 2 ** 32) / 2 ** 32;
  };
}

/** Asks each machine once a second whether it is ready; two misses take it out of rotation. */
function startBalancer(site, stops) {
  const misses = site.machines.map(() => 0);
  let isOver = false;
  stops.push(() => {
    isOver = true;
  });
  const watch = async (machine, index) => {
    while (!isOver) {
      const isReady = await site.isReady(machine);
      misses[index] = isReady ? 0 : misses[index] + 1;
      await sleep(1_000);
    }
  };
  site.machines.forEach(watch);
  return (client) => {
    const inRotation = site.machines.filter((_, index) => misses[index] < 2);
    if (inRotation.length === 0) return undefined;
    // With fewer than half of a zone's machines in rotation the platform uses all of them.
    const isShort = inRotation.length * 2 < site.machines.length;
    const usable = isShort ? site.machines : inRotation;
    return usable[MACHINE_OF_CLIENT[client] % usable.length];
  };
}

await runCase(import.meta.url, async (directory, stops) => {
  const site = await startSite({ directory, zones: ['almaty-a', 'almaty-a', 'almaty-a'] });
  stops.push(site.stop);
  const { store, machines } = site;
  const ran = new Set();
  const record = (what, details) => {
    if (what === 'run') ran.add(details.request);
    site.record(what, details);
  };
  const common = { store, zone: 'almaty-a', record };
  const engine = {
    ...common,
    service: 'engines',
    memory: 59_819,
    slots: 64,
    eventMs: 90,
    events: () => 70,
  };
  const servers = [
    await startEngine({ ...engine, stage: 'prefill' }),
    await startEngine({ ...engine, stage: 'decode' }),
    await startEngine({ ...engine, stage: 'decode' }),
    await startEngine({ ...engine, stage: 'decode' }),
    await startEngine({ ...engine, stage: 'decode' }),
    await startPlainServer({ ...common, service: 'desk', workMs: 15 }),
  ];
  for (const { stop } of servers) stops.push(stop);
  if (!(await site.waitUntilReady())) throw new Error('the machines are not ready');
  await sleep(1_500);

  const choose = startBalancer(site, stops);
  const stoppedAt = new Map();
  const terminate = (machine) => {
    const { child } = machine;
    machine.onExit = () => {
      stoppedAt.delete(machine);
      machine.start();
    };
    child.kill('SIGTERM');
    stoppedAt.set(machine, performance.now());
    site.record('SIGTERM', { machine: machine.name });
    setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
  };

  const asked = [];
  const random = createRandom(SEED);
  const until = performance.now() + ROUNDS * ROUND_MS;
  const clients = async () => {
    while (performance.now() < until) {
      const machine = choose(Math.floor(random() * MACHINE_OF_CLIENT.length));
      const kind = random() < STREAM_SHARE ? STREAM : BOOKING;
      if (machine !== undefined) {
        const afterTermMs = performance.now() - (stoppedAt.get(machine) ?? Infinity);
        const seen = sendRequest(site, machine, kind);
        asked.push(seen.then((result) => ({ ...result, kind, afterTermMs })));
      }
      await sleep((-Math.log(1 - random()) * 1_000) / REQUESTS_PER_S);
    }
  };
  const rolls = async () => {
    for (let round = 0; round < ROUNDS && hasTrouble; round += 1) {
      await sleep(1_000);
      terminate(machines[0]);
      await sleep(SECOND_ROLL_MS);
      terminate(machines[1]);
      await sleep(ROUND_MS - 1_000 - SECOND_ROLL_MS);
    }
  };
  await Promise.all([clients(), rolls()]);
  const seen = await Promise.all(asked);
  const late = seen.filter(({ afterTermMs }) => afterTermMs > EXCUSED_MS);
  const taken = late.filter(({ request, kind }) => kind === STREAM && ran.has(request));
  const lost = taken.filter(({ isWhole, error }) => !isWhole && error !== 'client left');
  for (const { request, machine, afterTermMs, events, ms } of lost)
    site.record('lost', { request, machine, afterTermMs: Math.round(afterTermMs), events, ms });
  const whole = seen.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  if (whole < seen.length / 10) throw new Error(`only ${whole} of ${seen.length} were served`);
  return {
    isBroken: lost.length > 0,
    summary:
      `${seen.length} requests, ${whole} served; ${taken.length} streams taken later than ` +
      `${EXCUSED_MS} ms after SIGTERM and run, ${lost.length} of them cut`,
  };
});
