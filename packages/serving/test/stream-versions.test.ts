import { ok } from 'neverthrow';
import { afterEach, expect, test } from 'vitest';
import type { UpstreamReply, UpstreamSend } from '../src/index.js';
import { upstreamVersion } from '../src/index.js';
import type { StoredOrigins } from '../src/stream-origins/origin-messages.js';
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
import type { FakeTransport, TestNode, TestStores } from './support/test-node.js';

const running: TestNode[] = [];

const stop = async (node: TestNode): Promise<void> => {
  running.splice(running.indexOf(node), 1);
  await node.node.drain();
};

afterEach(async () => {
  await Promise.all([...running].map(stop));
});

/** Registers decode engines, named by version and number. */
function addEngines(stores: TestStores, version: string, count: number): void {
  for (let index = 0; index < count; index += 1) {
    const name = `${version}-${index}`;
    stores.upstreams.put(
      name,
      createUpstream(name, {
        pool: enginePool,
        role: 'decode',
        version: upstreamVersion(version),
      }),
    );
  }
}

async function start(
  stores: TestStores,
  transport: FakeTransport,
  name = 'node-1',
  seeds: readonly TestNode['peer'][] = [],
): Promise<TestNode> {
  const node = await startTestNode(stores, transport, name, seeds);
  running.push(node);
  await waitUntilReady(node);
  return node;
}

const breakOff = (): UpstreamReply => createReply(['id: 1\ndata: a\n\n'], false);
const continueAfter = (): UpstreamReply => createReply(['id: 2\ndata: b\n\n']);

/**
 * Breaks off new streams behind their first event, and answers resumed ones. Streams whose id begins with
 * `first` are not continued by the node, so that their caller has to resume them.
 */
function breakNewStreams(transport: FakeTransport): void {
  transport.reply = async ({ req, lastEventId }) => {
    if (lastEventId === undefined) return ok(breakOff());
    return ok(req.id.startsWith('first') ? createReply([], false) : continueAfter());
  };
}

interface StreamCall {
  readonly id: string;
  readonly resumes?: string;
  readonly lastEventId?: string;
}

const toHeaders = ({ id, resumes, lastEventId }: StreamCall): Record<string, string> => ({
  authorization: 'Bearer key-1',
  'x-usage': '500,70',
  'x-id': id,
  ...(resumes === undefined ? {} : { resumes }),
  ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId }),
});

/** Sends a stream. Resolves to its status, 0 if its connection broke off before the head. */
async function callStream({ url }: TestNode, call: StreamCall): Promise<number> {
  try {
    const res = await fetch(`${url}/resumable/1`, { method: 'POST', headers: toHeaders(call) });
    await res.text().catch(() => '');
    return res.status;
  } catch {
    return 0;
  }
}

const versionOf = (send: UpstreamSend | undefined): string | undefined => send?.upstream.version;
const sendOf = ({ sends }: FakeTransport, id: string): UpstreamSend | undefined =>
  sends.find(({ req }) => req.id === id);

/** Begins streams that all break off. Returns their ids. */
async function beginStreams(node: TestNode, count: number): Promise<readonly string[]> {
  const ids = Array.from({ length: count }, (_, index) => `first-${index}`);
  for (const id of ids) await callStream(node, { id });
  return ids;
}

async function resumeAll(node: TestNode, ids: readonly string[]): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (const id of ids) {
    statuses.push(await callStream(node, { id: `next-${id}`, resumes: id, lastEventId: '1' }));
  }
  return statuses;
}

/** Returns the number of streams that `node-1` has stored. */
async function countStored({ streamOrigins }: TestStores): Promise<number> {
  const entry = (await streamOrigins.read('node-1'))._unsafeUnwrap();
  return (entry.value as StoredOrigins).streams.flatMap(({ keys }) => keys).length;
}

/** Returns the streams that went on at another version than the one that began them. */
const listJoined = (transport: FakeTransport, ids: readonly string[]): readonly string[] =>
  ids.filter((id) => {
    const next = versionOf(sendOf(transport, `next-${id}`));
    return next !== undefined && next !== versionOf(sendOf(transport, id));
  });

// Guards against answers that are joined from the events of two software versions.
test('a node continues a broken stream only at the version that began it', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  addEngines(stores, 'v1', 2);
  addEngines(stores, 'v2', 2);
  const node = await start(stores, transport);
  breakNewStreams(transport);
  for (let index = 0; index < 12; index += 1) {
    transport.sends.length = 0;
    await callStream(node, { id: `stream-${index}` });
    const [first, second] = transport.sends;
    expect(versionOf(second)).toBe(versionOf(first));
  }
});

// Guards against a caller who waits to the deadline for a stream that no engine can continue.
test('a broken stream ends at once when no other engine of its version serves', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  addEngines(stores, 'v1', 1);
  addEngines(stores, 'v2', 1);
  const node = await start(stores, transport);
  breakNewStreams(transport);
  const startedAt = performance.now();
  await callStream(node, { id: 'stream' });
  expect(transport.sends).toHaveLength(1);
  expect(performance.now() - startedAt).toBeLessThan(1_000);
});

test('a stream that a caller resumes at another node goes on at its version', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  addEngines(stores, 'v1', 2);
  addEngines(stores, 'v2', 2);
  const first = await start(stores, transport);
  const second = await start(stores, transport, 'node-2', [first.peer]);
  breakNewStreams(transport);
  const ids = await beginStreams(first, 12);
  expect(await resumeAll(second, ids)).toEqual(ids.map(() => 200));
  expect(listJoined(transport, ids)).toEqual([]);
});

// Guards against knowledge of the versions of streams that ends with the processes.
test('a stream goes on at its version after all nodes have been restarted', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  addEngines(stores, 'v1', 2);
  addEngines(stores, 'v2', 2);
  const before = await start(stores, transport);
  breakNewStreams(transport);
  const ids = await beginStreams(before, 12);
  await waitUntil(async () => (await countStored(stores)) === ids.length);
  await stop(before);
  const after = await start(stores, transport);
  expect(await resumeAll(after, ids)).toEqual(ids.map(() => 200));
  expect(listJoined(transport, ids)).toEqual([]);
});

test('a stream is refused as not run when the version that began it has left', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  addEngines(stores, 'v1', 2);
  const before = await start(stores, transport);
  breakNewStreams(transport);
  const ids = await beginStreams(before, 4);
  addEngines(stores, 'v2', 2);
  for (const name of ['v1-0', 'v1-1']) stores.upstreams.drop(name);
  await waitUntil(() => before.events.filter((text) => text.includes('no longer')).length >= 2);
  const sent = transport.sends.length;
  expect(await resumeAll(before, ids)).toEqual(ids.map(() => 503));
  await stop(before);
  const after = await start(stores, transport);
  expect(await resumeAll(after, ids)).toEqual(ids.map(() => 503));
  expect(transport.sends).toHaveLength(sent);
});

test.each([undefined, 'unknown'])(
  'a stream that names %s as its first attempt is refused while two versions serve',
  async (resumes) => {
    const transport = createFakeTransport();
    const stores = createTestStores();
    addEngines(stores, 'v1', 2);
    addEngines(stores, 'v2', 2);
    const node = await start(stores, transport);
    breakNewStreams(transport);
    const call = { id: 'next', lastEventId: '1', ...(resumes === undefined ? {} : { resumes }) };
    expect(await callStream(node, call)).toBe(503);
    expect(transport.sends).toEqual([]);
  },
);

// Guards against refusing streams of which nobody knows more than that one version has served all along.
test('a stream goes on after a restart of all nodes while one version serves', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  addEngines(stores, 'v1', 3);
  const before = await start(stores, transport);
  breakNewStreams(transport);
  const ids = await beginStreams(before, 3);
  await stop(before);
  const after = await start(stores, transport);
  expect(await resumeAll(after, ids)).toEqual([200, 200, 200]);
});
