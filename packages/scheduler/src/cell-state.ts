/** Upstreams and live grants of one cell, and the accounting between them. */
import type { GrantId, Invariants, RequestId, UpstreamId, VmId } from '@hibiscusbank/core';
import type { FiledGrant } from './messages.js';
import type { CellPlan } from './partition.js';
import { createUpstreamState } from './upstream-state.js';
import type { UpstreamState } from './upstream-state.js';
import type { GrantTarget } from './types.js';

/** A live grant as its owner keeps it. */
export interface GrantRecord {
  filed: FiledGrant;
  holder: VmId;
  readonly grantedAt: number;
  confirmed: boolean;
  /** When the holder was found dead. */
  abandonedAt: number | undefined;
  /** When the holder is asked whether it still has the grant. */
  auditAt: number;
}

export interface CellState {
  upstreams(): readonly UpstreamState[];
  upstream(id: UpstreamId): UpstreamState | undefined;
  grants(): IterableIterator<GrantRecord>;
  grant(id: GrantId): GrantRecord | undefined;
  grantByRef(requestId: RequestId, attempt: number): GrantRecord | undefined;
  grantCount(): number;
  /** Follows the table; returns whether there are upstreams that the cell did not have before. */
  update(plan: CellPlan, now: number): boolean;
  file(record: GrantRecord, collected: boolean, now: number): void;
  endPrefill(record: GrantRecord, now: number): void;
  drop(record: GrantRecord, now: number): void;
}

export const refKey = (requestId: RequestId, attempt: number): string => `${requestId}/${attempt}`;

/** The upstream that holds the slot of a grant. */
export const slotUpstream = (target: GrantTarget): UpstreamId =>
  target.kind === 'plain' ? target.server.upstream : target.decode.upstream;

/** All upstreams of a grant. */
export const upstreamsOf = (target: GrantTarget): UpstreamId[] =>
  target.kind === 'plain'
    ? [target.server.upstream]
    : [target.prefill.upstream, target.decode.upstream];

function occupy(state: UpstreamState, filed: FiledGrant, now: number): void {
  const { grant, blocks, prefillMs, prefilling } = filed;
  const { target } = grant;
  if (slotUpstream(target) === state.entry.id) {
    state.slots += 1;
    state.blocks += blocks;
    state.active.add(grant.id);
  }
  if (target.kind === 'model' && target.prefill.upstream === state.entry.id && prefilling) {
    state.prefills.add(grant.id, prefillMs, now);
    state.active.add(grant.id);
  }
}

function vacatePrefill(state: UpstreamState | undefined, filed: FiledGrant, now: number): void {
  if (state === undefined) return;
  const { grant } = filed;
  state.prefills.remove(grant.id, now);
  if (slotUpstream(grant.target) === state.entry.id) return;
  state.active.delete(grant.id);
  state.collected.delete(grant.id);
}

function vacateSlot(state: UpstreamState | undefined, filed: FiledGrant): void {
  if (state === undefined || !state.active.has(filed.grant.id)) return;
  state.slots -= 1;
  state.blocks -= filed.blocks;
  state.active.delete(filed.grant.id);
  state.collected.delete(filed.grant.id);
}

/** Creates the state of a cell without upstreams; `update` adds them. */
export function createCellState(invariants: Invariants): CellState {
  let states = new Map<UpstreamId, UpstreamState>();
  let list: readonly UpstreamState[] = [];
  const records = new Map<GrantId, GrantRecord>();
  const byRef = new Map<string, GrantRecord>();

  const checkCounts = (state: UpstreamState): void => {
    invariants.check(
      state.slots >= 0 && state.blocks >= 0,
      'slots_not_negative',
      () => `${state.entry.id} has ${state.slots} slots and ${state.blocks} blocks in use`,
    );
  };

  const forget = (record: GrantRecord): void => {
    const { grant } = record.filed;
    records.delete(grant.id);
    const key = refKey(grant.requestId, grant.attempt);
    if (byRef.get(key) === record) byRef.delete(key);
  };

  return {
    upstreams: () => list,
    upstream: (id) => states.get(id),
    grants: () => records.values(),
    grant: (id) => records.get(id),
    grantByRef: (requestId, attempt) => byRef.get(refKey(requestId, attempt)),
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
          state.slowStart.continueAt(wasWarm ? entry.capacity : previous.slowStart.level(), now);
          state.out = previous.out;
          state.collectedWarmth = true;
        }
        for (const record of records.values()) {
          occupy(state, record.filed, now);
          // A smaller capacity may leave more grants than fit.
          if (state.active.has(record.filed.grant.id)) state.collected.add(record.filed.grant.id);
        }
        next.set(entry.id, state);
      }
      states = next;
      list = [...next.values()];
      return added;
    },
    file: (record, collected, now) => {
      const { filed } = record;
      if (records.has(filed.grant.id)) return;
      records.set(filed.grant.id, record);
      byRef.set(refKey(filed.grant.requestId, filed.grant.attempt), record);
      for (const id of new Set(upstreamsOf(filed.grant.target))) {
        const state = states.get(id);
        if (state === undefined) continue;
        occupy(state, filed, now);
        if (collected && state.active.has(filed.grant.id)) state.collected.add(filed.grant.id);
      }
    },
    endPrefill: (record, now) => {
      const { filed } = record;
      if (!filed.prefilling || filed.grant.target.kind !== 'model') return;
      record.filed = { ...filed, prefilling: false };
      vacatePrefill(states.get(filed.grant.target.prefill.upstream), filed, now);
    },
    drop: (record, now) => {
      const { filed } = record;
      if (!records.has(filed.grant.id)) return;
      if (filed.grant.target.kind === 'model' && filed.prefilling) {
        vacatePrefill(states.get(filed.grant.target.prefill.upstream), filed, now);
      }
      const state = states.get(slotUpstream(filed.grant.target));
      vacateSlot(state, filed);
      if (state !== undefined) checkCounts(state);
      forget(record);
    },
  };
}
