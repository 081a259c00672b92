/** Invariants that nodes report as broken. */
import { request } from 'undici';
import type { SiteNode } from './site.js';

interface StatusBody {
  readonly violations: readonly { readonly invariant: string; readonly detail: string }[];
}

const STATUS_TIMEOUT_MS = 2_000;

async function readNode(node: SiteNode): Promise<readonly string[]> {
  try {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    const res = await request(`${node.adminUrl}/status`, { signal });
    const { violations } = (await res.body.json()) as StatusBody;
    return violations.map(({ invariant, detail }) => `${invariant}: ${detail}`);
  } catch (thrown) {
    return [`node ${node.vm} gave no status: ${String(thrown)}`];
  }
}

/** Reads `violations` from the status page of each node, as `invariant: detail`. */
export async function readViolations(nodes: readonly SiteNode[]): Promise<readonly string[]> {
  return (await Promise.all(nodes.map(readNode))).flat();
}
