/** The feeds of the three kinds of entries that a node follows, from the store or from peers. */
import type { Telemetry } from '@hibiscusbank/core';
import { createEntryFeed } from './entry-feed.js';
import type { EntryDelta, FeedOptions, EntryFeed } from './entry-feed.js';
import type { KnownRevisions } from './peer-reports.js';
import type { EntryDecoders, EntryStore, StoredEntry } from './ports.js';
import { createRestoredEntries } from './restored-entries.js';
import { isPosition } from './store-era.js';
import type { StoreEra } from './store-era.js';
import { computeMaxWaitMs } from './store-timing.js';
import type { WatcherSelection } from './watcher-selection.js';

/** Maximum wait of one watch, if the bounds permit it. */
const WATCH_MS = 5_000;
/**
 * Times for which entries that a restored store lacks are kept, until they are written again. Upstreams
 * that are alive and reach the store are back within about two seconds.
 */
const MISSING_UPSTREAM_MS = 2_500;
const MISSING_OUT_OF_SERVICE_MS = 5_000;
const MISSING_ROLLOUTS_MS = 5_000;
/** The directory keeps the last configuration for good, so there is no need to keep it here. */
const MISSING_TABLES_MS = 0;
/** Pause between two watches of entries that rarely change. */
const DEFAULT_PAUSE_MS = 30;
/** Maximum pause after a failed call, if the bounds permit it. */
const DEFAULT_RETRY_MS = 1_200;
/**
 * Fraction of `stopSendingWithinMs` that the pause between two watches of upstreams may take. Their
 * entries change several times a second; the pause batches the changes.
 */
const UPSTREAM_PAUSE_SHARE = 0.3;

type Entries = ReadonlyMap<string, StoredEntry>;

/** Times within which a node acts on changes in the store. */
export interface KnowledgeBounds {
  /** Time after a disruption from which the other bounds hold again. */
  readonly recoveryMs: number;
  /** Maximum time until a change of the configuration is in force. */
  readonly applyTablesWithinMs: number;
  /** Maximum time for which an upstream that starts to drain may still get new requests. */
  readonly stopSendingWithinMs: number;
  /** Maximum time for which a data centre taken out of service may still get new requests. */
  readonly leaveDataCentreWithinMs: number;
}

export interface StoreFeedsOptions {
  readonly stores: {
    readonly tables: EntryStore;
    readonly upstreams: EntryStore;
    readonly outOfService: EntryStore;
    /** `undefined` if operators order no roll-outs. */
    readonly rollouts: EntryStore | undefined;
  };
  readonly era: StoreEra;
  readonly decoders: EntryDecoders;
  readonly bounds: KnowledgeBounds;
  readonly watcherSelection: Pick<WatcherSelection, 'whenSelected'>;
  readonly onTables: (entries: Entries) => void;
  readonly onUpstreams: (entries: Entries) => void;
  readonly onOutOfService: (entries: Entries) => void;
  readonly onRollouts: (entries: Entries) => void;
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
  const { stores, bounds, watcherSelection, telemetry, onStoreDelta } = options;
  /** A change during a disruption has to be known only at the end of the recovery. */
  const create = (
    kind: string,
    store: EntryStore,
    withinMs: number,
    feedOptions: Pick<FeedOptions, 'pauseMs' | 'onChange' | 'digest' | 'restored'>,
  ): EntryFeed => {
    const maxWaitMs = computeMaxWaitMs(Math.max(bounds.recoveryMs, withinMs));
    return createEntryFeed({
      kind,
      store,
      era: options.era,
      telemetry,
      whenSelected: watcherSelection.whenSelected,
      onStoreDelta: (delta) => onStoreDelta(kind, delta),
      maxRetryMs: Math.min(DEFAULT_RETRY_MS, maxWaitMs),
      waitMs: Math.min(WATCH_MS, maxWaitMs),
      ...feedOptions,
    });
  };
  const digest = createUpstreamDigest(options.decoders);
  const upstreams = create('upstreams', stores.upstreams, bounds.stopSendingWithinMs, {
    pauseMs: bounds.stopSendingWithinMs * UPSTREAM_PAUSE_SHARE,
    onChange: options.onUpstreams,
    restored: createRestoredEntries({
      order: options.decoders.upstreamOrder,
      missingMs: MISSING_UPSTREAM_MS,
      remembersRemovals: true,
    }),
    ...(digest === undefined ? {} : { digest }),
  });
  const byKind: Record<string, EntryFeed> = {
    tables: create('tables', stores.tables, bounds.applyTablesWithinMs, {
      pauseMs: DEFAULT_PAUSE_MS,
      onChange: options.onTables,
      restored: createRestoredEntries({
        order: options.decoders.tablesOrder,
        missingMs: MISSING_TABLES_MS,
        remembersRemovals: false,
      }),
    }),
    upstreams,
    outOfService: create('outOfService', stores.outOfService, bounds.leaveDataCentreWithinMs, {
      pauseMs: DEFAULT_PAUSE_MS,
      onChange: options.onOutOfService,
      restored: createRestoredEntries({
        order: () => undefined,
        missingMs: MISSING_OUT_OF_SERVICE_MS,
        remembersRemovals: false,
      }),
    }),
  };
  if (stores.rollouts !== undefined) {
    byKind.rollouts = create('rollouts', stores.rollouts, bounds.stopSendingWithinMs, {
      pauseMs: DEFAULT_PAUSE_MS,
      onChange: options.onRollouts,
      restored: createRestoredEntries({
        order: () => undefined,
        missingMs: MISSING_ROLLOUTS_MS,
        remembersRemovals: false,
      }),
    });
  }
  return {
    byKind,
    isConnected: upstreams.isConnected,
    revisions: () =>
      Object.fromEntries(
        Object.entries(byKind).map(([kind, feed]) => {
          const { era, revision: upTo } = feed.position();
          const change = feed.changePosition();
          return [kind, { era, change: change.revision, upTo }];
        }),
      ),
    confirm: (revisions) => {
      for (const [kind, { era, change, upTo }] of Object.entries(revisions)) {
        const position = { era, revision: change };
        if (isPosition(position)) byKind[kind]?.confirm(position, upTo);
      }
    },
    run: (signal) => {
      for (const feed of Object.values(byKind)) void feed.run(signal);
    },
  };
}
