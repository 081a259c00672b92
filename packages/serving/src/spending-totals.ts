/**
 * Turns totals of spending, which nodes report repeatedly and which a restart sets back, into the
 * amounts that are new. Designed for lost and late reports: a total covers all spending before it.
 */

/** Time for which increases are kept; a node of a fleet of 340 is heard for the first time within it. */
const INCREASES_KEPT_MS = 60_000;

/** Tokens spent, by organisation. */
export type Spending = Readonly<Record<string, number>>;

export interface NodeTotals {
  /**
   * Returns what each organisation spent on a node since its last report. `wasRunning`: whether the
   * node ran before this process started; its first totals are not new then.
   */
  takeNew(node: string, epoch: number, spent: Spending, wasRunning: boolean): Spending;
}

export interface DataCentreTotals {
  /**
   * Returns what each organisation spent in the data centre beyond what was known of it. `startedAt`: start of
   * the sender's process in Unix milliseconds.
   */
  takeNew(sender: string, startedAt: number, spent: Spending): Spending;
}

/** Creates the record of the totals of single nodes. */
export function createNodeTotals(): NodeTotals {
  const nodes = new Map<string, { readonly epoch: number; readonly spent: Map<string, number> }>();
  return {
    takeNew: (node, epoch, spent, wasRunning) => {
      let known = nodes.get(node);
      if (known === undefined || known.epoch !== epoch) {
        const before = known === undefined && wasRunning ? Object.entries(spent) : [];
        known = { epoch, spent: new Map(before) };
        nodes.set(node, known);
      }
      const totals = known.spent;
      const newlySpent = Object.entries(spent).map(([organisation, total]) => {
        const difference = total - (totals.get(organisation) ?? 0);
        totals.set(organisation, total);
        return [organisation, difference] as const;
      });
      return Object.fromEntries(newlySpent);
    },
  };
}

interface Sender {
  readonly startedAt: number;
  /** What the sender's total is ahead of the estimate of its data centre. */
  readonly offsets: Map<string, number>;
}

/** Spending that became known at a time, in Unix milliseconds. */
interface Increase {
  readonly at: number;
  readonly spent: Spending;
}

export interface DataCentreTotalsOptions {
  /** Start of this process in Unix milliseconds; all that is spent later counts. */
  readonly startedAt: number;
  /** Returns the time in Unix milliseconds, by a clock that is not set back. */
  readonly now: () => number;
}

/**
 * Creates the record of the spending of one data centre, whose nodes each report what they know of
 * the spending of all of them. Their totals start at different times, so each sender has an offset;
 * the highest of the totals is the newest.
 */
export function createDataCentreTotals(options: DataCentreTotalsOptions): DataCentreTotals {
  const estimates = new Map<string, number>();
  const senders = new Map<string, Sender>();
  let increases: Increase[] = [];

  const estimateAt = (organisation: string, time: number): number =>
    increases
      .filter(({ at }) => at > time)
      .reduce(
        (estimate, { spent }) => estimate - (spent[organisation] ?? 0),
        estimates.get(organisation) ?? 0,
      );

  /**
   * Returns the offsets of a sender that was not heard before. The total of one that started later than this
   * process counts from what was known then. In a large fleet each node reports only every few seconds, so
   * after a restart of a data centre all its reports are first ones for a while. What earlier processes have
   * spent before this one started is not known, so only what they add to their first total counts.
   */
  const computeOffsets = (startedAt: number, spent: Spending): Map<string, number> => {
    const isLater = startedAt >= options.startedAt;
    const organisations = new Set([...Object.keys(spent), ...estimates.keys()]);
    return new Map(
      [...organisations].map((organisation) => [
        organisation,
        isLater
          ? -estimateAt(organisation, startedAt)
          : (spent[organisation] ?? 0) - (estimates.get(organisation) ?? 0),
      ]),
    );
  };

  return {
    takeNew: (name, startedAt, spent) => {
      let sender = senders.get(name);
      if (sender?.startedAt !== startedAt) {
        sender = { startedAt, offsets: computeOffsets(startedAt, spent) };
        senders.set(name, sender);
      }
      const { offsets } = sender;
      const newlySpent: Record<string, number> = {};
      for (const [organisation, total] of Object.entries(spent)) {
        const known = estimates.get(organisation) ?? 0;
        const difference = total - (offsets.get(organisation) ?? 0) - known;
        if (difference <= 0) continue;
        estimates.set(organisation, known + difference);
        newlySpent[organisation] = difference;
      }
      const now = options.now();
      increases = increases.filter(({ at }) => now - at < INCREASES_KEPT_MS);
      if (Object.keys(newlySpent).length > 0) increases.push({ at: now, spent: newlySpent });
      return newlySpent;
    },
  };
}
