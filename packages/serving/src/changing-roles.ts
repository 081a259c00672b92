/** Tracks engines that were ordered to change role, by this node or by a peer. */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';
import type { PeerReport, RoleChanges } from './peer-reports.js';
import type { EngineRole, ServingUpstream } from './types.js';

/**
 * Time for which an engine gets no second order. An order that got no response may still be carried
 * out late.
 */
const ORDER_COOLDOWN_MS = 20_000;

export interface ChangingRoles {
  recordOrder(upstream: UpstreamId, from: EngineRole): void;
  /** Returns the engines that this node ordered to change recently, with their previous roles. */
  localOrders(): RoleChanges;
  /** Whether this node sent the engine an order recently, carried out or not. */
  isInCooldown(upstream: UpstreamId): boolean;
  /** Whether the engine was ordered to change role and still has its previous role. */
  isChanging(upstream: ServingUpstream): boolean;
}

/** Creates the record of one node. `reports` returns the last reports of the live peers. */
export function createChangingRoles(reports: () => readonly PeerReport[]): ChangingRoles {
  const ordered = new Map<UpstreamId, { readonly at: number; readonly from: EngineRole }>();
  const isInCooldown = (id: UpstreamId): boolean => {
    const last = ordered.get(id);
    if (last === undefined) return false;
    if (monotonicMs() - last.at < ORDER_COOLDOWN_MS) return true;
    ordered.delete(id);
    return false;
  };
  return {
    recordOrder: (id, from) => {
      ordered.set(id, { at: monotonicMs(), from });
    },
    localOrders: () =>
      Object.fromEntries(
        [...ordered].filter(([id]) => isInCooldown(id)).map(([id, { from }]) => [id, from]),
      ),
    isInCooldown,
    isChanging: ({ id, role }) => {
      if (role === undefined) return false;
      if (isInCooldown(id) && ordered.get(id)?.from === role) return true;
      return reports().some(({ changing }) => changing?.[id] === role);
    },
  };
}
