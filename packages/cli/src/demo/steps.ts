/** What the demo does and checks. Every step returns lines of its report. */
import { randomUUID } from 'node:crypto';
import { configurationKeys, digestKey } from '@hibiscusbank/configuration';
import { organisationId, sleep, unwrap } from '@hibiscusbank/core';
import { MODEL_ROUTE_DEFAULTS, PLAIN_ROUTE_DEFAULTS, runLoad } from '@hibiscusbank/standins';
import type { LoadReport } from '@hibiscusbank/standins';
import type { DemoNode, DemoSite } from './site.js';

export interface CheckLine {
  readonly ok: boolean;
  readonly text: string;
}

const LOAD_SECONDS = 14;
const LOAD_RATE_PER_S = 20;
const DRAIN_AFTER_MS = 4_000;
const OUT_MS = 6_000;
const DRAIN_LIMIT_MS = 5_000;
const HOLDS_LIMIT_MS = 10_000;
const DRAINED = 'almaty-b';

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

/** The same booking through two nodes at once and again afterwards; it must run once. */
export async function bookOnce(site: DemoSite): Promise<readonly CheckLine[]> {
  const idempotencyKey = randomUUID();
  const book = (index: number) =>
    post(`${pickNode(site, index).url}/bookings`, site.keys.tengri, '{"crew":"rail-7"}', {
      'idempotency-key': idempotencyKey,
    });
  const first = await Promise.all([book(0), book(1)]);
  const again = await book(2);
  const runs = [...site.servers.values()]
    .map((server) => server.readRuns().byIdempotencyKey[idempotencyKey] ?? 0)
    .reduce((sum, count) => sum + count, 0);
  const statuses = [...first, again].map(({ status }) => status).join(', ');
  return [
    { ok: runs === 1, text: `a booking sent three times ran ${runs} time (answers ${statuses})` },
    {
      ok: again.headers.get('x-hibiscusbank-replayed') === 'true',
      text: 'the last repeat got the answer that was kept',
    },
  ];
}

/** A withdrawn key stops working on every node within 5 s. */
export async function withdrawKey(site: DemoSite): Promise<readonly CheckLine[]> {
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
  const models = async ({ url }: DemoNode): Promise<number> => {
    const res = await fetch(`${url}/v1/models`, { headers: { authorization: `Bearer ${key}` } });
    await res.text();
    return res.status;
  };
  const waitFor = async (status: number): Promise<number> => {
    const startedAt = performance.now();
    for (;;) {
      const statuses = await Promise.all(site.nodes.map(models));
      const elapsedMs = Math.round(performance.now() - startedAt);
      if (statuses.every((s) => s === status) || elapsedMs > DRAIN_LIMIT_MS) return elapsedMs;
      await sleep(20);
    }
  };
  const issuedMs = await waitFor(200);
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
  const withdrawnMs = await waitFor(401);
  return [
    { ok: issuedMs <= DRAIN_LIMIT_MS, text: `a new key worked on all nodes after ${issuedMs} ms` },
    {
      ok: withdrawnMs <= DRAIN_LIMIT_MS,
      text: `a withdrawn key was refused by all nodes after ${withdrawnMs} ms`,
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

/** Watches one data centre's plain upstream for its last run while the data centre is out. */
async function watchLastRun(site: DemoSite, outAt: number): Promise<number> {
  const countRuns = (): number => site.servers.get(DRAINED)?.readState().runs ?? 0;
  let last = countRuns();
  let lastAt = outAt;
  while (performance.now() - outAt < OUT_MS) {
    await sleep(20);
    const now = countRuns();
    if (now !== last) lastAt = performance.now();
    last = now;
  }
  return Math.round(lastAt - outAt);
}

/** Streamed and plain requests while a data centre is taken out and brought back. */
export async function drainUnderLoad(site: DemoSite): Promise<readonly CheckLine[]> {
  const load = startLoad(site);
  await sleep(DRAIN_AFTER_MS);
  const key = configurationKeys.drain('dc', DRAINED);
  const drained = unwrap(await site.objectApi.put(key, {}, { writeId: randomUUID() }));
  const lastWorkMs = await watchLastRun(site, performance.now());
  unwrap(await site.objectApi.remove(key, { ifVersion: drained.version, writeId: randomUUID() }));
  const report = await load;
  const { total } = report;
  const { answered } = total.outcomes;
  const { p50Ms, p95Ms } = total.firstToken;
  return [
    {
      ok: total.sent > 0 && answered === total.sent,
      text: `${answered} of ${total.sent} requests answered whole, ${total.tokens} tokens`,
    },
    {
      ok: lastWorkMs <= DRAIN_LIMIT_MS,
      text: `${DRAINED} was taken out under load; its last new work came after ${lastWorkMs} ms`,
    },
    { ok: true, text: `first token: ${Math.round(p50Ms)} ms median, ${Math.round(p95Ms)} ms p95` },
    ...report.faults.map((fault) => ({ ok: false, text: fault })),
  ];
}

/** What must hold when all requests have ended. */
export async function checkEnd(site: DemoSite): Promise<readonly CheckLine[]> {
  const countHolds = (): number =>
    site.engines.reduce((sum, engine) => sum + engine.holds().length, 0);
  const startedAt = performance.now();
  while (countHolds() > 0 && performance.now() - startedAt < HOLDS_LIMIT_MS) await sleep(50);
  const violations = site.nodes.flatMap(({ node }) => node.telemetry.invariants.violations());
  return [
    { ok: countHolds() === 0, text: `${countHolds()} holds left at engines` },
    {
      ok: violations.length === 0,
      text: `${violations.length} invariants violated${violations.map((v) => ` ${v.invariant}`).join()}`,
    },
  ];
}
