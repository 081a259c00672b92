/** The three kinds of entries that a node follows, each from the store or from peers. */
import type { Telemetry } from '@hibiscusbank/core';
import { createObjectFeed } from './object-feed.js';
import type { EntryDelta, FeedOptions, ObjectFeed } from './object-feed.js';
import type { KnownRevisions } from './peer-reports.js';
import type { EntryDecoders, EntryStore, StoredEntry } from './ports.js';
import type { WatchDuty } from './watch-duty.js';

/** Longest wait of a watch for tables and places out of service. */
const QUIET_WATCH_MS = 5_000;
const QUIET_PAUSE_MS = 30;
/** Upstreams write several times a second; changes gather in this pause. */
const BUSY_WATCH_MS = 1_000;
/** Part of the time in which a leaving upstream must get nothing more. */
const BUSY_PAUSE_SHARE = 0.3;

type Entries = ReadonlyMap<string, StoredEntry>;

export interface StoreFeedsOptions {
  readonly stores: {
    readonly tables: EntryStore;
    readonly upstreams: EntryStore;
    readonly outOfService: EntryStore;
  };
  readonly decoders: EntryDecoders;
  /** Time after which an upstream that leaves must get nothing more. */
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
  /** Whether the store answers this node, by its watch of upstreams. */
  isConnected(): boolean;
  revisions(): Readonly<Record<string, KnownRevisions>>;
  /** Takes note of what a peer knows. */
  confirm(revisions: Readonly<Record<string, KnownRevisions>>): void;
  run(signal: AbortSignal): void;
}

/** What matters in an upstream's entry: load and heartbeats in it are left out. */
function createUpstreamDigest(decoders: EntryDecoders): FeedOptions['digest'] {
  return ({ name, value }) => {
    const decoded = decoders.upstream(name, value);
    if (decoded === undefined) return '';
    return JSON.stringify({ ...decoded, coldMs: decoded.coldMs > 0 });
  };
}

/** Creates the feeds; nothing is called before `run`. */
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
