import { err, ok } from 'neverthrow';
import { afterEach, expect, test } from 'vitest';
import {
  createFakeTransport,
  createReply,
  createTestStores,
  createUpstream,
  enginePool,
  startTestNode,
  waitUntil,
  waitUntilReady,
} from './support/test-node.js';
import type { TestNode } from './support/test-node.js';

const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'data: [DONE]\n\n'];

const nodes: TestNode[] = [];

afterEach(async () => {
  await Promise.all(nodes.splice(0).map(({ node }) => node.drain()));
});

interface CrashingPools {
  readonly started: TestNode;
  /** Upstreams that ended, in order, as `name/start`. */
  readonly ends: string[];
  /** Bodies that upstreams answered. */
  readonly answered: string[];
}

/** Starts a node whose upstreams end when they run a request with the body `crash`, and come back at once. */
async function startCrashingPools(): Promise<CrashingPools> {
  const transport = createFakeTransport();
  const stores = createTestStores();
  const ends: string[] = [];
  const answered: string[] = [];
  const starts = new Map<string, number>();
  const register = (name: string): void => {
    const startedAt = (starts.get(name) ?? 0) + 1;
    starts.set(name, startedAt);
    const isEngine = name.startsWith('e');
    stores.upstreams.put(
      name,
      createUpstream(name, {
        startedAt,
        ...(isEngine ? { pool: enginePool, role: 'decode' as const } : {}),
      }),
    );
  };
  ['u1', 'u2', 'u3', 'e1', 'e2', 'e3'].forEach(register);
  const hasEnded = ({ id, startedAt }: { id: string; startedAt: number }): boolean =>
    ends.includes(`${id}/${startedAt}`);
  transport.isListening = async (upstream) => !hasEnded(upstream);
  transport.reply = async ({ upstream, body, req }) => {
    const isCrash = body.toString() === 'crash' || req.path.endsWith('crash');
    if (!isCrash && !hasEnded(upstream)) {
      answered.push(body.toString());
      return ok(createReply(events));
    }
    if (isCrash && !hasEnded(upstream)) {
      ends.push(`${upstream.id}/${upstream.startedAt}`);
      setTimeout(register, 20, upstream.id);
    }
    return err({ effect: 'unknown', wasSent: true, reason: 'broken' });
  };
  const started = await startTestNode(stores, transport);
  nodes.push(started);
  await waitUntilReady(started);
  return { started, ends, answered };
}

const settle = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

function call({ url }: TestNode, method: string, path: string, body?: string): Promise<Response> {
  return fetch(`${url}${path}`, {
    method,
    headers: { authorization: 'Bearer key-1', 'x-usage': '500,70' },
    ...(body === undefined ? {} : { body }),
  });
}

// Guards against a request that ends all upstreams of a pool, one after the other, each time it is repeated.
test.each([
  ['an idempotent request without a body', 'GET', '/lookup/crash', undefined],
  ['a request that is sent once', 'POST', '/book/1', 'crash'],
  ['a stream that states no prompt parts', 'POST', '/note/1', 'crash'],
  ['a resumable stream that states no prompt parts', 'POST', '/resumable/1', 'crash'],
])('%s that ends upstreams is refused after the third end', async (_, method, path, body) => {
  const { started, ends, answered } = await startCrashingPools();
  let status = 0;
  for (let repeat = 0; repeat < 8; repeat += 1) {
    const res = await call(started, method, path, body);
    await res.text().catch(() => '');
    status = res.status;
    await settle(80);
  }
  expect(ends).toHaveLength(3);
  expect(status).toBe(503);
  const sound = await call(started, 'POST', path.replace('crash', 'sound'), 'sound');
  expect(sound.status).toBe(200);
  await waitUntil(() => answered.includes('sound'));
});
