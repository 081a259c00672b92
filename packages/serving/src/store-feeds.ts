/** The feeds of the three kinds of entries that a node follows, from the store or from peers. */
import type { Telemetry } from '@hibiscusbank/core';
import { createObjectFeed } from './object-feed.js';
import type { EntryDelta, FeedOptions, ObjectFeed } from './object-feed.js';
import type { KnownRevisions } from './peer-reports.js';
import type { EntryDecoders, EntryStore, StoredEntry } from './ports.js';
import type { WatchDuty } from './watch-duty.js';

/**
 * Maximum wait of a watch for configuration or data centres out of service, which rarely change.
 */
const QUIET_WATCH_MS = 5_000;
const QUIET_PAUSE_MS = 30;
/**
 * Upstream entries change several times a second; the pause between watches batches the changes.
 */
const BUSY_WATCH_MS = 1_000;
/** Fraction of `leavingBoundMs` that the pause between two watches of upstreams may take. */
const BUSY_PAUSE_SHARE = 0.3;

type Entries = ReadonlyMap<string, StoredEntry>;

export interface StoreFeedsOptions {
  readonly stores: {
    readonly tables: EntryStore;
    readonly upstreams: EntryStore;
    readonly outOfService: EntryStore;
  };
  readonly decoders: EntryDecoders;
  /** Time after which an upstream that leaves must not get any more requests. */
  readonly leavingBoundMs: number;
  readonly duty: Pick<WatchDuty, 'whenOnDuty'>;
  readonly onTables: (entries: Entries) => void;
  readonly onUpstreams: (entries: Entries) => void;
  readonly onOutOfService: (entries: Entries) => void;
  readonly onLearned: (kind: string, delta: EntryDelta) => void;
  readonly telemetry: Telemetry;
}

export interface StoreFeeds {
  readonly byKind: Readonly<Record<string, ObjectFeed>>;
  /** Whether this node can reach the store, judged by its watch of upstreams. */
  isConnected(): boolean;
  revisions(): Readonly<Record<string, KnownRevisions>>;
  /** Records the revisions that a peer knows. */
  confirm(revisions: Readonly<Record<string, KnownRevisions>>): void;
  run(signal: AbortSignal): void;
}

/** Digest of the relevant parts of an upstream's entry, without its load and heartbeat. */
function createUpstreamDigest(decoders: EntryDecoders): FeedOptions['digest'] {
  return ({ name, value }) => {
    const decoded = decoders.upstream(name, value);
    if (decoded === undefined) return '';
    return JSON.stringify({ ...decoded, coldMs: decoded.coldMs > 0 });
  };
}

/** Creates the feeds. No calls are made before `run`. */
export function createStoreFeeds(options: StoreFeedsOptions): StoreFeeds {
  const { stores, duty, telemetry, onLearned } = options;
  const create = (
    kind: string,
    store: EntryStore,
    rest: Pick<FeedOptions, 'waitMs' | 'pauseMs' | 'onChange' | 'digest'>,
  ): ObjectFeed =>
    createObjectFeed({
      kind,
      store,
      telemetry,
      whenOnDuty: duty.whenOnDuty,
      onLearned: (delta) => onLearned(kind, delta),
      ...rest,
    });
  const quiet = { waitMs: QUIET_WATCH_MS, pauseMs: QUIET_PAUSE_MS };
  const digest = createUpstreamDigest(options.decoders);
  const upstreams = create('upstreams', stores.upstreams, {
    waitMs: BUSY_WATCH_MS,
    pauseMs: options.leavingBoundMs * BUSY_PAUSE_SHARE,
    onChange: options.onUpstreams,
    ...(digest === undefined ? {} : { digest }),
  });
  const byKind: Readonly<Record<string, ObjectFeed>> = {
    tables: create('tables', stores.tables, { ...quiet, onChange: options.onTables }),
    upstreams,
    outOfService: create('outOfService', stores.outOfService, {
      ...quiet,
      onChange: options.onOutOfService,
    }),
  };
  return {
    byKind,
    isConnected: upstreams.isConnected,
    revisions: () =>
      Object.fromEntries(
        Object.entries(byKind).map(([kind, feed]) => [
          kind,
          { change: feed.changeRevision(), upTo: feed.revision() },
        ]),
      ),
    confirm: (revisions) => {
      for (const [kind, { change, upTo }] of Object.entries(revisions)) {
        byKind[kind]?.confirm(change, upTo);
      }
    },
    run: (signal) => {
      for (const feed of Object.values(byKind)) void feed.run(signal);
    },
  };
}
