/** Requests that wait in a cell, and the replies to the nodes that ask for them. */
import type { RequestId, VmId } from '@hibiscusbank/core';
import { refKey } from './cell-state.js';
import { createFairQueue } from './fair-queue.js';
import type { FairQueue } from './fair-queue.js';
import { ABANDONED_WAIT_MS, POLL_MS } from './messages.js';
import type { PlaceReply } from './messages.js';
import type { Demand } from './wait-estimate.js';
import type { PlacementRequest } from './types.js';

/** One waiting request. */
export interface Waiting extends Demand {
  readonly req: PlacementRequest;
  readonly from: VmId;
  lastAskedAt: number;
  /** When it was first passed over for lack of memory. */
  blockedSince: number | undefined;
}

export interface WaitingList {
  readonly queue: FairQueue<Waiting>;
  find(requestId: RequestId, attempt: number): Waiting | undefined;
  add(entry: Waiting): void;
  /** Resolves with the answer, or with what `stillWaiting` returns after a poll interval. */
  wait(entry: Waiting, stillWaiting: () => PlaceReply): Promise<PlaceReply>;
  /** Takes the entry out, charged when `served`, and answers the node. */
  settle(entry: Waiting, reply: PlaceReply, served: boolean): void;
  /** Whether a node has asked for the entry recently. */
  isLive(entry: Waiting, now: number): boolean;
}

interface Pending {
  readonly resolve: (reply: PlaceReply) => void;
  readonly timer: NodeJS.Timeout;
}

/** Creates the list of one cell. */
export function createWaitingList(): WaitingList {
  const queue = createFairQueue<Waiting>();
  const byRef = new Map<string, Waiting>();
  const pending = new Map<Waiting, Pending>();
  const keyOf = (entry: Waiting): string => refKey(entry.req.requestId, entry.req.attempt);

  const answer = (entry: Waiting, reply: PlaceReply): void => {
    const waiter = pending.get(entry);
    if (waiter === undefined) return;
    pending.delete(entry);
    clearTimeout(waiter.timer);
    waiter.resolve(reply);
  };

  return {
    queue,
    find: (requestId, attempt) => byRef.get(refKey(requestId, attempt)),
    add: (entry) => {
      queue.add(entry);
      byRef.set(keyOf(entry), entry);
    },
    wait: (entry, stillWaiting) => {
      answer(entry, stillWaiting());
      return new Promise((resolve) => {
        const timer = setTimeout(() => answer(entry, stillWaiting()), POLL_MS);
        pending.set(entry, { resolve, timer });
      });
    },
    settle: (entry, reply, served) => {
      if (served) queue.serve(entry);
      else queue.remove(entry);
      byRef.delete(keyOf(entry));
      answer(entry, reply);
    },
    isLive: (entry, now) => pending.has(entry) || now - entry.lastAskedAt <= ABANDONED_WAIT_MS,
  };
}
