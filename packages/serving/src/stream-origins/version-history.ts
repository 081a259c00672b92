/** Remembers which software versions of each pool of engines served lately. */
import { monotonicMs } from '@hibiscusbank/core';
import type { PoolId } from '@hibiscusbank/core';
import type { UpstreamVersion } from '../rollouts/index.js';
import type { ServingUpstream } from '../types.js';

/** A version that serves in a pool, or did so lately. */
export interface SeenVersion {
  readonly pool: PoolId;
  readonly version: UpstreamVersion;
  /** Time since its last upstream has gone, in milliseconds; 0 while one is registered. */
  readonly ageMs: number;
}

export interface VersionHistory {
  /** Records the registered upstreams. */
  setUpstreams(upstreams: readonly ServingUpstream[]): void;
  /** Adds versions that served lately, as another process saw them. */
  merge(seen: readonly SeenVersion[]): void;
  versionsOf(pool: PoolId): readonly UpstreamVersion[];
  list(): readonly SeenVersion[];
}

/** Creates an empty history. `lifeMs` returns how long a version counts after its last upstream has gone. */
export function createVersionHistory(lifeMs: () => number): VersionHistory {
  /** Time at which each version was last seen, by pool. */
  const seenAt = new Map<PoolId, Map<UpstreamVersion, number>>();
  let registered = new Map<PoolId, Set<UpstreamVersion>>();

  const see = (pool: PoolId, version: UpstreamVersion, ageMs: number): void => {
    const versions = seenAt.get(pool) ?? new Map<UpstreamVersion, number>();
    const at = Math.max(versions.get(version) ?? -Infinity, monotonicMs() - ageMs);
    seenAt.set(pool, versions.set(version, at));
  };

  /** Renews what is registered, and drops what has been gone for longer than a stream lasts. */
  const refresh = (): void => {
    for (const [pool, versions] of registered)
      for (const version of versions) see(pool, version, 0);
    const before = monotonicMs() - lifeMs();
    for (const [pool, versions] of seenAt) {
      for (const [version, at] of versions) if (at < before) versions.delete(version);
      if (versions.size === 0) seenAt.delete(pool);
    }
  };

  const versionsOf = (pool: PoolId): readonly UpstreamVersion[] => {
    refresh();
    return [...(seenAt.get(pool)?.keys() ?? [])];
  };

  return {
    versionsOf,
    setUpstreams: (upstreams) => {
      refresh();
      registered = new Map();
      for (const { pool, role, version } of upstreams) {
        if (role === undefined) continue;
        registered.set(pool, (registered.get(pool) ?? new Set()).add(version));
      }
      refresh();
    },
    merge: (seen) => {
      for (const { pool, version, ageMs } of seen) see(pool, version, ageMs);
    },
    list: () => {
      refresh();
      const now = monotonicMs();
      return [...seenAt].flatMap(([pool, versions]) =>
        [...versions].map(([version, at]) => ({ pool, version, ageMs: Math.round(now - at) })),
      );
    },
  };
}
