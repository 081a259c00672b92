/** Engines that were ordered to another role, by this node or by one that reports. */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import type { PeerReport, RoleChanges } from './peer-reports.js';
import type { EngineRole, ServingUpstream } from './types.js';

/** An engine gets no second order for this long: an order without an answer can be obeyed late. */
const ORDER_REST_MS = 20_000;

export interface ChangingRoles {
  recordOrder(upstream: UpstreamId, from: EngineRole): void;
  /** Engines that this node ordered lately, with the role that they had. */
  own(): RoleChanges;
  /** Whether this node ordered it lately, whether it has obeyed or not. */
  isResting(upstream: UpstreamId): boolean;
  /** Whether it was ordered to another role and still has the old one. */
  isChanging(upstream: ServingUpstream): boolean;
}

/** Creates the record of one node; `reports` are the last ones of reachable peers. */
export function createChangingRoles(reports: () => readonly PeerReport[]): ChangingRoles {
  const ordered = new Map<UpstreamId, { readonly at: number; readonly from: EngineRole }>();
  const isResting = (id: UpstreamId): boolean => {
    const last = ordered.get(id);
    if (last === undefined) return false;
    if (monotonicMs() - last.at < ORDER_REST_MS) return true;
    ordered.delete(id);
    return false;
  };
  return {
    recordOrder: (id, from) => {
      ordered.set(id, { at: monotonicMs(), from });
    },
    own: () =>
      Object.fromEntries(
        [...ordered].filter(([id]) => isResting(id)).map(([id, { from }]) => [id, from]),
      ),
    isResting,
    isChanging: ({ id, role }) => {
      if (role === undefined) return false;
      if (isResting(id) && ordered.get(id)?.from === role) return true;
      return reports().some(({ changing }) => changing?.[id] === role);
    },
  };
}
