/** Takes a data centre out of service under load and returns it. */
import { configurationKeys } from '@hibiscusbank/configuration';
import { sleep } from '@hibiscusbank/core';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { LOAD_DEFAULTS } from '@hibiscusbank/standins';
import { watchArrivals } from '../harness/arrival-watch.js';
import { startWindowedLoad } from '../harness/load-windows.js';
import type { WindowedLoad } from '../harness/load-windows.js';
import { keyOf } from '../harness/site.js';
import { readLoadAverage, round } from '../harness/statistics.js';
import { BENCH_ORGANISATION } from '../harness/tables.js';
import { readViolations } from '../harness/violations.js';
import type { Bench } from '../types.js';
import { summariseZone } from './zone-figures.js';
import type { ZoneTimes } from './zone-figures.js';
import { computeZoneCapacity, createZoneRoutes, DATA_CENTRES, startZoneSite } from './zone-site.js';
import type { ZoneSite } from './zone-site.js';

const OUT = DATA_CENTRES[1];
/** Share of the whole capacity: two of three data centres carry it at 90%. */
const LOAD_SHARE = 0.6;
const MS_PER_S = 1_000;
const WARM_UP_S = 4;
/** Start of the site and end of the last answers. */
const OVERHEAD_S = 12;
const DRAIN_S = 4;
const MIN_MEASURED_S = 9;
const BEFORE_SHARE = 0.25;
const OUT_SHARE = 0.45;
const DRAIN_BOUND_MS = 5_000;

const drainKey = configurationKeys.drain('dc', OUT);

async function takeOut(api: ObjectApi): Promise<void> {
  const written = await api.put(drainKey, {}, { writeId: 'zone-out' });
  if (written.isErr()) throw written.error;
}

async function takeBack(api: ObjectApi): Promise<void> {
  const removed = await api.remove(drainKey, { writeId: 'zone-back' });
  if (removed.isErr()) throw removed.error;
}

interface OutResult extends ZoneTimes {
  readonly lastNewWorkMs: number;
  readonly cancelled: number;
}

/** Drains the data centre for a time and returns it. */
async function runOut(zone: ZoneSite, seconds: number): Promise<OutResult> {
  const { objectApi } = zone.site;
  const cancelledBefore = zone.countCancelled(OUT);
  await takeOut(objectApi);
  const outAtMs = performance.now();
  const watch = watchArrivals(zone.urlsOf(OUT));
  await sleep(seconds * MS_PER_S);
  watch.stop();
  const cancelled = zone.countCancelled(OUT) - cancelledBefore;
  const lastNewWorkMs = Math.max(0, Math.round((watch.lastWorkAtMs() ?? outAtMs) - outAtMs));
  await takeBack(objectApi);
  return { outAtMs, backAtMs: performance.now(), lastNewWorkMs, cancelled };
}

function startLoad(zone: ZoneSite, seed: number, ratePerS: number): WindowedLoad {
  return startWindowedLoad({
    ...LOAD_DEFAULTS,
    targets: zone.site.nodes.map(({ url, adminUrl }) => ({ url, admin: adminUrl })),
    organisations: [{ name: 'bench', key: keyOf(BENCH_ORGANISATION), weight: 1 }],
    routes: createZoneRoutes(computeZoneCapacity()),
    ratePerS,
    seed,
    drainSeconds: DRAIN_S,
  });
}

function listBroken(cut: number, lastNewWorkMs: number): readonly string[] {
  const broken: string[] = [];
  if (cut > 0) broken.push(`A11: the drain interrupted ${cut} running requests`);
  if (lastNewWorkMs >= DRAIN_BOUND_MS) {
    broken.push(`A6: ${OUT} got new work ${lastNewWorkMs} ms after its drain`);
  }
  return broken;
}

async function measure(
  zone: ZoneSite,
  { seed, seconds, print }: Parameters<Bench>[0],
): ReturnType<Bench> {
  const { modelPerS, plainPerS } = computeZoneCapacity();
  const onePerS = modelPerS + plainPerS;
  const wholePerS = onePerS * DATA_CENTRES.length;
  const leftPerS = wholePerS - onePerS;
  print(`capacity of a data centre: ${round(modelPerS)} model and ${round(plainPerS)} plain/s`);
  const load = startLoad(zone, seed, wholePerS * LOAD_SHARE);
  const measuredS = Math.max(MIN_MEASURED_S, seconds - OVERHEAD_S);
  await sleep((WARM_UP_S + measuredS * BEFORE_SHARE) * MS_PER_S);
  const out = await runOut(zone, measuredS * OUT_SHARE);
  print(`${OUT} is back; its last new work came ${out.lastNewWorkMs} ms after the drain`);
  await sleep(measuredS * (1 - BEFORE_SHARE - OUT_SHARE) * MS_PER_S);
  const windows = (await load.end()).slice(WARM_UP_S);
  const { cut_streams: cutStreams, ...figures } = summariseZone(windows, out, wholePerS, leftPerS);
  const cut = cutStreams + out.cancelled;
  const violations = await readViolations(zone.site.nodes);
  const faults = windows.flatMap(({ report }) => report.faults);
  print(`${figures.failed} failed of the requests that the capacity allowed, ${cut} cut`);
  print(`goodput while out: ${figures.goodput_out_ratio} of the possible`);
  print(`load average ${readLoadAverage()}`);
  return {
    fields: {
      cut,
      last_new_work_ms: out.lastNewWorkMs,
      ...figures,
      capacity_left_per_s: round(leftPerS),
      load_average: readLoadAverage(),
      faults: faults.slice(0, 10),
    },
    broken: [
      ...listBroken(cut, out.lastNewWorkMs),
      ...faults.filter((fault) => fault.startsWith('wrong')).map((fault) => `A7: ${fault}`),
      ...violations,
    ],
  };
}

export const runZone: Bench = async (options) => {
  const zone = await startZoneSite();
  try {
    return await measure(zone, options);
  } finally {
    await zone.stop();
  }
};
