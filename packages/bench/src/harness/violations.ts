/** Collects the invariant violations that nodes report, across their restarts. */
import { repeatUntilAborted } from '@hibiscusbank/core';
import { request } from 'undici';
import type { SiteNode } from './site.js';

const POLL_MS = 500;
const TIMEOUT_MS = 2_000;

export interface NodeStatus {
  readonly ready: boolean;
  readonly revision: number;
  readonly violations: readonly { readonly invariant: string; readonly detail: string }[];
}

/** Returns the `/status` of a node, or `undefined` when the node does not respond. */
export async function readNodeStatus(node: {
  readonly adminUrl: string;
}): Promise<NodeStatus | undefined> {
  try {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const res = await request(`${node.adminUrl}/status`, { signal });
    return (await res.body.json()) as NodeStatus;
  } catch {
    return undefined;
  }
}

export interface ViolationCollector {
  /** Distinct violations so far, as `vm: invariant: detail`. */
  readonly seen: ReadonlySet<string>;
  /**
   * Reads all nodes once. Must run before a node is killed, since the node loses its violations.
   */
  collect(): Promise<void>;
  stop(): Promise<void>;
}

/** Reads all nodes twice a second until stopped. */
export function collectViolations(nodes: readonly SiteNode[]): ViolationCollector {
  const seen = new Set<string>();
  const stopping = new AbortController();
  const collectOne = async (node: SiteNode): Promise<void> => {
    const status = await readNodeStatus(node);
    for (const { invariant, detail } of status?.violations ?? []) {
      seen.add(`${node.vm}: ${invariant}: ${detail}`);
    }
  };
  const collect = async (): Promise<void> => {
    await Promise.all(nodes.map(collectOne));
  };
  const polling = repeatUntilAborted(stopping.signal, () => POLL_MS, collect);
  return {
    seen,
    collect,
    stop: async () => {
      stopping.abort();
      await polling;
      await collect();
    },
  };
}

/**
 * Reads all nodes once. Returns `invariant: detail`, and an entry for each node that does not
 * respond.
 */
export async function readViolations(nodes: readonly SiteNode[]): Promise<readonly string[]> {
  const lists = await Promise.all(
    nodes.map(async (node) => {
      const status = await readNodeStatus(node);
      if (status === undefined) return [`node ${node.vm} did not respond to a status request`];
      return status.violations.map(({ invariant, detail }) => `${invariant}: ${detail}`);
    }),
  );
  return lists.flat();
}
