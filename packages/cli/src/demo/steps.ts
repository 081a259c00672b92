/** Steps of the demo. Each step returns the results of its checks. */
import { randomUUID } from 'node:crypto';
import { configurationKeys, digestKey } from '@hibiscusbank/configuration';
import { organisationId, sleep, unwrap } from '@hibiscusbank/core';
import { MODEL_ROUTE_DEFAULTS, PLAIN_ROUTE_DEFAULTS, runLoad } from '@hibiscusbank/standins';
import type { LoadReport } from '@hibiscusbank/standins';
import type { DemoNode, DemoSite } from './site.js';

export interface CheckResult {
  readonly ok: boolean;
  readonly text: string;
}

const LOAD_SECONDS = 14;
const LOAD_RATE_PER_S = 20;
const DRAIN_AFTER_MS = 4_000;
const OUT_OF_SERVICE_MS = 6_000;
/** Maximum time until a configuration change takes effect on all nodes. */
const MAX_PROPAGATION_MS = 5_000;
const HOLDS_TIMEOUT_MS = 10_000;
const DRAINED_DATA_CENTRE = 'almaty-b';

function pickNode(site: DemoSite, index: number): DemoNode {
  const node = site.nodes[index];
  if (node === undefined) throw new Error(`the site has no node ${index}`);
  return node;
}

async function post(url: string, key: string, body: string, headers: Record<string, string> = {}) {
  const res = await fetch(url, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    body,
  });
  return { status: res.status, text: await res.text(), headers: res.headers };
}

/** Sends the same booking to two nodes concurrently and then to a third; it must run once. */
export async function checkIdempotentBooking(site: DemoSite): Promise<readonly CheckResult[]> {
  const idempotencyKey = randomUUID();
  const book = (index: number) =>
    post(`${pickNode(site, index).url}/bookings`, site.keys.tengri, '{"crew":"rail-7"}', {
      'idempotency-key': idempotencyKey,
    });
  const first = await Promise.all([book(0), book(1)]);
  const repeated = await book(2);
  const runs = [...site.plainUpstreams.values()]
    .map((upstream) => upstream.readRuns().byIdempotencyKey[idempotencyKey] ?? 0)
    .reduce((sum, count) => sum + count, 0);
  const statuses = [...first, repeated].map(({ status }) => status).join(', ');
  return [
    { ok: runs === 1, text: `a booking sent three times ran ${runs} time (statuses ${statuses})` },
    {
      ok: repeated.headers.get('x-hibiscusbank-replayed') === 'true',
      text: 'the last repeat got the stored response',
    },
  ];
}

/** Checks that every node accepts a new key, and rejects it after its withdrawal, within 5 s. */
export async function checkKeyWithdrawal(site: DemoSite): Promise<readonly CheckResult[]> {
  const key = `sk-${randomUUID()}`;
  const digest = digestKey(key);
  const objectKey = configurationKeys.tenantKey(digest);
  const value = {
    digest,
    organisation: organisationId('tengri'),
    withdrawn: false,
    hint: key.slice(0, 6),
  };
  const issued = unwrap(await site.objectApi.put(objectKey, value, { writeId: randomUUID() }));
  const fetchModelsStatus = async ({ url }: DemoNode): Promise<number> => {
    const res = await fetch(`${url}/v1/models`, { headers: { authorization: `Bearer ${key}` } });
    await res.text();
    return res.status;
  };
  const waitForStatus = async (status: number): Promise<number> => {
    const startedAt = performance.now();
    for (;;) {
      const statuses = await Promise.all(site.nodes.map(fetchModelsStatus));
      const elapsedMs = Math.round(performance.now() - startedAt);
      if (statuses.every((s) => s === status) || elapsedMs > MAX_PROPAGATION_MS) return elapsedMs;
      await sleep(20);
    }
  };
  const issuedMs = await waitForStatus(200);
  unwrap(
    await site.objectApi.put(
      objectKey,
      { ...value, withdrawn: true },
      {
        ifVersion: issued.version,
        writeId: randomUUID(),
      },
    ),
  );
  const withdrawnMs = await waitForStatus(401);
  return [
    {
      ok: issuedMs <= MAX_PROPAGATION_MS,
      text: `a new key worked on all nodes after ${issuedMs} ms`,
    },
    {
      ok: withdrawnMs <= MAX_PROPAGATION_MS,
      text: `a withdrawn key was rejected by all nodes after ${withdrawnMs} ms`,
    },
  ];
}

function startLoad(site: DemoSite): Promise<LoadReport> {
  return runLoad({
    targets: site.nodes.map(({ url, admin }) => ({ url, admin })),
    organisations: [
      { name: 'tengri', key: site.keys.tengri, weight: 2 },
      { name: 'werkbankdienst', key: site.keys.werkbankdienst, weight: 1 },
    ],
    routes: [
      {
        ...MODEL_ROUTE_DEFAULTS,
        name: 'notes',
        model: 'layout-scribe',
        promptTokens: [50, 800],
        sharedTokens: 40,
        answerTokens: [10, 30],
      },
      { ...PLAIN_ROUTE_DEFAULTS, name: 'plans', path: '/plans/42' },
    ],
    ratePerS: LOAD_RATE_PER_S,
    seconds: LOAD_SECONDS,
    seed: 1,
    drainSeconds: 15,
    maxConcurrent: 500,
    resumes: true,
  });
}

/**
 * Polls the run count of the drained data centre's plain upstream while the data centre is out of
 * service. Returns the time from the drain to the last new run, in milliseconds.
 */
async function measureLastRun(site: DemoSite, drainedAt: number): Promise<number> {
  const countRuns = (): number =>
    site.plainUpstreams.get(DRAINED_DATA_CENTRE)?.readState().runs ?? 0;
  let runs = countRuns();
  let lastRunAt = drainedAt;
  while (performance.now() - drainedAt < OUT_OF_SERVICE_MS) {
    await sleep(20);
    const currentRuns = countRuns();
    if (currentRuns !== runs) lastRunAt = performance.now();
    runs = currentRuns;
  }
  return Math.round(lastRunAt - drainedAt);
}

/** Sends streamed and plain requests while a data centre is taken out of service and returned. */
export async function checkDrainUnderLoad(site: DemoSite): Promise<readonly CheckResult[]> {
  const load = startLoad(site);
  await sleep(DRAIN_AFTER_MS);
  const key = configurationKeys.drain('dc', DRAINED_DATA_CENTRE);
  const drained = unwrap(await site.objectApi.put(key, {}, { writeId: randomUUID() }));
  const lastRunMs = await measureLastRun(site, performance.now());
  unwrap(await site.objectApi.remove(key, { ifVersion: drained.version, writeId: randomUUID() }));
  const report = await load;
  const { total } = report;
  const { answered } = total.outcomes;
  const { p50Ms, p95Ms } = total.firstToken;
  return [
    {
      ok: total.sent > 0 && answered === total.sent,
      text: `${answered} of ${total.sent} requests answered completely, ${total.tokens} tokens`,
    },
    {
      ok: lastRunMs <= MAX_PROPAGATION_MS,
      text: `${DRAINED_DATA_CENTRE} was drained under load; its last new run came after ${lastRunMs} ms`,
    },
    { ok: true, text: `first token: ${Math.round(p50Ms)} ms median, ${Math.round(p95Ms)} ms p95` },
    ...report.faults.map((fault) => ({ ok: false, text: fault })),
  ];
}

/** Checks that no holds remain and no invariant was violated after all requests have ended. */
export async function checkFinalState(site: DemoSite): Promise<readonly CheckResult[]> {
  const countHolds = (): number =>
    site.engines.reduce((sum, engine) => sum + engine.holds().length, 0);
  const startedAt = performance.now();
  while (countHolds() > 0 && performance.now() - startedAt < HOLDS_TIMEOUT_MS) await sleep(50);
  const violations = site.nodes.flatMap(({ node }) => node.telemetry.invariants.violations());
  return [
    { ok: countHolds() === 0, text: `${countHolds()} holds remain at engines` },
    {
      ok: violations.length === 0,
      text: `${violations.length} invariants violated${violations.map((v) => ` ${v.invariant}`).join()}`,
    },
  ];
}
