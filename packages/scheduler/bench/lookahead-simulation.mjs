/**
 * Deterministic simulation of one cell: when may a prefill start?
 *   reserve  its decode slot is free and reserved (what the scheduler does)
 *   fixed    its decode engine, named in the grant, is expected to have a free slot by its end
 *   late     some engine of the cell is expected to, and is named when the prefill ends
 * Run after `npx tsc -b`: node packages/scheduler/bench/lookahead-simulation.mjs [seconds]
 */
// Events of the simulation refer to each other.
/* eslint no-use-before-define: ["error", { "functions": false }] */
import process from 'node:process';
import { createRandom } from '@hibiscusbank/core';

const PREFILL_ENGINES = 4;
const DECODE_ENGINES = 8;
const SLOTS = 20;
const KV_KEEP_MS = 800;
const FIRST_TOKEN_MS = 990;
const PATIENCE_MS = 5_000;
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
      serveParked(engine);
      dispatch();
    });
  };
  const pickFreest = () => engines.reduce((a, b) => (b.used < a.used ? b : a));
  function serveParked(engine) {
    const parked = variant === 'late' ? engines[0].parked : engine.parked;
    while (engine.used < SLOTS && parked.length > 0) startDecode(engine, parked.shift());
  }
  const park = (list, req) => {
    list.push(req);
    clock.at(clock.now() + KV_KEEP_MS, () => {
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
      const target = variant === 'late' ? pickFreest() : engine;
      if (target.used < SLOTS) startDecode(target, req);
      else park(variant === 'late' ? engines[0].parked : engine.parked, req);
    }
    dispatch();
  };
  /** Slots that prefills under way or parked will need, against those expected to be free. */
  const hasRoom = (list, ms) => {
    const used = list.reduce((sum, e) => sum + e.used, 0);
    const claimed = list.reduce((sum, e) => sum + e.expected + e.parked.length, 0);
    const free = list.length * SLOTS - used + (used * ms) / MEAN_HOLD_MS;
    return free >= claimed + 1;
  };
  const chooseEngine = (ms) => {
    if (variant === 'reserve') {
      const engine = pickFreest();
      return engine.used < SLOTS ? engine : undefined;
    }
    if (variant === 'late') return hasRoom(engines, ms) ? engines[0] : undefined;
    const claim = (e) => e.used + e.expected + e.parked.length;
    const engine = engines.reduce((a, b) => (claim(b) < claim(a) ? b : a));
    return hasRoom([engine], ms) ? engine : undefined;
  };
  function dispatch() {
    for (;;) {
      while (queue.length > 0 && clock.now() - queue[0].arrivedAt > PATIENCE_MS) {
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
    // As the scheduler does: what cannot meet the target is refused while others can.
    const isHopeless = queue.length / (CAPACITY_PER_MS * FIRST_TOKEN_MS) > 0.5;
    if (isHopeless) count.refused += 1;
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
