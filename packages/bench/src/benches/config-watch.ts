/** Polls what configuration is in force on each node, by its effect on requests. */
import { sleep } from '@hibiscusbank/core';
import { Agent, request } from 'undici';
import type { SiteNode } from '../harness/site.js';
import { readCounter } from './config-edits.js';
import type { CounterEdit, EditLog, IssuedKey } from './config-edits.js';

const POLL_MS = 100;
const TIMEOUT_MS = 2_000;
const HTTP_OK = 200;
const HTTP_UNAUTHORISED = 401;

/** What one node showed over time. */
export interface NodeHistory {
  readonly vm: string;
  /** Rising values of the counter with the time of the answer that first showed them. */
  readonly rises: { readonly value: number; readonly atMs: number }[];
  /** Times of polls at which the node was not ready. */
  readonly unreadyAtMs: number[];
  readonly reverts: string[];
  /** Uses of withdrawn keys, in ms from the accepted withdrawal to the sending of the request. */
  readonly lateUses: number[];
}

interface Watch {
  readonly node: SiteNode;
  readonly history: NodeHistory;
  readonly log: EditLog;
  readonly client: Agent;
  readonly permanentKey: string;
  /** Keys that this node accepted, and those that it refused after they were valid. */
  readonly accepted: Set<IssuedKey>;
  readonly refused: Set<IssuedKey>;
}

interface Answer {
  readonly status: number;
  readonly models: readonly string[];
}

async function call({ client }: Watch, url: string, key?: string): Promise<Answer> {
  try {
    const res = await request(url, {
      dispatcher: client,
      signal: AbortSignal.timeout(TIMEOUT_MS),
      headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
    });
    const text = await res.body.text();
    if (res.statusCode !== HTTP_OK || key === undefined) {
      return { status: res.statusCode, models: [] };
    }
    const { data } = JSON.parse(text) as { data: readonly { readonly id: string }[] };
    return { status: res.statusCode, models: data.map(({ id }) => id) };
  } catch {
    return { status: 0, models: [] };
  }
}

function noteCounter({ history }: Watch, value: number): void {
  const last = history.rises.at(-1)?.value ?? -1;
  if (value > last) history.rises.push({ value, atMs: performance.now() });
  if (value < last) history.reverts.push(`${history.vm} showed ${value} after ${last}`);
}

async function probeKey(watch: Watch, key: IssuedKey): Promise<void> {
  const { history, accepted, refused, node } = watch;
  const sentAtMs = performance.now();
  const wasClosing = key.isClosing;
  const { status } = await call(watch, `${node.url}/v1/models`, key.key);
  if (status === HTTP_OK) {
    if (refused.has(key)) history.reverts.push(`${history.vm} accepted a withdrawn key again`);
    accepted.add(key);
    const { withdrawnAtMs } = key;
    if (withdrawnAtMs !== undefined && sentAtMs > withdrawnAtMs) {
      history.lateUses.push(sentAtMs - withdrawnAtMs);
    }
  }
  if (status !== HTTP_UNAUTHORISED || !accepted.has(key)) return;
  refused.add(key);
  if (!wasClosing && !key.isClosing) history.reverts.push(`${history.vm} forgot a valid key`);
}

/** Keys whose issue or withdrawal this node has not shown yet, and one of the others in turn. */
function listProbes({ log, accepted, refused }: Watch, round: number): readonly IssuedKey[] {
  const open = log.keys.filter((key) => !refused.has(key) && (key.isClosing || !accepted.has(key)));
  const other = log.keys[round % Math.max(1, log.keys.length)];
  return other === undefined || open.includes(other) ? open : [...open, other];
}

async function poll(watch: Watch, round: number): Promise<void> {
  const { node, history } = watch;
  const ready = await call(watch, `${node.adminUrl}/readyz`);
  if (ready.status !== HTTP_OK) {
    history.unreadyAtMs.push(performance.now());
    return;
  }
  const { status, models } = await call(watch, `${node.url}/v1/models`, watch.permanentKey);
  if (status === HTTP_OK) noteCounter(watch, readCounter(models));
  await Promise.all(listProbes(watch, round).map((key) => probeKey(watch, key)));
}

async function watchNode(watch: Watch, signal: AbortSignal): Promise<void> {
  for (let round = 0; !signal.aborted; round += 1) {
    const startedAt = performance.now();
    await poll(watch, round);
    await sleep(Math.max(1, POLL_MS - (performance.now() - startedAt)), signal);
  }
  await watch.client.destroy();
}

/** Starts to poll; the histories are complete when `done` resolves after the abort. */
export function watchNodes(
  nodes: readonly SiteNode[],
  log: EditLog,
  permanentKey: string,
  signal: AbortSignal,
): { readonly histories: readonly NodeHistory[]; readonly done: Promise<unknown> } {
  const watches = nodes.map((node): Watch => {
    const history = { vm: node.vm, rises: [], unreadyAtMs: [], reverts: [], lateUses: [] };
    return {
      node,
      history,
      log,
      permanentKey,
      client: new Agent({ connections: 8 }),
      accepted: new Set(),
      refused: new Set(),
    };
  });
  return {
    histories: watches.map(({ history }) => history),
    done: Promise.all(watches.map((watch) => watchNode(watch, signal))),
  };
}

export interface Propagation {
  /** For every edit the time until the last node that was ready throughout had it in force. */
  readonly inForceMs: readonly number[];
  /** The same for nodes that were not ready for a part of the time. */
  readonly restartedMs: readonly number[];
}

/** An edit that a node never showed counts up to the end of the run. */
export function computePropagation(
  edits: readonly CounterEdit[],
  histories: readonly NodeHistory[],
  endMs: number,
): Propagation {
  const inForceMs: number[] = [];
  const restartedMs: number[] = [];
  for (const { value, atMs } of edits) {
    let last = 0;
    for (const { rises, unreadyAtMs } of histories) {
      const seenAtMs = rises.find((rise) => rise.value >= value)?.atMs ?? endMs;
      const wasUnready = unreadyAtMs.some((at) => at >= atMs && at <= seenAtMs);
      const elapsedMs = Math.max(0, seenAtMs - atMs);
      if (wasUnready) restartedMs.push(elapsedMs);
      else last = Math.max(last, elapsedMs);
    }
    inForceMs.push(last);
  }
  return { inForceMs, restartedMs };
}
