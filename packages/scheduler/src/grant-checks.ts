/** Invariants of one upstream after a grant. Grants collected on takeover may exceed the limits. */
import type { Invariants } from '@hibiscusbank/core';
import { memoryLimit } from './partition.js';
import { coldBound } from './upstream-state.js';
import type { ColdRights, UpstreamState } from './upstream-state.js';

/** Checks slots, memory, cold bound and service of an upstream that was just granted. */
export function checkGrant(state: UpstreamState, rights: ColdRights, invariants: Invariants): void {
  const { entry, collected } = state;
  const excess = collected.size;
  const check = (holds: boolean, name: string): void =>
    invariants.check(holds, name, () => {
      const { slots, blocks, active } = state;
      return `${entry.id}: ${slots} slots, ${blocks} blocks, ${active.size} grants`;
    });
  check(!state.out, 'no_grant_out_of_service');
  check(state.slots <= entry.capacity + excess, 'slots_within_capacity');
  check(excess > 0 || state.blocks <= memoryLimit(entry), 'memory_within_blocks');
  const bound = coldBound(state, rights);
  check(bound === undefined || state.active.size <= bound + excess, 'cold_within_bound');
}
