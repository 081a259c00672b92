/** Requests that wait in a cell, and the pending replies to the nodes that poll for them. */
import type { RequestId, VmId } from '@hibiscusbank/core';
import { attemptKey } from './cell-state.js';
import { createFairQueue } from './fair-queue.js';
import type { FairQueue } from './fair-queue.js';
import { ABANDONED_WAIT_MS, POLL_INTERVAL_MS } from './messages.js';
import type { PlaceReply } from './messages.js';
import type { EstimatedRequest } from './wait-estimate.js';
import type { PlacementRequest } from './types.js';

export interface WaitingRequest extends EstimatedRequest {
  readonly req: PlacementRequest;
  readonly from: VmId;
  lastAskedAt: number;
  /** Time at which the request was first skipped for lack of memory. */
  memoryBlockedSince: number | undefined;
}

export interface WaitingList {
  readonly queue: FairQueue<WaitingRequest>;
  find(requestId: RequestId, attempt: number): WaitingRequest | undefined;
  add(entry: WaitingRequest): void;
  /** Resolves with the reply of `settle`, or with `stillWaiting()` after the poll interval. */
  wait(entry: WaitingRequest, stillWaiting: () => PlaceReply): Promise<PlaceReply>;
  /** Removes the entry, charges its organisation if `served`, and replies to the node. */
  settle(entry: WaitingRequest, reply: PlaceReply, served: boolean): void;
  /** Returns whether a node has polled for the entry recently. */
  isLive(entry: WaitingRequest, now: number): boolean;
}

interface Pending {
  readonly resolve: (reply: PlaceReply) => void;
  readonly timer: NodeJS.Timeout;
}

/** Creates the waiting list of one cell. */
export function createWaitingList(): WaitingList {
  const queue = createFairQueue<WaitingRequest>();
  const entriesByAttempt = new Map<string, WaitingRequest>();
  const pending = new Map<WaitingRequest, Pending>();
  const keyOf = (entry: WaitingRequest): string =>
    attemptKey(entry.req.requestId, entry.req.attempt);

  const answer = (entry: WaitingRequest, reply: PlaceReply): void => {
    const pendingReply = pending.get(entry);
    if (pendingReply === undefined) return;
    pending.delete(entry);
    clearTimeout(pendingReply.timer);
    pendingReply.resolve(reply);
  };

  return {
    queue,
    find: (requestId, attempt) => entriesByAttempt.get(attemptKey(requestId, attempt)),
    add: (entry) => {
      queue.add(entry);
      entriesByAttempt.set(keyOf(entry), entry);
    },
    wait: (entry, stillWaiting) => {
      answer(entry, stillWaiting());
      return new Promise((resolve) => {
        const timer = setTimeout(() => answer(entry, stillWaiting()), POLL_INTERVAL_MS);
        pending.set(entry, { resolve, timer });
      });
    },
    settle: (entry, reply, served) => {
      if (served) queue.serve(entry);
      else queue.remove(entry);
      entriesByAttempt.delete(keyOf(entry));
      answer(entry, reply);
    },
    isLive: (entry, now) => pending.has(entry) || now - entry.lastAskedAt <= ABANDONED_WAIT_MS,
  };
}
