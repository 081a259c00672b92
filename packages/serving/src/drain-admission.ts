/**
 * Decides which requests a draining node still takes. Designed for rolling restarts in which callers
 * keep arriving, and several nodes of a data centre stop at a time. What still runs when the process
 * ends is cut off; what is refused reaches another node if one takes requests, but callers repeat a
 * request only once or twice.
 *
 * Until the load balancer has removed the node, callers cannot avoid it, so a request is refused only
 * if it is less likely to end here than to reach a node that is not draining. Requests that come
 * later are taken only if even the longest run would end in time.
 */
import { BALANCER_REMOVAL_MS } from './stop-listening.js';

/** Likelihood of an end here from which a request is taken although all other nodes are ready. */
const MAX_NEEDED_SHARE = 0.9;
/** The same while no other node is ready: a caller that comes back is at least answered late. */
const MIN_NEEDED_SHARE = 0.5;
/** Time in which a process that ended starts again and takes requests. */
const RESTART_MS = 2_000;

/** What a node tells its peers about the requests that it takes. */
export interface NodeAvailability {
  readonly isReady: boolean;
  /** Milliseconds until the node takes requests again, set while it drains. */
  readonly returnsInMs?: number | undefined;
}

export interface DrainView {
  /** Milliseconds since the drain began. */
  readonly elapsedMs: number;
  /** Milliseconds until the process ends. */
  readonly leftMs: number;
  /** Other nodes of the data centre. */
  readonly neighbours: readonly Partial<NodeAvailability>[];
  /** All other nodes. */
  readonly peers: readonly Partial<NodeAvailability>[];
}

// Nodes of earlier versions do not state whether they are ready.
const isReady = (node: Partial<NodeAvailability>): boolean => node.isReady !== false;

function computeReadyShare({ neighbours }: DrainView): number {
  return neighbours.filter(isReady).length / Math.max(1, neighbours.length);
}

/**
 * Returns the share of runs like that of a request that must end in time for it to be taken, 1 for even
 * the longest.
 */
export function computeNeededShare(view: DrainView): number {
  if (view.elapsedMs >= BALANCER_REMOVAL_MS) return 1;
  return MIN_NEEDED_SHARE + computeReadyShare(view) * (MAX_NEEDED_SHARE - MIN_NEEDED_SHARE);
}

/** Whether a stream is taken whose duration is not known: only where callers reach no other node. */
export function mayTakeUnknown(view: DrainView): boolean {
  return view.elapsedMs < BALANCER_REMOVAL_MS && computeReadyShare(view) === 0;
}

/** Returns the milliseconds until a draining node takes requests again. */
export function computeReturnMs(leftMs: number): number {
  return Math.max(0, leftMs) + RESTART_MS;
}

/**
 * Returns the retry delay of a refused request. Without a ready node in the data centre, the load balancer
 * chooses nodes of other data centres once it has removed this one. Without any ready node, callers
 * come back when the first of the draining nodes has started again.
 */
export function computeDrainRetryMs(view: DrainView): number {
  if (view.neighbours.some(isReady)) return 0;
  if (view.peers.some(isReady)) return Math.max(0, BALANCER_REMOVAL_MS - view.elapsedMs);
  const returns = view.peers.map(({ returnsInMs }) => returnsInMs ?? Infinity);
  return Math.min(computeReturnMs(view.leftMs), ...returns);
}
