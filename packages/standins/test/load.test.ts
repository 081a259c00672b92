import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  computeTag,
  LOAD_DEFAULTS,
  MODEL_ROUTE_DEFAULTS,
  runLoad,
  tokenText,
} from '@hibiscusbank/standins';
import type { LoadOptions } from '@hibiscusbank/standins';
import { Agent } from 'undici';
import { afterEach, expect, test } from 'vitest';
import { createRequestPlanner } from '../src/load/plan-request.js';
import { drawArrivals } from '../src/load/run-load.js';
import { createEventScanner } from '../src/load/scan-events.js';
import { createTargets } from '../src/load/targets.js';

const TAG = '0000abcd';

const event = (k: number, tag = TAG, reason = 'null'): string =>
  `id: r.e.${k}\ndata: {"choices":[{"index":0,"text":"${tokenText(tag, k)}","finish_reason":${reason}}]}\n\n`;

const END = 'data: [DONE]\n\n';
const completeAnswer = event(0) + event(1) + event(2, TAG, '"length"') + END;

test('a complete answer is accepted regardless of how it is split into pieces', () => {
  for (let size = 1; size < completeAnswer.length; size += 1) {
    const scanner = createEventScanner(TAG, 3);
    for (let at = 0; at < completeAnswer.length; at += size)
      scanner.feed(completeAnswer.slice(at, at + size));
    expect(scanner.isComplete()).toBe(true);
  }
});

test.each([
  ['a missing token', event(0) + event(2, TAG, '"length"') + END],
  ['a repeated token', event(0) + event(0) + event(1) + event(2, TAG, '"length"') + END],
  ['tokens out of order', event(1) + event(0) + event(2, TAG, '"length"') + END],
  ['a token of another request', event(0) + event(1, 'ffff0000') + END],
  ['an answer that ends early', event(0) + event(1, TAG, '"length"') + END],
  ['a token after the end', completeAnswer.replace(END, event(3) + END)],
])('%s is a fault', (_name, text) => {
  const scanner = createEventScanner(TAG, 3);
  scanner.feed(text);
  expect(scanner.fault()).toBeDefined();
  expect(scanner.isComplete()).toBe(false);
});

test('several tokens in one event are all counted', () => {
  const scanner = createEventScanner(TAG, 2);
  scanner.feed(`id: r.e.1\ndata: {"text":" ${TAG}.0 ${TAG}.1","finish_reason":"length"}\n\n${END}`);
  expect(scanner.tokens()).toBe(2);
  expect(scanner.isComplete()).toBe(true);
});

test('after a reconnect, a stream continues from the last complete event', () => {
  const scanner = createEventScanner(TAG, 3);
  scanner.feed(event(0) + event(1).slice(0, 20));
  expect(scanner.lastEventId()).toBe('r.e.0');
  scanner.reconnect();
  scanner.feed(event(1) + event(2, TAG, '"length"') + END);
  expect(scanner.isComplete()).toBe(true);
});

test('the scanner reports the outcome of an error event', () => {
  const scanner = createEventScanner(TAG, 3);
  scanner.feed(`${event(0)}event: error\ndata: {"error":{"outcome":"not_run"}}\n\n`);
  expect(scanner.errorOutcome()).toBe('not_run');
});

const options: LoadOptions = {
  ...LOAD_DEFAULTS,
  targets: [],
  organisations: [
    { name: 'large', key: 'k1', weight: 9 },
    { name: 'small', key: 'k2', weight: 1 },
  ],
  routes: [{ ...MODEL_ROUTE_DEFAULTS, sharedTokens: 1_000, promptTokens: [2_000, 2_000] }],
  seed: 42,
};

test('equal seeds give equal arrivals and requests', () => {
  expect([...drawArrivals(42, 50, 2)]).toEqual([...drawArrivals(42, 50, 2)]);
  const [a, b] = [createRequestPlanner(options), createRequestPlanner(options)];
  for (let i = 0; i < 20; i += 1) expect(a.next()).toEqual(b.next());
});

test('small seeds do not all have a late first arrival', () => {
  // Without hashing, the generator returns nearly the same first value for all small seeds.
  const firstMs = [1, 2, 3, 4, 5, 6].map((seed) => drawArrivals(seed, 1, 1_000).next().value ?? 0);
  expect(Math.min(...firstMs)).toBeLessThan(1_000);
});

test('prompts share a prefix but have different answers', () => {
  const planner = createRequestPlanner(options);
  const contents = [planner.next(), planner.next()].map((planned) => ({
    prompt: (JSON.parse(planned.body ?? '') as { messages: { content: string }[] }).messages[0]
      ?.content,
    expectation: planned.expectation,
  }));
  expect(contents[0]?.prompt?.slice(0, 4_000)).toBe(contents[1]?.prompt?.slice(0, 4_000));
  expect(contents[0]?.expectation).not.toEqual(contents[1]?.expectation);
});

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.close();
    server.closeAllConnections();
  }
});

async function listen(server: Server): Promise<string> {
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test('a target that is not ready gets no request', async () => {
  const client = new Agent();
  const answer = (status: number): Server =>
    createServer((_req, res) => {
      res.writeHead(status);
      res.end();
    });
  const ready = { url: 'http://a', admin: await listen(answer(200)) };
  const draining = { url: 'http://b', admin: await listen(answer(503)) };
  const targets = createTargets([ready, draining], client);
  await targets.check();
  expect([targets.next(), targets.next(), targets.next()]).toEqual([ready, ready, ready]);
  await client.destroy();
});

test('refusals are counted by outcome and by status', async () => {
  const url = await listen(
    createServer((_req, res) => {
      res.writeHead(429, { 'x-hibiscusbank-outcome': 'not_run' });
      res.end('{}');
    }),
  );
  const run = { ...options, targets: [{ url }], ratePerS: 1_000, seconds: 0.02 };
  const report = await runLoad(run);
  const { sent, outcomes, refusedByStatus } = report.total;
  expect(sent).toBeGreaterThan(0);
  expect(sent).toBe([...drawArrivals(42, 1_000, 0.02)].length);
  expect(outcomes.not_run).toBe(sent);
  expect(refusedByStatus).toEqual({ 429: sent });
});

async function findClosedUrl(): Promise<string> {
  const server = createServer();
  const url = await listen(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return url;
}

test('a request whose target is unreachable is sent to the next target', async () => {
  const url = await listen(
    createServer((_req, res) => {
      res.writeHead(429, { 'x-hibiscusbank-outcome': 'not_run' });
      res.end('{}');
    }),
  );
  const targets = [{ url: await findClosedUrl() }, { url }];
  const report = await runLoad({ ...options, targets, ratePerS: 1_000, seconds: 0.02 });
  expect(report.total.sent).toBeGreaterThan(0);
  expect(report.total.outcomes).toMatchObject({ not_run: report.total.sent, unreachable: 0 });
});

/**
 * Creates a server that breaks the connection of a new request after the first token. `resume`
 * returns the response to a request with `Last-Event-ID`, or `undefined` to refuse it.
 */
function createBreakingServer(resume: (lastId: string, tag: string) => string | undefined): Server {
  return createServer((req, res) => {
    let body = '';
    req.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    req.on('end', () => {
      const { messages } = JSON.parse(body) as { messages: { content: string }[] };
      const tag = computeTag(messages[0]?.content ?? '');
      const lastId = req.headers['last-event-id'];
      if (lastId === undefined) {
        res.writeHead(200);
        res.write(event(0, tag), () => res.destroy());
        return;
      }
      const remainingEvents = resume(String(lastId), tag);
      res.writeHead(remainingEvents === undefined ? 503 : 200, {
        'x-hibiscusbank-outcome': 'not_run',
      });
      res.end(remainingEvents ?? '{}');
    });
  });
}

const createBreakingOptions = (url: string): LoadOptions => ({
  ...options,
  routes: [{ ...MODEL_ROUTE_DEFAULTS, promptTokens: [50, 50], answerTokens: [2, 2] }],
  targets: [{ url }],
  ratePerS: 1_000,
  seconds: 0.02,
});

test('a broken stream that is resumed after its last event counts as answered', async () => {
  const url = await listen(
    createBreakingServer((lastId, tag) =>
      lastId === 'r.e.0' ? event(1, tag, '"length"') + END : undefined,
    ),
  );
  const { total } = await runLoad(createBreakingOptions(url));
  expect(total.sent).toBeGreaterThan(0);
  expect(total.outcomes.answered).toBe(total.sent);
  expect(total.resumed).toBe(total.sent);
});

test('a resumed stream that restarts from its first token counts as wrong', async () => {
  const url = await listen(
    createBreakingServer((_lastId, tag) => event(0, tag) + event(1, tag, '"length"') + END),
  );
  const { total } = await runLoad(createBreakingOptions(url));
  expect(total.sent).toBeGreaterThan(0);
  expect(total.outcomes.wrong).toBe(total.sent);
});

test('an answer whose resumption is refused counts as cut and not as not run', async () => {
  const url = await listen(createBreakingServer(() => undefined));
  const { total } = await runLoad(createBreakingOptions(url));
  expect(total.sent).toBeGreaterThan(0);
  expect(total.outcomes).toMatchObject({ cut: total.sent, not_run: 0 });
});
