/** Polls which configuration each node applies, by its effect on requests. */
import { sleep } from '@hibiscusbank/core';
import { Agent, request } from 'undici';
import type { SiteNode } from '../harness/site.js';
import { parseCounter } from './config-edits.js';
import type { CounterEdit, EditLog, IssuedKey } from './config-edits.js';

const POLL_MS = 100;
const TIMEOUT_MS = 2_000;
const HTTP_OK = 200;
const HTTP_UNAUTHORISED = 401;

/** Configuration that one node applied over time. */
export interface NodeHistory {
  readonly vm: string;
  /** Increasing counter values, each with the time of the first response that contained it. */
  readonly counterIncreases: { readonly value: number; readonly atMs: number }[];
  /** Times of polls at which the node was not ready. */
  readonly unreadyAtMs: number[];
  readonly reverts: string[];
  /**
   * Requests with a withdrawn key that the node still accepted: ms from just before the accepted
   * withdrawal to the sending of the request.
   */
  readonly lateUses: number[];
}

interface NodeWatch {
  readonly node: SiteNode;
  readonly history: NodeHistory;
  readonly log: EditLog;
  readonly client: Agent;
  readonly permanentKey: string;
  /** Keys that this node accepted. */
  readonly accepted: Set<IssuedKey>;
  /** Keys that this node refused after it had accepted them. */
  readonly refused: Set<IssuedKey>;
}

interface ProbeResponse {
  readonly status: number;
  readonly models: readonly string[];
}

async function sendProbe({ client }: NodeWatch, url: string, key?: string): Promise<ProbeResponse> {
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

function recordCounter({ history }: NodeWatch, value: number): void {
  const last = history.counterIncreases.at(-1)?.value ?? -1;
  if (value > last) history.counterIncreases.push({ value, atMs: performance.now() });
  if (value < last) history.reverts.push(`${history.vm} returned counter ${value} after ${last}`);
}

async function probeKey(watch: NodeWatch, key: IssuedKey): Promise<void> {
  const { history, accepted, refused, node } = watch;
  const sentAtMs = performance.now();
  const wasClosing = key.isClosing;
  const { status } = await sendProbe(watch, `${node.url}/v1/models`, key.key);
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
  if (!wasClosing && !key.isClosing)
    history.reverts.push(`${history.vm} refused a valid key that it had accepted`);
}

/**
 * Returns the keys whose issue or withdrawal this node has not applied yet, and one other key per
 * round.
 */
function listProbes({ log, accepted, refused }: NodeWatch, round: number): readonly IssuedKey[] {
  const unconfirmed = log.keys.filter(
    (key) => !refused.has(key) && (key.isClosing || !accepted.has(key)),
  );
  const nextInTurn = log.keys[round % Math.max(1, log.keys.length)];
  return nextInTurn === undefined || unconfirmed.includes(nextInTurn)
    ? unconfirmed
    : [...unconfirmed, nextInTurn];
}

async function poll(watch: NodeWatch, round: number): Promise<void> {
  const { node, history } = watch;
  const ready = await sendProbe(watch, `${node.adminUrl}/readyz`);
  if (ready.status !== HTTP_OK) {
    history.unreadyAtMs.push(performance.now());
    return;
  }
  const { status, models } = await sendProbe(watch, `${node.url}/v1/models`, watch.permanentKey);
  if (status === HTTP_OK) recordCounter(watch, parseCounter(models));
  await Promise.all(listProbes(watch, round).map((key) => probeKey(watch, key)));
}

async function watchNode(watch: NodeWatch, signal: AbortSignal): Promise<void> {
  for (let round = 0; !signal.aborted; round += 1) {
    const startedAt = performance.now();
    await poll(watch, round);
    await sleep(Math.max(1, POLL_MS - (performance.now() - startedAt)), signal);
  }
  await watch.client.destroy();
}

/** Starts to poll all nodes. The histories are complete when `done` resolves after the abort. */
export function watchNodes(
  nodes: readonly SiteNode[],
  log: EditLog,
  permanentKey: string,
  signal: AbortSignal,
): { readonly histories: readonly NodeHistory[]; readonly done: Promise<unknown> } {
  const watches = nodes.map((node): NodeWatch => {
    const history = {
      vm: node.vm,
      counterIncreases: [],
      unreadyAtMs: [],
      reverts: [],
      lateUses: [],
    };
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
  /** For each edit, the time until it was in force on all nodes that were ready throughout. */
  readonly inForceMs: readonly number[];
  /** Times until an edit was in force on a node that was not ready for part of that time. */
  readonly restartedMs: readonly number[];
}

/**
 * Computes propagation times. An edit that a node never applied counts as the time to the end of
 * the run.
 */
export function computePropagation(
  edits: readonly CounterEdit[],
  histories: readonly NodeHistory[],
  endMs: number,
): Propagation {
  const inForceMs: number[] = [];
  const restartedMs: number[] = [];
  for (const { value, atMs } of edits) {
    let lastInForceMs = 0;
    for (const { counterIncreases, unreadyAtMs } of histories) {
      const seenAtMs = counterIncreases.find((increase) => increase.value >= value)?.atMs ?? endMs;
      const wasUnready = unreadyAtMs.some((at) => at >= atMs && at <= seenAtMs);
      const elapsedMs = Math.max(0, seenAtMs - atMs);
      if (wasUnready) restartedMs.push(elapsedMs);
      else lastInForceMs = Math.max(lastInForceMs, elapsedMs);
    }
    inForceMs.push(lastInForceMs);
  }
  return { inForceMs, restartedMs };
}
