/** Start-time fair queue across organisations. */
import type { Urgency } from '@hibiscusbank/settings';

export interface Queueable {
  /** Requests of one key share their turn. */
  readonly organisation: string;
  readonly urgency: Urgency;
  readonly cost: number;
  readonly arrivedAt: number;
  readonly patienceMs: number;
  /** From this time on the first token comes after its target; `Infinity` for no such time. */
  readonly lateAt: number;
}

export interface FairQueue<T extends Queueable> {
  add(entry: T): void;
  /** The next entry in fair order that is not among `skipped`. */
  pick(now: number, skipped?: ReadonlySet<T>): T | undefined;
  /** Removes an entry and charges its organisation. */
  serve(entry: T): void;
  /** Removes an entry that was not served; its organisation is not charged. */
  remove(entry: T): void;
  /** Calls back for each entry that would be served before a new one like `entry`. */
  visitAhead(entry: Queueable, now: number, visit: (ahead: T) => void): void;
  /** The entry that would be served last. */
  findLast(now: number): T | undefined;
  entries(): T[];
  size(): number;
  virtualTime(): number;
  lengths(): ReadonlyMap<string, number>;
  /** Forgets organisations whose past service no longer matters. */
  prune(): void;
}

interface Flow<T> {
  /** Virtual time at which the service received so far ends. */
  finish: number;
  readonly urgent: T[];
  readonly patient: T[];
}

interface Turn {
  readonly rank: number;
  readonly start: number;
}

const isBefore = (a: Turn, b: Turn): boolean =>
  a.rank < b.rank || (a.rank === b.rank && a.start < b.start);

function hasAged(entry: Queueable, now: number): boolean {
  return entry.urgency === 'patient' && now - entry.arrivedAt >= entry.patienceMs / 2;
}

/** Entries of one organisation in the order of service. */
function orderByLateness<T extends Queueable>(list: readonly T[], now: number): readonly T[] {
  if (!list.some((entry) => now >= entry.lateAt)) return list;
  const punctual = list.filter((entry) => now < entry.lateAt);
  const late = list.filter((entry) => now >= entry.lateAt);
  return [...punctual, ...late];
}

/**
 * Creates the queue. Only the head of each organisation carries a start tag, so cancelling a
 * waiting request costs its organisation nothing. A patient request that has waited half its
 * patience ranks with the urgent ones by start tag: it goes first when its organisation has
 * received its share or less, while the aged backlog of a heavy sender cannot displace others.
 *
 * Inside an organisation, urgent requests that can still meet their first-token target precede late
 * ones. In overload, arrival order would serve each request just after its target, so that none meets
 * it. Turns between organisations do not depend on lateness.
 */
export function createFairQueue<T extends Queueable>(): FairQueue<T> {
  const flows = new Map<string, Flow<T>>();
  const joinedAt = new Map<T, number>();
  let virtualTime = 0;

  const startOf = (entry: T, flow: Flow<T>): number =>
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
    let bestTurn: Turn | undefined;
    const consider = (entry: T | undefined, flow: Flow<T>): void => {
      if (entry === undefined) return;
      const turn = { rank: rankOf(entry, now), start: startOf(entry, flow) };
      if (bestTurn !== undefined && !isBefore(turn, bestTurn)) return;
      best = entry;
      bestTurn = turn;
    };
    for (const flow of flows.values()) {
      // The aged head is considered first, so that it wins a tie inside its organisation.
      consider(findHead(flow.patient, skipped), flow);
      consider(findHead(orderByLateness(flow.urgent, now), skipped), flow);
    }
    return best;
  };

  const visitFlow = (
    list: readonly T[],
    flow: Flow<T>,
    turn: Turn,
    now: number,
    visit: (ahead: T) => void,
  ): void => {
    let start = flow.finish;
    for (const entry of list) {
      start = Math.max(start, joinedAt.get(entry) ?? virtualTime);
      if (!isBefore({ rank: rankOf(entry, now), start }, turn)) return;
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
      const start = startOf(entry, flow);
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
      const own = flows.get(entry.organisation);
      const isAhead = (other: T): boolean => entry.urgency === 'patient' || now < other.lateAt;
      const queued = own?.[entry.urgency].filter(isAhead) ?? [];
      const queuedCost = queued.reduce((sum, other) => sum + other.cost, 0);
      const start = Math.max(virtualTime, own?.finish ?? 0) + queuedCost;
      // The smallest step breaks the tie in favour of entries that are already waiting.
      const turn = { rank: rankOf(entry, now), start: start + Number.EPSILON * (start + 1) };
      for (const flow of flows.values()) {
        const ordered = orderByLateness(flow.urgent, now);
        const urgent = flow === own ? ordered.filter(isAhead) : ordered;
        visitFlow(urgent, flow, turn, now, visit);
        visitFlow(flow.patient, flow, turn, now, visit);
      }
    },
    findLast: (now) => {
      let last: T | undefined;
      let lastTurn: Turn | undefined;
      for (const flow of flows.values()) {
        for (const list of [orderByLateness(flow.urgent, now), flow.patient]) {
          const entry = list.at(-1);
          if (entry === undefined) continue;
          const before = list.slice(0, -1).reduce((sum, other) => sum + other.cost, 0);
          const turn = { rank: rankOf(entry, now), start: startOf(entry, flow) + before };
          if (lastTurn !== undefined && isBefore(turn, lastTurn)) continue;
          last = entry;
          lastTurn = turn;
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
