/** Chooses the cell that a node asks first, and further cells if it has no free capacity. */
import { monotonicMs } from '@hibiscusbank/core';
import type { CellId, DataCentreId, PoolId, Random } from '@hibiscusbank/core';
import type { CellPlan } from './partition.js';
import type { Topology } from './topology.js';
import type { CellSummary } from './types.js';

/** Older summaries are ignored when free capacity is compared. */
const SUMMARY_TTL_MS = 1_000;
/** A data centre whose owners did not answer is avoided for this time. */
const UNREACHABLE_BACKOFF_MS = 2_000;

export interface CellChoice {
  recordSummary(summary: CellSummary): void;
  /** Records the round-trip time of a call that was answered without queueing. */
  recordRoundTrip(dataCentre: DataCentreId, elapsedMs: number): void;
  markUnreachable(dataCentre: DataCentreId): void;
  /** Returns the first cell to ask, or `undefined` when no cell of the pool can serve. */
  first(pool: PoolId): CellPlan | undefined;
  /** Returns further cells in the order in which to ask them: local, then remote by distance. */
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
  let remaining = random.next() * total;
  for (const item of items) {
    remaining -= weight(item);
    if (remaining < 0) return item;
  }
  return items.at(-1);
}

/** Creates the cell choice of one node. */
export function createCellChoice(options: CellChoiceOptions): CellChoice {
  const { topology, random } = options;
  const summaries = new Map<CellId, { summary: CellSummary; at: number }>();
  const roundTripMs = new Map<DataCentreId, number>();
  const unreachableUntil = new Map<DataCentreId, number>();

  const findFreshSummary = (cell: CellId): CellSummary | undefined => {
    const known = summaries.get(cell);
    return known !== undefined && monotonicMs() - known.at <= SUMMARY_TTL_MS
      ? known.summary
      : undefined;
  };

  const isFull = (cell: CellPlan): boolean => {
    const summary = findFreshSummary(cell.id);
    return summary !== undefined && (summary.freeSlots === 0 || summary.queued > 0);
  };

  const isReachable = (cell: CellPlan): boolean =>
    (unreachableUntil.get(cell.dataCentre) ?? 0) <= monotonicMs();

  const canServe = (cell: CellPlan): boolean =>
    topology.capacity(cell) > 0 && topology.findOwner(cell) !== undefined;

  /** Returns the fraction of free slots; a cell without a fresh summary counts as half free. */
  const freeFraction = (cell: CellPlan): number => {
    const summary = findFreshSummary(cell.id);
    if (summary === undefined) return 0.5;
    return summary.slots === 0 ? 0 : (summary.freeSlots - summary.queued) / summary.slots;
  };

  const sampleTwo = (cells: readonly CellPlan[]): readonly CellPlan[] => {
    if (cells.length <= 2) return cells;
    const start = random.nextInt(cells.length);
    const step = 1 + random.nextInt(cells.length - 1);
    return [start, (start + step) % cells.length].flatMap((index) => cells[index] ?? []);
  };

  const pickLessLoaded = (cells: readonly CellPlan[]): CellPlan | undefined =>
    [...sampleTwo(cells)].sort((a, b) => freeFraction(b) - freeFraction(a))[0];

  const first = (pool: PoolId): CellPlan | undefined => {
    const serving = topology.cells(pool).filter(canServe);
    const local = serving.filter((cell) => cell.dataCentre === options.dataCentre);
    if (local.length > 0) return pickLessLoaded(local);
    const reachable = serving.filter(isReachable);
    const candidates = reachable.length > 0 ? reachable : serving;
    return pickWeighted(candidates, (cell) => topology.capacity(cell), random);
  };

  const alternatives = (from: CellPlan): readonly CellPlan[] => {
    const others = topology
      .cells(from.pool.id)
      .filter((cell) => cell.id !== from.id && canServe(cell) && !isFull(cell));
    const local = pickLessLoaded(others.filter((cell) => cell.dataCentre === from.dataCentre));
    const remote = others.filter((cell) => cell.dataCentre !== from.dataCentre);
    const dataCentres = [...new Set(remote.filter(isReachable).map((cell) => cell.dataCentre))];
    const remoteByDistance = dataCentres
      .flatMap((dc) => pickLessLoaded(remote.filter((cell) => cell.dataCentre === dc)) ?? [])
      .map((cell) => ({ cell, distance: roundTripMs.get(cell.dataCentre) ?? 0 }))
      .sort((a, b) => a.distance - b.distance || freeFraction(b.cell) - freeFraction(a.cell))
      .map(({ cell }) => cell);
    return local === undefined ? remoteByDistance : [local, ...remoteByDistance];
  };

  return {
    first,
    alternatives,
    recordSummary: (summary) => summaries.set(summary.cell, { summary, at: monotonicMs() }),
    // The minimum approximates the network distance; any time above it is due to load.
    recordRoundTrip: (dataCentre, elapsedMs) => {
      const known = roundTripMs.get(dataCentre) ?? Infinity;
      roundTripMs.set(dataCentre, Math.min(known, Math.max(1, Math.round(elapsedMs))));
    },
    markUnreachable: (dataCentre) =>
      unreachableUntil.set(dataCentre, monotonicMs() + UNREACHABLE_BACKOFF_MS),
    summary: (cell) => summaries.get(cell)?.summary,
  };
}
