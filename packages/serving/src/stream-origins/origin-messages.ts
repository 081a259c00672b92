/** Messages by which nodes tell each other at which versions streams began, and the stored form of this. */
import { poolId } from '@hibiscusbank/core';
import { isNonNegative, isPort } from '../message-values.js';
import { upstreamVersion } from '../rollouts/index.js';
import type { KnownPeer } from '../peer-reports.js';
import type { BegunStream } from './begun-streams.js';
import type { SeenVersion } from './version-history.js';

/** Limits of what is accepted from peers, whose messages are bounded as a whole. */
const MAX_TEXT_LENGTH = 256;

/** Asks for the versions at which streams began. */
export interface OriginAsk {
  readonly originAsk: {
    readonly from: KnownPeer;
    readonly keys: readonly string[];
    /** Whether the node has no history of versions from before its start. */
    readonly needsVersions: boolean;
  };
}

/** Tells at which versions streams began, and which versions served lately. */
export interface OriginNotice {
  readonly origins: readonly BegunStream[];
  readonly versions: readonly SeenVersion[];
  /** Whether the versions are all that have served for as long as a stream lasts. */
  readonly isHistoryKnown: boolean;
}

const isText = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_TEXT_LENGTH;

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every(isText);
}

function isSeenVersion(value: unknown): value is SeenVersion {
  const { pool, version, ageMs } = (value ?? {}) as Partial<SeenVersion>;
  return isText(pool) && isText(version) && isNonNegative(ageMs);
}

function isBegunStream(value: unknown): value is BegunStream {
  return isSeenVersion(value) && isText((value as Partial<BegunStream>).key);
}

export function isOriginAsk(message: unknown): message is OriginAsk {
  const { originAsk: ask } = (message ?? {}) as Partial<OriginAsk>;
  return (
    isText(ask?.from?.node) &&
    isText(ask.from.host) &&
    isPort(ask.from.port) &&
    isTextList(ask.keys) &&
    typeof ask.needsVersions === 'boolean'
  );
}

export function isOriginNotice(message: unknown): message is OriginNotice {
  const { origins, versions, isHistoryKnown } = (message ?? {}) as Partial<OriginNotice>;
  return (
    typeof isHistoryKnown === 'boolean' &&
    Array.isArray(origins) &&
    origins.every(isBegunStream) &&
    Array.isArray(versions) &&
    versions.every(isSeenVersion)
  );
}

/** Streams of one version in a stored entry. Nothing stored has a time, so that no clock decides about it. */
interface StoredStreams {
  readonly pool: string;
  readonly version: string;
  readonly keys: readonly string[];
}

type StoredVersion = Omit<SeenVersion, 'ageMs'>;

/** What a node keeps in the store of what it knows. */
export interface StoredOrigins {
  readonly versions: readonly StoredVersion[];
  readonly streams: readonly StoredStreams[];
}

/** Returns the stored form of streams and of the versions that served lately. */
export function encodeOrigins(
  versions: readonly SeenVersion[],
  begun: readonly BegunStream[],
): StoredOrigins {
  const byVersion = new Map<string, { pool: string; version: string; keys: string[] }>();
  for (const { key, pool, version } of begun) {
    const group = byVersion.get(`${pool} ${version}`) ?? { pool, version, keys: [] };
    group.keys.push(key);
    byVersion.set(`${pool} ${version}`, group);
  }
  const stored = versions.map(({ pool, version }) => ({ pool, version }));
  return { versions: stored, streams: [...byVersion.values()] };
}

/** Decodes a stored entry; what cannot be read is left out. Stored streams and versions count as seen just now. */
export function decodeOrigins(value: unknown): Pick<OriginNotice, 'origins' | 'versions'> {
  const { versions, streams } = (value ?? {}) as Partial<Record<keyof StoredOrigins, unknown>>;
  const groups = (Array.isArray(streams) ? streams : []) as (Partial<StoredStreams> | null)[];
  return {
    versions: (Array.isArray(versions) ? versions : [])
      .map((version: unknown) => ({ ...(version as StoredVersion | null), ageMs: 0 }))
      .filter(isSeenVersion),
    origins: groups.flatMap((group) => {
      const { pool, version, keys } = group ?? {};
      if (!isText(pool) || !isText(version) || !isTextList(keys)) return [];
      return keys.map((key) => ({
        key,
        pool: poolId(pool),
        version: upstreamVersion(version),
        ageMs: 0,
      }));
    }),
  };
}
