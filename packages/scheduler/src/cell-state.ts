/** Upstreams and live grants of one cell, and the capacity that the grants use. */
import type { GrantId, Invariants, RequestId, UpstreamId, VmId } from '@hibiscusbank/core';
import type { GrantAllocation } from './messages.js';
import type { CellPlan } from './partition.js';
import { createUpstreamState } from './upstream-state.js';
import type { UpstreamState } from './upstream-state.js';
import type { GrantTarget } from './types.js';

/** A live grant as recorded by the owner of its cell. */
export interface GrantRecord {
  allocation: GrantAllocation;
  holder: VmId;
  readonly grantedAt: number;
  confirmed: boolean;
  /** Time at which the holder was found dead or denied holding the grant. */
  abandonedAt: number | undefined;
  /** Time at which the holder is next asked whether it still has the grant. */
  auditAt: number;
}

export interface CellState {
  upstreams(): readonly UpstreamState[];
  upstream(id: UpstreamId): UpstreamState | undefined;
  grants(): IterableIterator<GrantRecord>;
  grant(id: GrantId): GrantRecord | undefined;
  grantOfAttempt(requestId: RequestId, attempt: number): GrantRecord | undefined;
  grantCount(): number;
  /** Applies a changed plan; returns whether it adds upstreams to the cell. */
  update(plan: CellPlan, now: number): boolean;
  add(record: GrantRecord, collected: boolean, now: number): void;
  endPrefill(record: GrantRecord, now: number): void;
  remove(record: GrantRecord, now: number): void;
}

export const attemptKey = (requestId: RequestId, attempt: number): string =>
  `${requestId}/${attempt}`;

/** Returns the upstream on which the grant uses a slot. */
export const slotUpstream = (target: GrantTarget): UpstreamId =>
  target.kind === 'plain' ? target.server.upstream : target.decode.upstream;

/** Returns all upstreams of a grant. */
export const upstreamsOf = (target: GrantTarget): UpstreamId[] =>
  target.kind === 'plain'
    ? [target.server.upstream]
    : [target.prefill.upstream, target.decode.upstream];

function reserve(state: UpstreamState, allocation: GrantAllocation, now: number): void {
  const { grant, blocks, prefillMs, prefilling } = allocation;
  const { target } = grant;
  if (slotUpstream(target) === state.entry.id) {
    state.usedSlots += 1;
    state.usedBlocks += blocks;
    state.active.add(grant.id);
  }
  if (target.kind === 'model' && target.prefill.upstream === state.entry.id && prefilling) {
    state.prefills.add(grant.id, prefillMs, now);
    state.active.add(grant.id);
  }
}

function releasePrefill(
  state: UpstreamState | undefined,
  allocation: GrantAllocation,
  now: number,
): void {
  if (state === undefined) return;
  const { grant } = allocation;
  state.prefills.remove(grant.id, now);
  if (slotUpstream(grant.target) === state.entry.id) return;
  state.active.delete(grant.id);
  state.collected.delete(grant.id);
}

function releaseSlot(state: UpstreamState | undefined, allocation: GrantAllocation): void {
  if (state === undefined || !state.active.has(allocation.grant.id)) return;
  state.usedSlots -= 1;
  state.usedBlocks -= allocation.blocks;
  state.active.delete(allocation.grant.id);
  state.collected.delete(allocation.grant.id);
}

/** Creates the state of a cell without upstreams; `update` adds them. */
export function createCellState(invariants: Invariants): CellState {
  let states = new Map<UpstreamId, UpstreamState>();
  let list: readonly UpstreamState[] = [];
  const records = new Map<GrantId, GrantRecord>();
  const recordsByAttempt = new Map<string, GrantRecord>();

  const checkCounts = (state: UpstreamState): void => {
    invariants.check(
      state.usedSlots >= 0 && state.usedBlocks >= 0,
      'slots_not_negative',
      () => `${state.entry.id} has ${state.usedSlots} slots and ${state.usedBlocks} blocks in use`,
    );
  };

  const removeRecord = (record: GrantRecord): void => {
    const { grant } = record.allocation;
    records.delete(grant.id);
    const key = attemptKey(grant.requestId, grant.attempt);
    if (recordsByAttempt.get(key) === record) recordsByAttempt.delete(key);
  };

  return {
    upstreams: () => list,
    upstream: (id) => states.get(id),
    grants: () => records.values(),
    grant: (id) => records.get(id),
    grantOfAttempt: (requestId, attempt) => recordsByAttempt.get(attemptKey(requestId, attempt)),
    grantCount: () => records.size,
    update: (plan, now) => {
      let added = false;
      const next = new Map<UpstreamId, UpstreamState>();
      for (const entry of plan.upstreams) {
        const previous = states.get(entry.id);
        const unchanged =
          previous !== undefined &&
          previous.entry.capacity === entry.capacity &&
          previous.entry.role === entry.role &&
          previous.entry.coldLimit === entry.coldLimit;
        if (unchanged) {
          next.set(entry.id, Object.assign(previous, { entry }));
          continue;
        }
        added ||= previous === undefined;
        const state = createUpstreamState(entry, now);
        if (previous !== undefined) {
          const wasWarm = !previous.slowStart.isCold();
          state.slowStart.resumeAt(wasWarm ? entry.capacity : previous.slowStart.level(), now);
          state.outOfService = previous.outOfService;
          state.slowStartCollected = true;
        }
        for (const record of records.values()) {
          reserve(state, record.allocation, now);
          // After a reduction of the capacity, live grants may exceed it, as collected ones do.
          if (state.active.has(record.allocation.grant.id))
            state.collected.add(record.allocation.grant.id);
        }
        next.set(entry.id, state);
      }
      states = next;
      list = [...next.values()];
      return added;
    },
    add: (record, collected, now) => {
      const { allocation } = record;
      if (records.has(allocation.grant.id)) return;
      records.set(allocation.grant.id, record);
      recordsByAttempt.set(
        attemptKey(allocation.grant.requestId, allocation.grant.attempt),
        record,
      );
      for (const id of new Set(upstreamsOf(allocation.grant.target))) {
        const state = states.get(id);
        if (state === undefined) continue;
        reserve(state, allocation, now);
        if (collected && state.active.has(allocation.grant.id))
          state.collected.add(allocation.grant.id);
      }
    },
    endPrefill: (record, now) => {
      const { allocation } = record;
      if (!allocation.prefilling || allocation.grant.target.kind !== 'model') return;
      record.allocation = { ...allocation, prefilling: false };
      releasePrefill(states.get(allocation.grant.target.prefill.upstream), allocation, now);
    },
    remove: (record, now) => {
      const { allocation } = record;
      if (!records.has(allocation.grant.id)) return;
      if (allocation.grant.target.kind === 'model' && allocation.prefilling) {
        releasePrefill(states.get(allocation.grant.target.prefill.upstream), allocation, now);
      }
      const state = states.get(slotUpstream(allocation.grant.target));
      releaseSlot(state, allocation);
      if (state !== undefined) checkCounts(state);
      removeRecord(record);
    },
  };
}
