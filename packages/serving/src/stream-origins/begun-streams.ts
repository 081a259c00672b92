/** Remembers at which software version streams began, for as long as their callers may resume them. */
import { hash64, monotonicMs } from '@hibiscusbank/core';
import type { OrganisationId, PoolId } from '@hibiscusbank/core';
import type { UpstreamVersion } from '../rollouts/index.js';

/** Maximum number of streams that are remembered. */
const MAX_STREAMS = 20_000;
/** 48 bits: among as many streams two have the same id about once in a million cases. */
const KEY_DIGITS = 12;

/** Where the knowledge of a stream comes from. */
export type OriginSource = 'node' | 'peer' | 'store';

/** The version that began a stream. */
export interface BegunStream {
  /** Id of the attempt that brought the first event, as `toStreamKey` returns it. */
  readonly key: string;
  readonly pool: PoolId;
  readonly version: UpstreamVersion;
  /** Time since its first event or since it was last resumed, in milliseconds; less if it was stored meanwhile. */
  readonly ageMs: number;
}

export interface KnownStream extends BegunStream {
  readonly source: OriginSource;
}

export interface BegunStreams {
  record(stream: BegunStream, source: OriginSource): void;
  find(key: string): KnownStream | undefined;
  /** Returns the streams of pools for which `isWanted` holds, the latest first. */
  list(isWanted: (pool: PoolId) => boolean): readonly BegunStream[];
}

interface Entry {
  readonly stream: Omit<BegunStream, 'ageMs'>;
  readonly source: OriginSource;
  readonly at: number;
}

/** Returns the short id of a stream. Callers choose the ids of attempts, so organisations do not share them. */
export function toStreamKey(organisation: OrganisationId | undefined, attempt: string): string {
  return hash64(JSON.stringify([organisation ?? '', attempt])).slice(0, KEY_DIGITS);
}

/** Creates an empty memory. `lifeMs` returns how long a stream is remembered. */
export function createBegunStreams(lifeMs: () => number): BegunStreams {
  /** In the order of the last record, so that the oldest are dropped first. */
  const streams = new Map<string, Entry>();

  const isOld = ({ at }: Entry): boolean => monotonicMs() - at > lifeMs();
  const describe = ({ stream, at }: Entry): BegunStream => ({
    ...stream,
    ageMs: Math.round(monotonicMs() - at),
  });

  const dropOld = (): void => {
    for (const [key, entry] of streams) {
      if (streams.size <= MAX_STREAMS && !isOld(entry)) break;
      streams.delete(key);
    }
  };

  return {
    record: ({ key, pool, version, ageMs }, source) => {
      const at = monotonicMs() - ageMs;
      const known = streams.get(key);
      if (known !== undefined && known.at >= at) return;
      streams.delete(key);
      streams.set(key, { stream: { key, pool, version }, source, at });
      dropOld();
    },
    find: (key) => {
      const entry = streams.get(key);
      if (entry === undefined || isOld(entry)) return undefined;
      return { ...describe(entry), source: entry.source };
    },
    list: (isWanted) =>
      [...streams.values()]
        .filter((entry) => isWanted(entry.stream.pool) && !isOld(entry))
        .map(describe)
        .reverse(),
  };
}
