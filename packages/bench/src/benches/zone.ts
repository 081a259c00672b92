/** Takes a data centre out of service under load and returns it. */
import { configurationKeys } from '@hibiscusbank/configuration';
import { sleep } from '@hibiscusbank/core';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { LOAD_DEFAULTS } from '@hibiscusbank/standins';
import { watchArrivals } from '../harness/arrival-watch.js';
import { startWindowedLoad } from '../harness/load-windows.js';
import type { WindowedLoad } from '../harness/load-windows.js';
import { tenantKeyOf } from '../harness/site.js';
import { readLoadAverage, round } from '../harness/statistics.js';
import { BENCH_ORGANISATION } from '../harness/tables.js';
import { readViolations } from '../harness/violations.js';
import type { Bench } from '../types.js';
import { summariseZone } from './zone-figures.js';
import type { ZoneTimes } from './zone-figures.js';
import { computeZoneCapacity, createZoneRoutes, DATA_CENTRES, startZoneSite } from './zone-site.js';
import type { ZoneSite } from './zone-site.js';

const DRAINED_DATA_CENTRE = DATA_CENTRES[1];
/** Load as a fraction of the total capacity: 90% of the capacity of two of the three data centres. */
const LOAD_FRACTION = 0.6;
const MS_PER_S = 1_000;
const WARM_UP_S = 4;
/** Start of the site and the end of the last requests. */
const OVERHEAD_S = 12;
const DRAIN_S = 4;
const MIN_MEASURED_S = 9;
const BEFORE_TIME_FRACTION = 0.25;
const DRAINED_TIME_FRACTION = 0.45;
const MAX_NEW_WORK_AFTER_DRAIN_MS = 5_000;

const drainKey = configurationKeys.drain('dc', DRAINED_DATA_CENTRE);

async function startDrain(api: ObjectApi): Promise<void> {
  const written = await api.put(drainKey, {}, { writeId: 'zone-out' });
  if (written.isErr()) throw written.error;
}

async function endDrain(api: ObjectApi): Promise<void> {
  const removed = await api.remove(drainKey, { writeId: 'zone-back' });
  if (removed.isErr()) throw removed.error;
}

interface DrainResult extends ZoneTimes {
  readonly lastNewWorkMs: number;
  readonly cancelled: number;
}

/** Drains the data centre for a time and returns it. */
async function runDrain(zone: ZoneSite, seconds: number): Promise<DrainResult> {
  const { objectApi } = zone.site;
  const cancelledBefore = zone.countCancelled(DRAINED_DATA_CENTRE);
  await startDrain(objectApi);
  const drainedAtMs = performance.now();
  const watch = watchArrivals(zone.backEndUrls(DRAINED_DATA_CENTRE));
  await sleep(seconds * MS_PER_S);
  watch.stop();
  const cancelled = zone.countCancelled(DRAINED_DATA_CENTRE) - cancelledBefore;
  const lastNewWorkMs = Math.max(
    0,
    Math.round((watch.lastWorkAtMs() ?? drainedAtMs) - drainedAtMs),
  );
  await endDrain(objectApi);
  return { drainedAtMs, returnedAtMs: performance.now(), lastNewWorkMs, cancelled };
}

function startLoad(zone: ZoneSite, seed: number, ratePerS: number): WindowedLoad {
  return startWindowedLoad({
    ...LOAD_DEFAULTS,
    targets: zone.site.nodes.map(({ url, adminUrl }) => ({ url, admin: adminUrl })),
    organisations: [{ name: 'bench', key: tenantKeyOf(BENCH_ORGANISATION), weight: 1 }],
    routes: createZoneRoutes(computeZoneCapacity()),
    ratePerS,
    seed,
    drainSeconds: DRAIN_S,
  });
}

/** Returns the violated invariants, each with its number in docs/design.md. */
function listBrokenInvariants(cut: number, lastNewWorkMs: number): readonly string[] {
  const broken: string[] = [];
  if (cut > 0) broken.push(`A11: the drain interrupted ${cut} running requests`);
  if (lastNewWorkMs >= MAX_NEW_WORK_AFTER_DRAIN_MS) {
    broken.push(`A6: ${DRAINED_DATA_CENTRE} received new work ${lastNewWorkMs} ms after its drain`);
  }
  return broken;
}

async function measure(
  zone: ZoneSite,
  { seed, seconds, print }: Parameters<Bench>[0],
): ReturnType<Bench> {
  const { modelPerS, plainPerS } = computeZoneCapacity();
  const dataCentrePerS = modelPerS + plainPerS;
  const totalPerS = dataCentrePerS * DATA_CENTRES.length;
  const remainingPerS = totalPerS - dataCentrePerS;
  print(`capacity of a data centre: ${round(modelPerS)} model and ${round(plainPerS)} plain/s`);
  const load = startLoad(zone, seed, totalPerS * LOAD_FRACTION);
  const measuredS = Math.max(MIN_MEASURED_S, seconds - OVERHEAD_S);
  await sleep((WARM_UP_S + measuredS * BEFORE_TIME_FRACTION) * MS_PER_S);
  const drain = await runDrain(zone, measuredS * DRAINED_TIME_FRACTION);
  print(
    `${DRAINED_DATA_CENTRE} is back in service; its last new work arrived ${drain.lastNewWorkMs} ms after the drain`,
  );
  await sleep(measuredS * (1 - BEFORE_TIME_FRACTION - DRAINED_TIME_FRACTION) * MS_PER_S);
  const windows = (await load.end()).slice(WARM_UP_S);
  const { cut_streams: cutStreams, ...figures } = summariseZone(
    windows,
    drain,
    totalPerS,
    remainingPerS,
  );
  const cut = cutStreams + drain.cancelled;
  const violations = await readViolations(zone.site.nodes);
  const faultTexts = windows.flatMap(({ report }) => report.faults);
  print(`${figures.failed} requests failed although capacity sufficed, ${cut} were cut`);
  print(
    `goodput while out of service: ${figures.goodput_out_ratio} of what offered load and capacity allowed`,
  );
  print(`load average ${readLoadAverage()}`);
  return {
    fields: {
      cut,
      last_new_work_ms: drain.lastNewWorkMs,
      ...figures,
      capacity_left_per_s: round(remainingPerS),
      load_average: readLoadAverage(),
      faults: faultTexts.slice(0, 10),
    },
    broken: [
      ...listBrokenInvariants(cut, drain.lastNewWorkMs),
      ...faultTexts.filter((fault) => fault.startsWith('wrong')).map((fault) => `A7: ${fault}`),
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
