/**
 * Remembers upstreams that answered that a request is misdirected: another process has their address,
 * or they restarted in another role. Their entry shows this only with their next report to the store,
 * until then every further request would fail in the same way after its prompt was prefilled.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import type { ServingUpstream } from './types.js';

/** Time after which an upstream is tried again although its entry is unchanged. */
const RETRY_MS = 3_000;

type Identity = Pick<ServingUpstream, 'id' | 'address' | 'role' | 'startedAt'>;

export interface MovedUpstreams {
  record(upstream: Identity): void;
  /** Whether the upstream is misdirected as its entry describes it. */
  has(upstream: Identity): boolean;
}

/** Creates the record of one node. */
export function createMovedUpstreams(): MovedUpstreams {
  const moved = new Map<UpstreamId, Identity & { readonly at: number }>();
  return {
    record: ({ id, address, role, startedAt }) => {
      for (const [other, { at }] of moved) {
        if (monotonicMs() - at >= RETRY_MS) moved.delete(other);
      }
      moved.set(id, { id, address, role, startedAt, at: monotonicMs() });
    },
    has: ({ id, address, role, startedAt }) => {
      const known = moved.get(id);
      return (
        known !== undefined &&
        known.address === address &&
        known.role === role &&
        known.startedAt === startedAt &&
        monotonicMs() - known.at < RETRY_MS
      );
    },
  };
}
