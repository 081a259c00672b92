/**
 * Simulates one cell to compare three rules for the start of a prefill. The prefill starts when
 *   reserve  a decode slot is free, which is then reserved (the rule of the scheduler)
 *   fixed    the decode engine named in the grant is expected to have a free slot at its end
 *   late     any engine of the cell is expected to have one; the engine is chosen at its end
 * A prefilled request that finds no free slot is parked: its KV cache is kept for KV_RETENTION_MS.
 * Run after `npx tsc -b`: node packages/scheduler/bench/lookahead-simulation.mjs [seconds]
 */
// The event handlers of the simulation call each other.
/* eslint no-use-before-define: ["error", { "functions": false }] */
import process from 'node:process';
import { createRandom } from '@hibiscusbank/core';

const PREFILL_ENGINES = 4;
const DECODE_ENGINES = 8;
const SLOTS = 20;
const KV_RETENTION_MS = 800;
const FIRST_TOKEN_MS = 990;
const MAX_WAIT_MS = 5_000;
const MEAN_HOLD_MS = 8_000;
const MEAN_PREFILL_MS = 150;
const CAPACITY_PER_MS = (DECODE_ENGINES * SLOTS) / MEAN_HOLD_MS;
const SIMULATED_MS = Number(process.argv[2] ?? 600) * 1_000;

function createClock() {
  const events = [];
  let now = 0;
  return {
    now: () => now,
    at: (time, run) => {
      let low = 0;
      let high = events.length;
      while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if (events[middle].time > time) low = middle + 1;
        else high = middle;
      }
      events.splice(low, 0, { time, run });
    },
    runUntil: (end) => {
      while (events.length > 0 && events.at(-1).time <= end) {
        const event = events.pop();
        now = event.time;
        event.run();
      }
    },
  };
}

function simulate(variant, load, seed) {
  const random = createRandom(seed);
  const exponential = (mean) => -mean * Math.log(1 - random.next());
  const clock = createClock();
  const queue = [];
  const prefills = Array.from({ length: PREFILL_ENGINES }, () => false);
  const engines = Array.from({ length: DECODE_ENGINES }, () => ({
    used: 0,
    expected: 0,
    parked: [],
  }));
  const count = { arrived: 0, prefills: 0, wasted: 0, good: 0, refused: 0 };

  const startDecode = (engine, req) => {
    engine.used += 1;
    if (clock.now() - req.arrivedAt <= FIRST_TOKEN_MS) count.good += 1;
    clock.at(clock.now() + exponential(MEAN_HOLD_MS), () => {
      engine.used -= 1;
      startParked(engine);
      dispatch();
    });
  };
  const pickLeastUsed = () => engines.reduce((a, b) => (b.used < a.used ? b : a));
  function startParked(engine) {
    const parked = variant === 'late' ? engines[0].parked : engine.parked;
    while (engine.used < SLOTS && parked.length > 0) startDecode(engine, parked.shift());
  }
  const park = (list, req) => {
    list.push(req);
    clock.at(clock.now() + KV_RETENTION_MS, () => {
      const index = list.indexOf(req);
      if (index < 0) return;
      list.splice(index, 1);
      count.wasted += 1;
      queue.unshift(req);
      dispatch();
    });
  };
  const finishPrefill = (prefill, engine, req) => {
    prefills[prefill] = false;
    if (variant === 'reserve') {
      engine.used -= 1;
      startDecode(engine, req);
    } else {
      engine.expected -= 1;
      const target = variant === 'late' ? pickLeastUsed() : engine;
      if (target.used < SLOTS) startDecode(target, req);
      else park(variant === 'late' ? engines[0].parked : engine.parked, req);
    }
    dispatch();
  };
  /** Returns whether a slot is expected to be free after `ms` that no other prefill will need. */
  const hasExpectedSlot = (list, ms) => {
    const used = list.reduce((sum, e) => sum + e.used, 0);
    const claimed = list.reduce((sum, e) => sum + e.expected + e.parked.length, 0);
    const free = list.length * SLOTS - used + (used * ms) / MEAN_HOLD_MS;
    return free >= claimed + 1;
  };
  const chooseEngine = (ms) => {
    if (variant === 'reserve') {
      const engine = pickLeastUsed();
      return engine.used < SLOTS ? engine : undefined;
    }
    if (variant === 'late') return hasExpectedSlot(engines, ms) ? engines[0] : undefined;
    const claim = (e) => e.used + e.expected + e.parked.length;
    const engine = engines.reduce((a, b) => (claim(b) < claim(a) ? b : a));
    return hasExpectedSlot([engine], ms) ? engine : undefined;
  };
  function dispatch() {
    for (;;) {
      while (queue.length > 0 && clock.now() - queue[0].arrivedAt > MAX_WAIT_MS) {
        queue.shift();
        count.refused += 1;
      }
      const prefill = prefills.indexOf(false);
      if (queue.length === 0 || prefill < 0) return;
      const engine = chooseEngine(queue[0].prefillMs);
      if (engine === undefined) return;
      const req = queue.shift();
      prefills[prefill] = true;
      count.prefills += 1;
      if (variant === 'reserve') engine.used += 1;
      else engine.expected += 1;
      clock.at(clock.now() + req.prefillMs, () => finishPrefill(prefill, engine, req));
    }
  }
  const arrive = () => {
    count.arrived += 1;
    // Like the scheduler, refuses requests that cannot meet the target while others can.
    const willMissTarget = queue.length / (CAPACITY_PER_MS * FIRST_TOKEN_MS) > 0.5;
    if (willMissTarget) count.refused += 1;
    else queue.push({ arrivedAt: clock.now(), prefillMs: 30 + exponential(MEAN_PREFILL_MS - 30) });
    clock.at(clock.now() + exponential(1 / (CAPACITY_PER_MS * load)), arrive);
    dispatch();
  };
  arrive();
  clock.runUntil(SIMULATED_MS);
  return count;
}

const SEEDS = [1, 2, 3];
const rows = [];
for (const load of [0.9, 1.3]) {
  for (const variant of ['reserve', 'fixed', 'late']) {
    const counts = SEEDS.map((seed) => simulate(variant, load, seed));
    const sum = (key) => counts.reduce((total, c) => total + c[key], 0);
    rows.push({
      load,
      variant,
      wastedPercent: Math.round((sum('wasted') / sum('prefills')) * 10_000) / 100,
      goodputPerS: Math.round((sum('good') / SEEDS.length / SIMULATED_MS) * 100_000) / 100,
      refusedPercent: Math.round((sum('refused') / sum('arrived')) * 1_000) / 10,
    });
  }
}
for (const row of rows) process.stdout.write(`${JSON.stringify(row)}\n`);
