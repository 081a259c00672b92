/**
 * Waits until nodes serve a route. A ready node can still refuse requests while the quota ring of its
 * data centre has not formed.
 */
import { sleep } from '@hibiscusbank/core';
import { request } from 'undici';
import type { SiteNode } from './site.js';

const POLL_MS = 100;
const TIMEOUT_MS = 20_000;
const HTTP_OK = 200;

export interface ProbeRequest {
  readonly key: string;
  readonly path: string;
  /** JSON body of a POST; `undefined` sends a GET. */
  readonly body: object | undefined;
}

async function sendProbe(node: SiteNode, probe: ProbeRequest): Promise<number> {
  const res = await request(`${node.url}${probe.path}`, {
    method: probe.body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${probe.key}`, 'content-type': 'application/json' },
    body: probe.body === undefined ? null : JSON.stringify(probe.body),
  });
  await res.body.dump();
  return res.statusCode;
}

async function waitForNode(node: SiteNode, probe: ProbeRequest): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS;
  let status = await sendProbe(node, probe);
  while (status !== HTTP_OK) {
    if (performance.now() > deadline) {
      throw new Error(
        `node ${node.vm} responds to ${probe.path} with ${status} after ${TIMEOUT_MS} ms`,
      );
    }
    await sleep(POLL_MS);
    status = await sendProbe(node, probe);
  }
}

/** Resolves when each node has answered the request with 200. */
export async function waitUntilServing(
  nodes: readonly SiteNode[],
  probe: ProbeRequest,
): Promise<void> {
  await Promise.all(nodes.map((node) => waitForNode(node, probe)));
}

/** Creates a model request with a short prompt and an answer of one token. */
export function createModelProbe(key: string, model: string): ProbeRequest {
  const messages = [{ role: 'user', content: 'probe' }];
  return { key, path: '/v1/chat/completions', body: { model, max_tokens: 1, messages } };
}

/** Resolves when a server responds to `GET /` with any status. */
export async function waitUntilListening(url: string): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS;
  for (;;) {
    try {
      const res = await request(url);
      await res.body.dump();
      return;
    } catch (thrown) {
      if (performance.now() > deadline) throw thrown;
      await sleep(POLL_MS);
    }
  }
}
