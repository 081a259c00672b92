/** Runs one cell on its owner: admits requests, issues grants and ends them. */
import type { GrantId, RequestId, VmId } from '@hibiscusbank/core';
import { monotonicMs } from '@hibiscusbank/core';
import { createAdmission } from './admission.js';
import { COLLECTED_AUDIT_MS } from './audit.js';
import { createCellState } from './cell-state.js';
import type { CellState, GrantRecord } from './cell-state.js';
import { createDispatcher } from './dispatcher.js';
import type { CellDeps } from './dispatcher.js';
import { createEstimates } from './estimates.js';
import type { Estimates } from './estimates.js';
import { createHealthRecorder } from './health.js';
import type { HealthRecorder } from './health.js';
import { CONFIRM_LIMIT_MS, RESUME_LIMIT_MS } from './messages.js';
import type { GrantAllocation, PlaceParams, PlaceReply } from './messages.js';
import { hasAllRoles } from './partition.js';
import type { CellPlan } from './partition.js';
import type { CellSummary, ReleaseReport } from './types.js';
import type { ColdStartRights } from './upstream-state.js';
import { countSlots } from './wait-estimate.js';
import { createWaitingList } from './waiting.js';
import type { WaitingRequest, WaitingList } from './waiting.js';

const MIN_RETRY_AFTER_MS = 100;
/**
 * The owner ends an overdue prefill after this multiple of its estimate plus the margin, which is
 * later than the gateway's time limit of 3 times the estimate.
 */
const PREFILL_STALL_FACTOR = 3;
const PREFILL_STALL_MARGIN_MS = 4_000;

export interface Cell {
  plan(): CellPlan;
  rights(): ColdStartRights;
  readonly state: CellState;
  readonly waiting: WaitingList;
  readonly estimates: Estimates;
  place(params: PlaceParams, from: VmId): Promise<PlaceReply>;
  cancel(requestId: RequestId, attempt: number): void;
  /** Confirms grants; returns those that the cell does not know. */
  confirm(grants: readonly GrantId[]): GrantId[];
  /** Counts grants that were issued by another owner or by this one before a restart. */
  recordCollected(allocations: readonly GrantAllocation[], holder: VmId): void;
  finishPrefill(grant: GrantId, report: ReleaseReport): void;
  release(grant: GrantId, report: ReleaseReport): void;
  /** Makes `holder` the holder of the grant of an attempt. */
  adopt(requestId: RequestId, attempt: number, holder: VmId): GrantAllocation | undefined;
  /** Applies a changed plan; returns whether grants of added upstreams must be collected. */
  update(plan: CellPlan): boolean;
  /** Removes the requests of a dead holder from the queue and marks its grants for resume. */
  handleHolderDeath(vm: VmId): void;
  /** Ends expired grants and overdue prefills, and removes expired waiting requests. */
  expire(): void;
  dispatch(): void;
  summary(): CellSummary;
  /** Replies `moved` to all waiting requests, so that their nodes ask the next owner. */
  close(): void;
}

/** Creates a cell. It issues grants only while `deps.mayGrant` returns true. */
export function createCell(initial: CellPlan, deps: CellDeps): Cell {
  const { telemetry, metrics } = deps;
  let plan = initial;
  const state = createCellState(telemetry.invariants);
  const waiting = createWaitingList();
  const estimates = createEstimates(plan.pool);
  const health: HealthRecorder = createHealthRecorder(state, telemetry);

  const summary = (): CellSummary => {
    const { free, slots } = countSlots(state.upstreams(), deps.rights());
    const holdMs = estimates.holdMs();
    const queued = waiting.queue.size();
    const queueMs = slots === 0 ? 0 : (Math.max(0, queued - free) * holdMs) / slots;
    return { cell: plan.id, owner: deps.self, freeSlots: free, slots, queued, queueMs };
  };

  const refuse = (message: string, retryAfterMs: number): PlaceReply => ({
    kind: 'refused',
    message,
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs)),
    summary: summary(),
  });

  const dispatcher = createDispatcher({
    ...deps,
    plan: () => plan,
    state,
    waiting,
    estimates,
    summary,
    refuse,
  });

  const admission = createAdmission({
    plan: () => plan,
    state,
    waiting,
    estimates,
    rights: deps.rights,
    mayGrant: deps.mayGrant,
    summary,
    refuse,
  });

  const recordReply = (reply: PlaceReply, req: PlaceParams['req']): PlaceReply => {
    metrics.placements.inc({ pool: plan.pool.id, kind: reply.kind });
    if (reply.kind === 'refused') {
      telemetry.log('placementRefused', {
        request: req.requestId,
        cell: plan.id,
        reason: reply.message,
        retryAfterMs: reply.retryAfterMs,
      });
    }
    return reply;
  };

  const place = (params: PlaceParams, from: VmId): Promise<PlaceReply> => {
    const { req, mayOverflow } = params;
    const now = monotonicMs();
    const stillWaiting = (): PlaceReply => ({ kind: 'waiting', summary: summary() });
    const existing = state.grantOfAttempt(req.requestId, req.attempt);
    if (existing !== undefined) return Promise.resolve(dispatcher.replyWith(existing));
    const queued = waiting.find(req.requestId, req.attempt);
    if (queued !== undefined) {
      queued.lastAskedAt = now;
      return waiting.wait(queued, stillWaiting);
    }
    const entry = admission.createEntry(req, from, now);
    const earlyReply =
      admission.replyWithoutQueueing(entry, mayOverflow, now) ??
      admission.ensureQueueSpace(entry, now);
    if (earlyReply !== undefined) return Promise.resolve(recordReply(earlyReply, req));
    waiting.add(entry);
    const answer = waiting.wait(entry, stillWaiting);
    dispatcher.dispatch();
    return answer;
  };

  const removeGrant = (record: GrantRecord, reason: string): void => {
    state.remove(record, monotonicMs());
    metrics.droppedGrants.inc({ reason });
  };

  /** Ends an overdue prefill; otherwise a lost report would occupy its engine until the release. */
  const expirePrefill = (record: GrantRecord, now: number): void => {
    const { grant, prefilling } = record.allocation;
    if (!prefilling || grant.target.kind !== 'model') return;
    const limitMs = grant.target.prefillMs * PREFILL_STALL_FACTOR + PREFILL_STALL_MARGIN_MS;
    if (now - record.grantedAt > limitMs) state.endPrefill(record, now);
  };

  const expireGrant = (record: GrantRecord, now: number): void => {
    const { grant } = record.allocation;
    expirePrefill(record, now);
    const fields = { grant: grant.id, request: grant.requestId };
    if (record.abandonedAt !== undefined) {
      if (now - record.abandonedAt < RESUME_LIMIT_MS) return;
      removeGrant(record, 'abandoned');
      telemetry.log('grantAbandoned', fields);
      deps.onAbandoned(grant);
    } else if (!record.confirmed && now - record.grantedAt >= CONFIRM_LIMIT_MS) {
      removeGrant(record, 'unconfirmed');
      telemetry.log('grantExpired', fields);
    }
  };

  const expireWaiting = (entry: WaitingRequest, now: number): void => {
    if (!waiting.isLive(entry, now)) {
      waiting.settle(entry, { kind: 'moved' }, false);
      return;
    }
    dispatcher.refuseIfOverMaxWait(entry, now);
  };

  const updateServiceState = (now: number): void => {
    for (const upstream of state.upstreams()) {
      health.setOutOfService(upstream, deps.isOutOfService(upstream.entry), now);
    }
    const inService = state.upstreams().filter((upstream) => !upstream.outOfService);
    if (
      hasAllRoles(
        plan.pool,
        inService.map((upstream) => upstream.entry),
      )
    )
      return;
    // The nodes repeat the placement, possibly in another cell.
    for (const entry of waiting.queue.entries()) waiting.settle(entry, { kind: 'moved' }, false);
  };

  return {
    plan: () => plan,
    rights: deps.rights,
    state,
    waiting,
    estimates,
    place,
    cancel: (requestId, attempt) => {
      const entry = waiting.find(requestId, attempt);
      if (entry !== undefined) waiting.settle(entry, { kind: 'moved' }, false);
      const record = state.grantOfAttempt(requestId, attempt);
      if (record === undefined || record.confirmed) return;
      removeGrant(record, 'cancelled');
      dispatcher.dispatch();
    },
    confirm: (grants) => {
      const unknown: GrantId[] = [];
      for (const id of grants) {
        const record = state.grant(id);
        if (record === undefined) unknown.push(id);
        else record.confirmed = true;
      }
      return unknown;
    },
    recordCollected: (allocations, holder) => {
      const now = monotonicMs();
      for (const allocation of allocations) {
        const existing = state.grant(allocation.grant.id);
        if (existing !== undefined) {
          Object.assign(existing, { holder, confirmed: true, abandonedAt: undefined });
          continue;
        }
        const record = {
          allocation,
          holder,
          grantedAt: now,
          confirmed: true,
          abandonedAt: undefined,
          auditAt: now + COLLECTED_AUDIT_MS,
        };
        state.add(record, true, now);
      }
    },
    finishPrefill: (id, report) => {
      const record = state.grant(id);
      if (record === undefined) return;
      const now = monotonicMs();
      record.confirmed = true;
      state.endPrefill(record, now);
      estimates.recordPrefill(report);
      health.recordPrefill(record, report, now);
      dispatcher.dispatch();
    },
    release: (id, report) => {
      const record = state.grant(id);
      if (record === undefined) return;
      const now = monotonicMs();
      state.remove(record, now);
      estimates.recordRelease(report, record.allocation.expectedTokens, now - record.grantedAt);
      health.recordRelease(record, report, now);
      telemetry.log('grantReleased', { grant: id, outcome: report.outcome });
      dispatcher.dispatch();
    },
    adopt: (requestId, attempt, holder) => {
      const record = state.grantOfAttempt(requestId, attempt);
      if (record === undefined) return undefined;
      record.holder = holder;
      record.abandonedAt = undefined;
      record.confirmed = true;
      return record.allocation;
    },
    update: (next) => {
      plan = next;
      const now = monotonicMs();
      const added = state.update(next, now);
      updateServiceState(now);
      return added;
    },
    handleHolderDeath: (vm) => {
      const now = monotonicMs();
      for (const entry of waiting.queue.entries()) {
        if (entry.from === vm) waiting.settle(entry, { kind: 'moved' }, false);
      }
      for (const record of state.grants()) {
        if (record.holder === vm) record.abandonedAt ??= now;
      }
    },
    expire: () => {
      const now = monotonicMs();
      for (const record of [...state.grants()]) expireGrant(record, now);
      for (const entry of waiting.queue.entries()) expireWaiting(entry, now);
      waiting.queue.prune();
      dispatcher.dispatch();
    },
    dispatch: dispatcher.dispatch,
    summary,
    close: () => {
      dispatcher.stop();
      for (const entry of waiting.queue.entries()) waiting.settle(entry, { kind: 'moved' }, false);
    },
  };
}
