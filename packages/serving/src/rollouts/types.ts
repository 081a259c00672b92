/** Types of roll-outs: an operator's order to move a pool's traffic to another software version. */
import type { Branded, PoolId, UpstreamId } from '@hibiscusbank/core';

/** Software version of an upstream; empty for an upstream that states none. */
export type UpstreamVersion = Branded<'UpstreamVersion'>;
export const upstreamVersion = (value: string): UpstreamVersion => value as UpstreamVersion;

/** Identifies one order; the order that replaces it has another one. */
export type RolloutKey = Branded<'RolloutKey'>;

export type RolloutState = 'running' | 'completed' | 'rolled_back';

/** An operator's order, as stored in the platform's store. */
export interface RolloutOrder {
  readonly key: RolloutKey;
  /** Name of the entry in the store. */
  readonly name: string;
  readonly pool: PoolId;
  /** The new version. */
  readonly to: UpstreamVersion;
  /** Time after the order by which it has to be completed or rolled back. */
  readonly durationMs: number;
  /** State that was reported last; `undefined` before the first report. */
  readonly state: RolloutState | undefined;
}

/** The operator's limits for a version that may be bad. */
export interface RolloutBounds {
  /** Fraction of a pool's requests, between an order and its deadline, that a bad version may get. */
  readonly exposeShare: number;
  /** Requests that it may get in addition. */
  readonly exposeSlack: number;
}

/** An upstream as far as roll-outs are concerned. */
export interface VersionedUpstream {
  readonly id: UpstreamId;
  readonly pool: PoolId;
  readonly version: UpstreamVersion;
}

/** Returns the key of an order. */
export function createRolloutKey(
  pool: string,
  to: string,
  durationMs: number,
  createdRevision: number,
): RolloutKey {
  return `${pool} ${to} ${durationMs} ${createdRevision}` as RolloutKey;
}
