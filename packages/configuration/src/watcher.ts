/** Watches the platform on behalf of the data centre while this VM is one of its two watchers. */
import {
  monotonicMs,
  rankByRendezvous,
  repeatUntilAborted,
  sleep,
  toRouterError,
} from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { Membership } from '@hibiscusbank/peers';
import type { Confirmation } from './confirmation.js';
import type { EntryStore } from './entry-store.js';
import type { EntrySource, ReplicaMetrics } from './metrics.js';
import type { PlatformSource } from './platform-source.js';
import type { ConfigurationEntry, Position } from './types.js';

const WATCHERS_PER_DATA_CENTRE = 2;
const RETRY_INTERVAL_MS = 500;

/** Interval at which a VM checks whether it is a watcher. Membership changes trigger a check at once. */
const ROLE_CHECK_INTERVAL_MS = 1_000;

/**
 * When no reachable node has had an answer from the platform for this time, further VMs try to watch,
 * in order of rank: both watchers may be alive but cut off from the platform.
 */
const PLATFORM_TIMEOUT_MS = 10_000;
const PLATFORM_TIMEOUT_PER_RANK_MS = 2_000;

/** Minimum time between failover checks of a VM; bounds the calls to a platform that is down. */
const FAILOVER_CHECK_INTERVAL_MS = 5_000;

/** Wait before a failover watch, so that the watchers can recover first when the platform returns. */
const FAILOVER_DELAY_MS = 4_000;

/** Duration of a failover watch. Another one starts if the watchers are still cut off. */
const FAILOVER_WATCH_MS = 60_000;

export interface WatcherOptions {
  readonly source: PlatformSource;
  readonly store: EntryStore;
  readonly membership: Membership;
  readonly confirmation: Confirmation;
  readonly telemetry: Telemetry;
  readonly metrics: ReplicaMetrics;
  /** Called with applied changes, which other nodes may lack, and the position before them. */
  readonly onApplied: (
    applied: readonly ConfigurationEntry[],
    before: Position,
    source: EntrySource,
  ) => void;
}

export interface Watcher {
  /** Whether this VM is one of the two watchers of its data centre. */
  isWatcher(): boolean;
  /** Reads the complete configuration. Rejects if the platform does not answer. */
  list(): Promise<void>;
  /** Watches while this VM is a watcher or replaces the watchers, until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** Creates the watcher of one node. */
export function createWatcher(options: WatcherOptions): Watcher {
  const { source, store, membership, confirmation, telemetry, metrics } = options;
  const { self } = membership;
  let hasListed = false;
  let nextFailoverCheckAt = -Infinity;

  /** Suspect VMs are not ranked, so that the next one becomes watcher before they are declared dead. */
  const findRank = (): number => {
    const candidates = membership
      .listLive(self.dataCentre)
      .filter((vm) => vm === self.vm || membership.find(vm)?.state === 'live');
    const rank = rankByRendezvous(`watcher ${self.dataCentre}`, candidates).indexOf(self.vm);
    return rank < 0 ? Infinity : rank;
  };

  const isWatcher = (): boolean => findRank() < WATCHERS_PER_DATA_CENTRE;

  const isPlatformTimedOut = (): boolean =>
    confirmation.platformAgeMs() > PLATFORM_TIMEOUT_MS + findRank() * PLATFORM_TIMEOUT_PER_RANK_MS;

  const list = async (): Promise<void> => {
    const snapshot = await source.list();
    confirmation.recordPlatformContact();
    const before = store.position();
    const applied = store.applySnapshot(snapshot);
    hasListed = true;
    telemetry.log('configurationListed', { revision: snapshot.floor, applied: applied.length });
    options.onApplied(applied, before, 'list');
  };

  const watchOnce = async (signal: AbortSignal): Promise<void> => {
    const storeRevision = await source.readRevision();
    confirmation.recordPlatformContact();
    const expected = Math.max(storeRevision, store.position().revision);
    const batch = await source.watch(store.floor(), expected, signal);
    confirmation.recordPlatformContact();
    const before = store.position();
    const applied = store.applyChanges(batch.changes);
    store.raiseFloor(batch.revision);
    options.onApplied(applied, before, 'watch');
  };

  const watchWhile = async (isActive: () => boolean, signal: AbortSignal): Promise<void> => {
    telemetry.log('configurationWatchStarted', { revision: store.position().revision });
    metrics.watching.set(1);
    while (isActive() && !signal.aborted) {
      try {
        if (!hasListed) await list();
        await watchOnce(signal);
      } catch (thrown) {
        if (signal.aborted) break;
        hasListed = false;
        metrics.watchFailures.inc();
        telemetry.log('configurationWatchFailed', { error: toRouterError(thrown).message });
        await sleep(RETRY_INTERVAL_MS, signal);
      }
    }
    metrics.watching.set(0);
  };

  /** Watches in place of the watchers if the platform answers this VM but no other reachable node. */
  const runFailoverWatch = async (signal: AbortSignal): Promise<void> => {
    nextFailoverCheckAt = monotonicMs() + FAILOVER_CHECK_INTERVAL_MS;
    try {
      await source.readRevision();
    } catch {
      return;
    }
    await sleep(FAILOVER_DELAY_MS, signal);
    if (!isPlatformTimedOut() || isWatcher()) return;
    hasListed = false;
    const until = monotonicMs() + FAILOVER_WATCH_MS;
    await watchWhile(() => monotonicMs() < until && !isWatcher(), signal);
  };

  const waitForRole = async (signal: AbortSignal): Promise<void> => {
    const wakeController = new AbortController();
    const unsubscribe = membership.onChange(() => {
      if (isWatcher()) wakeController.abort();
    });
    await sleep(ROLE_CHECK_INTERVAL_MS, AbortSignal.any([signal, wakeController.signal]));
    unsubscribe();
  };

  const step = async (signal: AbortSignal): Promise<void> => {
    if (isWatcher()) await watchWhile(isWatcher, signal);
    else if (isPlatformTimedOut() && monotonicMs() >= nextFailoverCheckAt)
      await runFailoverWatch(signal);
    else await waitForRole(signal);
  };

  return {
    isWatcher,
    list,
    run: (signal) =>
      repeatUntilAborted(
        signal,
        () => 0,
        () => step(signal),
      ),
  };
}
