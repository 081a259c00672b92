/** Sends confirmations, ended prefills and releases of this node's grants to the owners. */
import { sleep } from '@hibiscusbank/core';
import type { GrantId, Telemetry, VmId } from '@hibiscusbank/core';
import { slotUpstream } from './cell-state.js';
import type { CellChoice } from './cell-choice.js';
import type { GrantLedger } from './grant-ledger.js';
import { CALL_TIMEOUT_MS } from './messages.js';
import type { ConfirmParams, ConfirmReply, ReleaseParams, ReleaseReply } from './messages.js';
import type { SchedulerMetrics } from './metrics.js';
import type { CellPlan } from './partition.js';
import type { PeerCalls } from './peer-calls.js';
import type { Topology } from './topology.js';
import type { Grant, ReleaseReport } from './types.js';

/**
 * Grants are confirmed in batches after this time, well before they expire. An earlier release or
 * end of a prefill implies the confirmation, which saves the message for most short requests.
 */
const CONFIRM_DELAY_MS = 400;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;
/** Limit of unacknowledged releases: about 6 min of a node's requests at the target size. */
export const MAX_PENDING_RELEASES = 10_000;

export interface GrantReporter {
  /** Schedules the confirmation of the grant. */
  confirm(grant: Grant): void;
  /** Confirms the live grants whose cell has a new owner. */
  confirmToNewOwners(): void;
  reportPrefill(grant: Grant, report: ReleaseReport): void;
  /** Sends the release and retries until an owner has acknowledged it. */
  release(grant: Grant, report: ReleaseReport): void;
  pending(): number;
  stop(): void;
}

export interface GrantReporterOptions {
  readonly topology: Topology;
  readonly calls: PeerCalls;
  readonly ledger: GrantLedger;
  readonly choice: CellChoice;
  readonly telemetry: Telemetry;
  readonly metrics: SchedulerMetrics;
}

/** Creates the reporter of one node. */
export function createGrantReporter(options: GrantReporterOptions): GrantReporter {
  const { topology, calls, ledger, choice, telemetry, metrics } = options;
  const unconfirmed = new Set<GrantId>();
  const confirmedBy = new Map<GrantId, VmId>();
  const releases = new Map<GrantId, AbortController>();
  let flushTimer: NodeJS.Timeout | undefined;
  let stopped = false;

  /** Returns the cell that accounts for the grant now; a table edit may have changed it. */
  const findCurrentCell = (grant: Grant): CellPlan | undefined =>
    topology.findByUpstream(grant.pool, slotUpstream(grant.target));

  const forgetConfirmation = (id: GrantId): void => {
    unconfirmed.delete(id);
    confirmedBy.delete(id);
  };

  const sendConfirm = async (owner: VmId, plan: CellPlan, ids: GrantId[]): Promise<void> => {
    const send = (params: Omit<ConfirmParams, 'cell'>) =>
      calls.call<ConfirmReply>(
        owner,
        'cell.confirm',
        { cell: plan.id, ...params } satisfies ConfirmParams,
        CALL_TIMEOUT_MS,
      );
    const reply = await send({ grants: ids, filed: [] });
    if (reply.isErr() || reply.value.moved) return;
    const unknown = reply.value.unknown.flatMap((id) => ledger.find(id) ?? []);
    if (unknown.length > 0) {
      const recorded = await send({ grants: [], filed: unknown });
      if (recorded.isErr() || recorded.value.moved) return;
    }
    for (const id of ids) {
      unconfirmed.delete(id);
      if (ledger.find(id) !== undefined) confirmedBy.set(id, owner);
    }
  };

  const flush = async (): Promise<void> => {
    const byCell = new Map<CellPlan, GrantId[]>();
    for (const id of unconfirmed) {
      const allocation = ledger.find(id);
      const plan = allocation === undefined ? undefined : findCurrentCell(allocation.grant);
      if (plan === undefined) unconfirmed.delete(id);
      else byCell.set(plan, [...(byCell.get(plan) ?? []), id]);
    }
    await Promise.all(
      [...byCell].map(async ([plan, ids]) => {
        const owner = topology.findOwner(plan);
        if (owner !== undefined) await sendConfirm(owner, plan, ids);
      }),
    );
  };

  const scheduleFlush = (): void => {
    if (flushTimer !== undefined || stopped || unconfirmed.size === 0) return;
    flushTimer = setTimeout(() => {
      void flush().then(() => {
        flushTimer = undefined;
        scheduleFlush();
      });
    }, CONFIRM_DELAY_MS);
  };

  const sendRelease = async (
    grant: Grant,
    report: ReleaseReport,
    prefillOnly: boolean,
  ): Promise<boolean> => {
    const plan = findCurrentCell(grant);
    // No cell accounts for an upstream that was removed from the tables.
    if (plan === undefined) return true;
    const owner = topology.findOwner(plan);
    if (owner === undefined) return false;
    const params: ReleaseParams = { cell: plan.id, grant: grant.id, report, prefillOnly };
    const reply = await calls.call<ReleaseReply>(owner, 'cell.release', params, CALL_TIMEOUT_MS);
    if (reply.isErr() || reply.value.moved) return false;
    if (reply.value.summary !== undefined) choice.recordSummary(reply.value.summary);
    return true;
  };

  const removeRelease = (id: GrantId): void => {
    releases.delete(id);
    metrics.pendingReleases.set(releases.size);
  };

  const releaseUntilAcknowledged = async (grant: Grant, report: ReleaseReport): Promise<void> => {
    const abort = new AbortController();
    releases.set(grant.id, abort);
    metrics.pendingReleases.set(releases.size);
    let retryDelayMs = FIRST_RETRY_MS;
    while (!abort.signal.aborted && !(await sendRelease(grant, report, false))) {
      await sleep(retryDelayMs, abort.signal);
      retryDelayMs = Math.min(MAX_RETRY_MS, retryDelayMs * 2);
    }
    if (releases.get(grant.id) === abort) removeRelease(grant.id);
  };

  const dropOldest = (): void => {
    const oldest = releases.entries().next().value;
    if (oldest === undefined) return;
    const [id, abort] = oldest;
    abort.abort();
    removeRelease(id);
    telemetry.log('releaseDropped', { grant: id });
  };

  return {
    confirm: (grant) => {
      unconfirmed.add(grant.id);
      scheduleFlush();
    },
    confirmToNewOwners: () => {
      for (const { grant } of ledger.live()) {
        const plan = findCurrentCell(grant);
        const owner = plan === undefined ? undefined : topology.findOwner(plan);
        const known = confirmedBy.get(grant.id) ?? grant.owner;
        if (owner !== undefined && owner !== known) unconfirmed.add(grant.id);
      }
      scheduleFlush();
    },
    reportPrefill: (grant, report) => {
      void sendRelease(grant, report, true).then((acknowledged) => {
        if (acknowledged) unconfirmed.delete(grant.id);
      });
    },
    release: (grant, report) => {
      forgetConfirmation(grant.id);
      if (releases.size >= MAX_PENDING_RELEASES) dropOldest();
      void releaseUntilAcknowledged(grant, report);
    },
    pending: () => releases.size,
    stop: () => {
      stopped = true;
      clearTimeout(flushTimer);
      for (const abort of releases.values()) abort.abort();
    },
  };
}
