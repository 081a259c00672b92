/** The feeds of the three kinds of entries that a node follows, from the store or from peers. */
import type { Telemetry } from '@hibiscusbank/core';
import { createEntryFeed } from './entry-feed.js';
import type { EntryDelta, FeedOptions, EntryFeed } from './entry-feed.js';
import type { KnownRevisions } from './peer-reports.js';
import type { EntryDecoders, EntryStore, StoredEntry } from './ports.js';
import type { WatcherSelection } from './watcher-selection.js';

/**
 * Maximum wait of one watch of the configuration or of the data centres out of service. Both rarely
 * change.
 */
const DEFAULT_WATCH_MS = 5_000;
const DEFAULT_PAUSE_MS = 30;
/**
 * Maximum wait of one watch of upstreams. Their entries change several times a second; the pause
 * between watches batches the changes.
 */
const UPSTREAM_WATCH_MS = 1_000;
/** Fraction of `stopSendingWithinMs` that the pause between two watches of upstreams may take. */
const UPSTREAM_PAUSE_SHARE = 0.3;

type Entries = ReadonlyMap<string, StoredEntry>;

export interface StoreFeedsOptions {
  readonly stores: {
    readonly tables: EntryStore;
    readonly upstreams: EntryStore;
    readonly outOfService: EntryStore;
  };
  readonly decoders: EntryDecoders;
  /** Maximum time for which an upstream that starts to drain may still get new requests. */
  readonly stopSendingWithinMs: number;
  readonly watcherSelection: Pick<WatcherSelection, 'whenSelected'>;
  readonly onTables: (entries: Entries) => void;
  readonly onUpstreams: (entries: Entries) => void;
  readonly onOutOfService: (entries: Entries) => void;
  readonly onStoreDelta: (kind: string, delta: EntryDelta) => void;
  readonly telemetry: Telemetry;
}

export interface StoreFeeds {
  readonly byKind: Readonly<Record<string, EntryFeed>>;
  /** Whether this node can reach the store, judged by its watch of upstreams. */
  isConnected(): boolean;
  revisions(): Readonly<Record<string, KnownRevisions>>;
  /** Records the revisions that a peer knows. */
  confirm(revisions: Readonly<Record<string, KnownRevisions>>): void;
  run(signal: AbortSignal): void;
}

/**
 * Creates the digest of upstream entries. It leaves out load and heartbeat, and covers only whether
 * the upstream is cold, not the remaining time.
 */
function createUpstreamDigest(decoders: EntryDecoders): FeedOptions['digest'] {
  return ({ name, value }) => {
    const decoded = decoders.upstream(name, value);
    if (decoded === undefined) return '';
    return JSON.stringify({ ...decoded, coldMs: decoded.coldMs > 0 });
  };
}

/** Creates the feeds. No calls are made before `run`. */
export function createStoreFeeds(options: StoreFeedsOptions): StoreFeeds {
  const { stores, watcherSelection, telemetry, onStoreDelta } = options;
  const create = (
    kind: string,
    store: EntryStore,
    feedOptions: Pick<FeedOptions, 'waitMs' | 'pauseMs' | 'onChange' | 'digest'>,
  ): EntryFeed =>
    createEntryFeed({
      kind,
      store,
      telemetry,
      whenSelected: watcherSelection.whenSelected,
      onStoreDelta: (delta) => onStoreDelta(kind, delta),
      ...feedOptions,
    });
  const defaults = { waitMs: DEFAULT_WATCH_MS, pauseMs: DEFAULT_PAUSE_MS };
  const digest = createUpstreamDigest(options.decoders);
  const upstreams = create('upstreams', stores.upstreams, {
    waitMs: UPSTREAM_WATCH_MS,
    pauseMs: options.stopSendingWithinMs * UPSTREAM_PAUSE_SHARE,
    onChange: options.onUpstreams,
    ...(digest === undefined ? {} : { digest }),
  });
  const byKind: Readonly<Record<string, EntryFeed>> = {
    tables: create('tables', stores.tables, { ...defaults, onChange: options.onTables }),
    upstreams,
    outOfService: create('outOfService', stores.outOfService, {
      ...defaults,
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
