/** Spending that was charged ahead of the reports that cover it, so that it is not charged twice. */
import type { OrganisationId } from '@hibiscusbank/core';

/** Time within which a report covers a notice, also in a fleet of 340 nodes. */
const KEPT_MS = 15_000;

export interface NoticedSpending {
  /** Records what a source, a node or data centre, has spent. */
  add(source: string, organisation: OrganisationId, tokens: number): void;
  /** Returns how many of `tokens` that a source reports were noticed before, and forgets them. */
  settle(source: string, organisation: OrganisationId, tokens: number): number;
  /**
   * Forgets what a source spent before a process of it started, in Unix milliseconds: if it was the process
   * that spent it, no report covers it any more.
   */
  dropBefore(source: string, startedAt: number): void;
}

interface Noticed {
  tokens: number;
  at: number;
}

/** Creates the record of one node. `now` returns the time in Unix milliseconds. */
export function createNoticedSpending(now: () => number): NoticedSpending {
  const bySource = new Map<string, Map<OrganisationId, Noticed>>();

  const dropBefore = (source: string, time: number): void => {
    const noticed = bySource.get(source);
    if (noticed === undefined) return;
    for (const [organisation, { at }] of noticed) if (at < time) noticed.delete(organisation);
    if (noticed.size === 0) bySource.delete(source);
  };

  return {
    dropBefore,
    add: (source, organisation, tokens) => {
      dropBefore(source, now() - KEPT_MS);
      const noticed = bySource.get(source) ?? new Map<OrganisationId, Noticed>();
      bySource.set(source, noticed);
      const known = noticed.get(organisation)?.tokens ?? 0;
      noticed.set(organisation, { tokens: known + tokens, at: now() });
    },
    settle: (source, organisation, tokens) => {
      dropBefore(source, now() - KEPT_MS);
      const noticed = bySource.get(source)?.get(organisation);
      if (noticed === undefined) return 0;
      const settled = Math.max(0, Math.min(noticed.tokens, tokens));
      noticed.tokens -= settled;
      return settled;
    },
  };
}
