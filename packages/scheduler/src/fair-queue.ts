/** Start-time fair queueing across organisations. */
import type { Urgency } from '@hibiscusbank/settings';

export interface Queueable {
  /** Key of the flow: requests with the same key share one turn. */
  readonly organisation: string;
  readonly urgency: Urgency;
  readonly cost: number;
  readonly arrivedAt: number;
  readonly patienceMs: number;
  /** Time from which the first token would miss its target; `Infinity` if there is none. */
  readonly targetExpiresAt: number;
}

export interface FairQueue<T extends Queueable> {
  add(entry: T): void;
  /** Returns the next entry in fair order that is not in `skipped`. */
  pick(now: number, skipped?: ReadonlySet<T>): T | undefined;
  /** Removes an entry and charges its organisation. */
  serve(entry: T): void;
  /** Removes an entry without charging its organisation. */
  remove(entry: T): void;
  /** Calls `visit` for each entry that would be served before a new entry like `entry`. */
  visitAhead(entry: Queueable, now: number, visit: (ahead: T) => void): void;
  /** Returns the entry that would be served last. */
  findLast(now: number): T | undefined;
  entries(): T[];
  size(): number;
  virtualTime(): number;
  lengths(): ReadonlyMap<string, number>;
  /** Removes idle flows whose past service no longer affects the order. */
  prune(): void;
}

interface Flow<T> {
  /** Finish tag: virtual time at which the service received so far ends. */
  finish: number;
  readonly urgent: T[];
  readonly patient: T[];
}

interface QueuePosition {
  readonly rank: number;
  readonly start: number;
}

const isBefore = (a: QueuePosition, b: QueuePosition): boolean =>
  a.rank < b.rank || (a.rank === b.rank && a.start < b.start);

function hasAged(entry: Queueable, now: number): boolean {
  return entry.urgency === 'patient' && now - entry.arrivedAt >= entry.patienceMs / 2;
}

/** Orders the entries of one organisation: those that can still meet their target first. */
function orderByTarget<T extends Queueable>(list: readonly T[], now: number): readonly T[] {
  if (!list.some((entry) => now >= entry.targetExpiresAt)) return list;
  const onTarget = list.filter((entry) => now < entry.targetExpiresAt);
  const missed = list.filter((entry) => now >= entry.targetExpiresAt);
  return [...onTarget, ...missed];
}

/**
 * Creates the queue. Only the head of each organisation has a start tag, so cancelling a waiting
 * request costs its organisation nothing. A patient request that has waited half its maximum wait
 * is ranked with the urgent ones by start tag: it is served first if its organisation has received
 * at most its share, while the aged backlog of a heavy sender cannot displace others.
 *
 * Within an organisation, urgent requests that can still meet their first-token target precede
 * those that missed it. In overload, arrival order would serve each request just after its target,
 * so that none meets it. The order between organisations does not depend on targets.
 */
export function createFairQueue<T extends Queueable>(): FairQueue<T> {
  const flows = new Map<string, Flow<T>>();
  const joinedAt = new Map<T, number>();
  let virtualTime = 0;

  const startTagOf = (entry: T, flow: Flow<T>): number =>
    Math.max(flow.finish, joinedAt.get(entry) ?? virtualTime);
  const rankOf = (entry: Queueable, now: number): number =>
    entry.urgency === 'urgent' || hasAged(entry, now) ? 0 : 1;

  const detach = (entry: T): Flow<T> | undefined => {
    const flow = flows.get(entry.organisation);
    const list = flow?.[entry.urgency];
    const index = list?.indexOf(entry) ?? -1;
    if (index >= 0) list?.splice(index, 1);
    return flow;
  };

  const findHead = (list: readonly T[], skipped: ReadonlySet<T> | undefined): T | undefined => {
    const [first] = list;
    if (first === undefined || skipped === undefined || skipped.size === 0) return first;
    return list.find((entry) => !skipped.has(entry));
  };

  const pick = (now: number, skipped?: ReadonlySet<T>): T | undefined => {
    let best: T | undefined;
    let bestPosition: QueuePosition | undefined;
    const considerHead = (entry: T | undefined, flow: Flow<T>): void => {
      if (entry === undefined) return;
      const position = { rank: rankOf(entry, now), start: startTagOf(entry, flow) };
      if (bestPosition !== undefined && !isBefore(position, bestPosition)) return;
      best = entry;
      bestPosition = position;
    };
    for (const flow of flows.values()) {
      // The patient head is compared first: once aged, it wins a tie within its organisation.
      considerHead(findHead(flow.patient, skipped), flow);
      considerHead(findHead(orderByTarget(flow.urgent, now), skipped), flow);
    }
    return best;
  };

  const visitFlow = (
    list: readonly T[],
    flow: Flow<T>,
    position: QueuePosition,
    now: number,
    visit: (ahead: T) => void,
  ): void => {
    let start = flow.finish;
    for (const entry of list) {
      start = Math.max(start, joinedAt.get(entry) ?? virtualTime);
      if (!isBefore({ rank: rankOf(entry, now), start }, position)) return;
      visit(entry);
      start += entry.cost;
    }
  };

  return {
    pick,
    add: (entry) => {
      let flow = flows.get(entry.organisation);
      if (flow === undefined) {
        flow = { finish: 0, urgent: [], patient: [] };
        flows.set(entry.organisation, flow);
      }
      flow[entry.urgency].push(entry);
      joinedAt.set(entry, virtualTime);
    },
    serve: (entry) => {
      const flow = detach(entry);
      if (flow === undefined) return;
      const start = startTagOf(entry, flow);
      virtualTime = Math.max(virtualTime, start);
      flow.finish = start + entry.cost;
      joinedAt.delete(entry);
    },
    remove: (entry) => {
      detach(entry);
      joinedAt.delete(entry);
    },
    visitAhead: (entry, now, visit) => {
      if (joinedAt.size === 0) return;
      const ownFlow = flows.get(entry.organisation);
      const isAhead = (other: T): boolean =>
        entry.urgency === 'patient' || now < other.targetExpiresAt;
      const queued = ownFlow?.[entry.urgency].filter(isAhead) ?? [];
      const queuedCost = queued.reduce((sum, other) => sum + other.cost, 0);
      const start = Math.max(virtualTime, ownFlow?.finish ?? 0) + queuedCost;
      // The epsilon breaks ties in favour of entries that are already waiting.
      const position = { rank: rankOf(entry, now), start: start + Number.EPSILON * (start + 1) };
      for (const flow of flows.values()) {
        const ordered = orderByTarget(flow.urgent, now);
        const urgent = flow === ownFlow ? ordered.filter(isAhead) : ordered;
        visitFlow(urgent, flow, position, now, visit);
        visitFlow(flow.patient, flow, position, now, visit);
      }
    },
    findLast: (now) => {
      let last: T | undefined;
      let lastPosition: QueuePosition | undefined;
      for (const flow of flows.values()) {
        for (const list of [orderByTarget(flow.urgent, now), flow.patient]) {
          const entry = list.at(-1);
          if (entry === undefined) continue;
          const costBefore = list.slice(0, -1).reduce((sum, other) => sum + other.cost, 0);
          const position = {
            rank: rankOf(entry, now),
            start: startTagOf(entry, flow) + costBefore,
          };
          if (lastPosition !== undefined && isBefore(position, lastPosition)) continue;
          last = entry;
          lastPosition = position;
        }
      }
      return last;
    },
    entries: () => [...joinedAt.keys()],
    size: () => joinedAt.size,
    virtualTime: () => virtualTime,
    lengths: () =>
      new Map(
        [...flows]
          .map(([name, flow]): [string, number] => [name, flow.urgent.length + flow.patient.length])
          .filter(([, length]) => length > 0),
      ),
    prune: () => {
      for (const [name, flow] of flows) {
        const idle = flow.urgent.length + flow.patient.length === 0;
        if (idle && flow.finish <= virtualTime) flows.delete(name);
      }
    },
  };
}
