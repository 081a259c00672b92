/** Which cell a node asks first, and which ones next when it has no room. */
import { monotonicMs } from '@hibiscusbank/core';
import type { CellId, DataCentreId, PoolId, Random } from '@hibiscusbank/core';
import type { CellPlan } from './partition.js';
import type { Topology } from './topology.js';
import type { CellSummary } from './types.js';

/** An older summary says nothing about the room of a cell. */
const SUMMARY_LIFE_MS = 1_000;
/** A data centre whose owners did not answer is left out for this time. */
const UNREACHABLE_MS = 2_000;

export interface CellChoice {
  remember(summary: CellSummary): void;
  /** Learns how far a data centre is from a call that did not wait. */
  recordRoundTrip(dataCentre: DataCentreId, elapsedMs: number): void;
  markUnreachable(dataCentre: DataCentreId): void;
  /** The first cell to ask, or `undefined` when no cell of the pool can serve. */
  first(pool: PoolId): CellPlan | undefined;
  /** Further cells in the order in which to ask them. */
  alternatives(from: CellPlan): readonly CellPlan[];
  summary(cell: CellId): CellSummary | undefined;
}

export interface CellChoiceOptions {
  readonly dataCentre: DataCentreId;
  readonly topology: Topology;
  readonly random: Random;
}

function pickWeighted<T>(items: readonly T[], weight: (item: T) => number, random: Random) {
  const total = items.reduce((sum, item) => sum + weight(item), 0);
  let left = random.next() * total;
  for (const item of items) {
    left -= weight(item);
    if (left < 0) return item;
  }
  return items.at(-1);
}

/** Creates the choice of one node. */
export function createCellChoice(options: CellChoiceOptions): CellChoice {
  const { topology, random } = options;
  const summaries = new Map<CellId, { summary: CellSummary; at: number }>();
  const roundTripMs = new Map<DataCentreId, number>();
  const unreachableUntil = new Map<DataCentreId, number>();

  const fresh = (cell: CellId): CellSummary | undefined => {
    const known = summaries.get(cell);
    return known !== undefined && monotonicMs() - known.at <= SUMMARY_LIFE_MS
      ? known.summary
      : undefined;
  };

  const isFull = (cell: CellPlan): boolean => {
    const summary = fresh(cell.id);
    return summary !== undefined && (summary.freeSlots === 0 || summary.queued > 0);
  };

  const isReachable = (cell: CellPlan): boolean =>
    (unreachableUntil.get(cell.dataCentre) ?? 0) <= monotonicMs();

  const canServe = (cell: CellPlan): boolean =>
    topology.capacity(cell) > 0 && topology.findOwner(cell) !== undefined;

  /** Free share of a cell; an unknown cell counts as half free. */
  const freeShare = (cell: CellPlan): number => {
    const summary = fresh(cell.id);
    if (summary === undefined) return 0.5;
    return summary.slots === 0 ? 0 : (summary.freeSlots - summary.queued) / summary.slots;
  };

  const pickTwo = (cells: readonly CellPlan[]): readonly CellPlan[] => {
    if (cells.length <= 2) return cells;
    const start = random.below(cells.length);
    const step = 1 + random.below(cells.length - 1);
    return [start, (start + step) % cells.length].flatMap((index) => cells[index] ?? []);
  };

  const pickBetter = (cells: readonly CellPlan[]): CellPlan | undefined =>
    [...pickTwo(cells)].sort((a, b) => freeShare(b) - freeShare(a))[0];

  const first = (pool: PoolId): CellPlan | undefined => {
    const serving = topology.cells(pool).filter(canServe);
    const own = serving.filter((cell) => cell.dataCentre === options.dataCentre);
    if (own.length > 0) return pickBetter(own);
    const reachable = serving.filter(isReachable);
    const candidates = reachable.length > 0 ? reachable : serving;
    return pickWeighted(candidates, (cell) => topology.capacity(cell), random);
  };

  const alternatives = (from: CellPlan): readonly CellPlan[] => {
    const others = topology
      .cells(from.pool.id)
      .filter((cell) => cell.id !== from.id && canServe(cell) && !isFull(cell));
    const near = pickBetter(others.filter((cell) => cell.dataCentre === from.dataCentre));
    const elsewhere = others.filter((cell) => cell.dataCentre !== from.dataCentre);
    const dataCentres = [...new Set(elsewhere.filter(isReachable).map((cell) => cell.dataCentre))];
    const far = dataCentres
      .flatMap((dc) => pickBetter(elsewhere.filter((cell) => cell.dataCentre === dc)) ?? [])
      .map((cell) => ({ cell, distance: roundTripMs.get(cell.dataCentre) ?? 0 }))
      .sort((a, b) => a.distance - b.distance || freeShare(b.cell) - freeShare(a.cell))
      .map(({ cell }) => cell);
    return near === undefined ? far : [near, ...far];
  };

  return {
    first,
    alternatives,
    remember: (summary) => summaries.set(summary.cell, { summary, at: monotonicMs() }),
    // The least time is the distance; anything above it is load.
    recordRoundTrip: (dataCentre, elapsedMs) => {
      const known = roundTripMs.get(dataCentre) ?? Infinity;
      roundTripMs.set(dataCentre, Math.min(known, Math.max(1, Math.round(elapsedMs))));
    },
    markUnreachable: (dataCentre) =>
      unreachableUntil.set(dataCentre, monotonicMs() + UNREACHABLE_MS),
    summary: (cell) => summaries.get(cell)?.summary,
  };
}
