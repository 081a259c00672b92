/** Open-loop load: requests arrive at a given rate, whether or not earlier ones were answered. */
import { Agent } from 'undici';
import { createSeededRandom } from '../seeded-random.js';
import { createRequestPlanner } from './plan-request.js';
import type { PlannedRequest } from './plan-request.js';
import { sendRequest } from './send-request.js';
import type { SendContext } from './send-request.js';
import { createTally, summarise } from './tally.js';
import type { Tally } from './tally.js';
import { createTargets } from './targets.js';
import type { LoadOptions, LoadReport, LoadSummary, RequestResult } from './types.js';

const MS_PER_S = 1_000;
const MAX_FAULTS_KEPT = 20;
const KEEP_ALIVE_MS = 4_000;

/** Draws the times of Poisson arrivals, in ms from the start and in order. */
export function* drawArrivals(
  seed: number,
  ratePerS: number,
  seconds: number,
): Generator<number, void> {
  const random = createSeededRandom(seed, 'arrivals');
  const meanGapMs = MS_PER_S / ratePerS;
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random.next()) * meanGapMs;
    if (atMs >= seconds * MS_PER_S) return;
    yield atMs;
  }
}

interface TallyEntry {
  readonly organisation: string;
  readonly route: string;
  readonly tally: Tally;
}

/**
 * Creates one tally for each organisation and route. Each token is recorded in one tally only, and
 * totals are summed at the end of the run.
 */
function createTallies(options: LoadOptions) {
  const entries: TallyEntry[] = [];
  const selectTally = (planned: PlannedRequest): Tally => {
    const organisation = planned.organisation.name;
    const route = planned.route.name;
    const found = entries.find(
      (entry) => entry.organisation === organisation && entry.route === route,
    );
    if (found !== undefined) return found.tally;
    const tally = createTally();
    entries.push({ organisation, route, tally });
    return tally;
  };
  const summariseBy = (
    names: readonly string[],
    field: 'organisation' | 'route',
    seconds: number,
  ): Record<string, LoadSummary> =>
    Object.fromEntries(
      names.map((name): [string, LoadSummary] => {
        const matching = entries
          .filter((entry) => entry[field] === name)
          .map((entry) => entry.tally);
        return [name, summarise(matching, seconds)];
      }),
    );
  const organisations = options.organisations.map(({ name }) => name);
  const routes = options.routes.map(({ name }) => name);
  return {
    selectTally,
    summarise: (seconds: number) => ({
      total: summarise(
        entries.map((entry) => entry.tally),
        seconds,
      ),
      byOrganisation: summariseBy(organisations, 'organisation', seconds),
      byRoute: summariseBy(routes, 'route', seconds),
    }),
  };
}

/** Calls `launch` at the time of each arrival. Resolves after the last arrival or once aborted. */
function launchAtArrivals(
  arrivals: Iterator<number, void>,
  launch: (arrivedAtMs: number) => void,
  signal: AbortSignal | undefined,
): Promise<void> {
  const startedAtMs = performance.now();
  return new Promise((resolve) => {
    let next = arrivals.next();
    const step = (): void => {
      const now = performance.now();
      while (!next.done && startedAtMs + next.value <= now) {
        launch(startedAtMs + next.value);
        next = arrivals.next();
      }
      if (next.done || signal?.aborted) resolve();
      else setTimeout(step, Math.max(1, startedAtMs + next.value - now));
    };
    step();
  });
}

/** Resolves when all requests have ended, at the latest after `ms`. */
async function waitForAll(running: ReadonlySet<Promise<void>>, ms: number): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const expiry = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, ms);
  });
  await Promise.race([Promise.all(running), expiry]);
  clearTimeout(timer);
}

/**
 * Sends load and returns the report, at the latest after `seconds + drainSeconds`. The signal ends
 * the arrivals early.
 */
export async function runLoad(options: LoadOptions, signal?: AbortSignal): Promise<LoadReport> {
  const client = new Agent({
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: MS_PER_S },
  });
  const targets = createTargets(options.targets, client);
  const tallies = createTallies(options);
  const planner = createRequestPlanner(options);
  const running = new Set<Promise<void>>();
  const faults: string[] = [];
  const abortCallbacks = new Set<() => void>();
  let hasEnded = false;
  let skipped = 0;
  let noTarget = 0;
  let peakConcurrent = 0;
  const context: SendContext = {
    client,
    targets,
    resumes: options.resumes,
    abortCallbacks,
    hasEnded: () => hasEnded,
  };

  const finish = (planned: PlannedRequest, tally: Tally, result: RequestResult): void => {
    tally.addResult(planned.route, result);
    const isFault = result.outcome === 'wrong' || result.outcome === 'cut';
    if (isFault && faults.length < MAX_FAULTS_KEPT) {
      faults.push(`${result.outcome}: ${planned.route.name}: ${result.detail ?? 'no detail'}`);
    }
  };
  const launch = (arrivedAtMs: number): void => {
    const planned = planner.next();
    if (running.size >= options.maxConcurrent) {
      skipped += 1;
      return;
    }
    const target = targets.next();
    if (target === undefined) {
      noTarget += 1;
      return;
    }
    const tally = tallies.selectTally(planned);
    tally.addSent();
    const arrival = { planned, startedAtMs: arrivedAtMs, onGap: tally.addGap };
    const ended = sendRequest(context, arrival, target).then((result) => {
      running.delete(ended);
      finish(planned, tally, result);
    });
    running.add(ended);
    peakConcurrent = Math.max(peakConcurrent, running.size);
  };

  await targets.check();
  targets.start();
  const startedAtMs = performance.now();
  const arrivals = drawArrivals(options.seed, options.ratePerS, options.seconds);
  await launchAtArrivals(arrivals, launch, signal);
  const seconds = Math.max(options.seconds, 0.001);
  const sentSeconds = signal?.aborted ? (performance.now() - startedAtMs) / MS_PER_S : seconds;
  await waitForAll(running, options.drainSeconds * MS_PER_S);
  hasEnded = true;
  for (const abort of [...abortCallbacks]) abort();
  await Promise.all(running);
  targets.stop();
  await client.destroy();
  return {
    seed: options.seed,
    seconds: sentSeconds,
    skipped,
    noTarget,
    peakConcurrent,
    ...tallies.summarise(sentSeconds),
    faults,
  };
}
