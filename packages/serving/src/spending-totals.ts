/**
 * Turns totals of spending, which nodes report repeatedly and which a restart sets back, into the
 * amounts that are new. Designed for lost and late reports: a total covers all spending before it.
 */

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
  /** Returns what each organisation spent in the data centre beyond what was known of it. */
  takeNew(sender: string, epoch: number, spent: Spending): Spending;
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
  readonly epoch: number;
  /** What the sender's total was ahead of the estimate of its data centre when first heard. */
  readonly offsets: Map<string, number>;
}

/**
 * Creates the record of the spending of one data centre, whose nodes each report what they know of
 * the spending of all of them. Their totals start at different times, so each sender has an offset;
 * the highest of the totals is the newest.
 */
export function createDataCentreTotals(): DataCentreTotals {
  const estimates = new Map<string, number>();
  const senders = new Map<string, Sender>();
  return {
    takeNew: (name, epoch, spent) => {
      let sender = senders.get(name);
      if (sender?.epoch !== epoch) {
        sender = { epoch, offsets: new Map() };
        for (const organisation of new Set([...Object.keys(spent), ...estimates.keys()])) {
          const ahead = (spent[organisation] ?? 0) - (estimates.get(organisation) ?? 0);
          sender.offsets.set(organisation, ahead);
        }
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
      return newlySpent;
    },
  };
}
