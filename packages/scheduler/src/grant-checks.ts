/** Invariants of an upstream after a grant. Collected grants may exceed the limits. */
import type { Invariants } from '@hibiscusbank/core';
import { memoryLimit } from './partition.js';
import { slowStartLimit } from './upstream-state.js';
import type { ColdStartRights, UpstreamState } from './upstream-state.js';

/** Checks slots, memory, slow-start limit and service state of a granted upstream. */
export function checkGrant(
  state: UpstreamState,
  rights: ColdStartRights,
  invariants: Invariants,
): void {
  const { entry, collected } = state;
  const collectedCount = collected.size;
  const check = (holds: boolean, name: string): void =>
    invariants.check(holds, name, () => {
      const { usedSlots, usedBlocks, active } = state;
      return `${entry.id}: ${usedSlots} slots, ${usedBlocks} blocks, ${active.size} grants`;
    });
  check(!state.outOfService, 'no_grant_out_of_service');
  check(state.usedSlots <= entry.capacity + collectedCount, 'slots_within_capacity');
  check(collectedCount > 0 || state.usedBlocks <= memoryLimit(entry), 'memory_within_blocks');
  const limit = slowStartLimit(state, rights);
  check(limit === undefined || state.active.size <= limit + collectedCount, 'cold_within_bound');
}
