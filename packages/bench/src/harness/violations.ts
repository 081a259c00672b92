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

/** Reads `/status`, or `undefined` when the node does not answer. */
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
  /** Distinct violations as `vm: invariant: detail`. */
  readonly seen: ReadonlySet<string>;
  /** Reads all nodes once; call it before a node is killed, which forgets its violations. */
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

/** Reads all nodes once, as `invariant: detail`; a node that does not answer is reported too. */
export async function readViolations(nodes: readonly SiteNode[]): Promise<readonly string[]> {
  const lists = await Promise.all(
    nodes.map(async (node) => {
      const status = await readNodeStatus(node);
      if (status === undefined) return [`node ${node.vm} gave no status`];
      return status.violations.map(({ invariant, detail }) => `${invariant}: ${detail}`);
    }),
  );
  return lists.flat();
}
