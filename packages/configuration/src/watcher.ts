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
const RETRY_PAUSE_MS = 500;

/** How often a VM looks whether it has become a watcher; a change of members is noticed at once. */
const ROLE_CHECK_MS = 1_000;

/**
 * When no reachable node has heard from the platform for this time, further VMs try, one rank after
 * another: both watchers may be cut off from the platform without being dead.
 */
const SILENCE_MS = 10_000;
const SILENCE_PER_RANK_MS = 2_000;

/** Bounds the calls to a platform that is down. */
const SILENCE_CHECK_MS = 5_000;

/** Time for the watchers to return with the platform before another VM steps in for them. */
const STAND_IN_DELAY_MS = 4_000;

/** A VM that stepped in stops after this time and steps in again if the platform is still silent. */
const STAND_IN_MS = 60_000;

export interface WatcherOptions {
  readonly source: PlatformSource;
  readonly store: EntryStore;
  readonly membership: Membership;
  readonly confirmation: Confirmation;
  readonly telemetry: Telemetry;
  readonly metrics: ReplicaMetrics;
  /** Called with changes that others may not have, and the position before them. */
  readonly onApplied: (
    applied: readonly ConfigurationEntry[],
    before: Position,
    source: EntrySource,
  ) => void;
}

export interface Watcher {
  /** Whether this VM is one of the two watchers of its data centre. */
  isWatcher(): boolean;
  /** Reads the whole configuration. Rejects when the platform gives no answer. */
  list(): Promise<void>;
  /** Runs until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** Creates the watcher of one node. */
export function createWatcher(options: WatcherOptions): Watcher {
  const { source, store, membership, confirmation, telemetry, metrics } = options;
  const { self } = membership;
  let isListed = false;
  let nextCheck = -Infinity;

  /** A suspect VM is not counted, so that the next one takes over before it is declared dead. */
  const findRank = (): number => {
    const candidates = membership
      .listLive(self.dataCentre)
      .filter((vm) => vm === self.vm || membership.find(vm)?.state === 'live');
    const rank = rankByRendezvous(`watcher ${self.dataCentre}`, candidates).indexOf(self.vm);
    return rank < 0 ? Infinity : rank;
  };

  const isWatcher = (): boolean => findRank() < WATCHERS_PER_DATA_CENTRE;

  const isPlatformSilent = (): boolean =>
    confirmation.platformAgeMs() > SILENCE_MS + findRank() * SILENCE_PER_RANK_MS;

  const list = async (): Promise<void> => {
    const snapshot = await source.list();
    confirmation.hearPlatform();
    const before = store.position();
    const applied = store.applySnapshot(snapshot);
    isListed = true;
    telemetry.log('configurationListed', { revision: snapshot.floor, applied: applied.length });
    options.onApplied(applied, before, 'list');
  };

  const watchOnce = async (signal: AbortSignal): Promise<void> => {
    const storeRevision = await source.readRevision();
    confirmation.hearPlatform();
    const expected = Math.max(storeRevision, store.position().revision);
    const batch = await source.watch(store.floor(), expected, signal);
    confirmation.hearPlatform();
    const before = store.position();
    const applied = store.applyChanges(batch.changes);
    store.raiseFloor(batch.revision);
    options.onApplied(applied, before, 'watch');
  };

  const watchWhile = async (holds: () => boolean, signal: AbortSignal): Promise<void> => {
    telemetry.log('configurationWatchStarted', { revision: store.position().revision });
    metrics.watching.set(1);
    while (holds() && !signal.aborted) {
      try {
        if (!isListed) await list();
        await watchOnce(signal);
      } catch (thrown) {
        if (signal.aborted) break;
        isListed = false;
        metrics.watchFailures.inc();
        telemetry.log('configurationWatchFailed', { error: toRouterError(thrown).message });
        await sleep(RETRY_PAUSE_MS, signal);
      }
    }
    metrics.watching.set(0);
  };

  /** Steps in when the platform answers this VM although nobody else hears from it. */
  const standIn = async (signal: AbortSignal): Promise<void> => {
    nextCheck = monotonicMs() + SILENCE_CHECK_MS;
    try {
      await source.readRevision();
    } catch {
      return;
    }
    await sleep(STAND_IN_DELAY_MS, signal);
    if (!isPlatformSilent() || isWatcher()) return;
    isListed = false;
    const until = monotonicMs() + STAND_IN_MS;
    await watchWhile(() => monotonicMs() < until && !isWatcher(), signal);
  };

  const waitForRole = async (signal: AbortSignal): Promise<void> => {
    const wake = new AbortController();
    const unsubscribe = membership.onChange(() => {
      if (isWatcher()) wake.abort();
    });
    await sleep(ROLE_CHECK_MS, AbortSignal.any([signal, wake.signal]));
    unsubscribe();
  };

  const step = async (signal: AbortSignal): Promise<void> => {
    if (isWatcher()) await watchWhile(isWatcher, signal);
    else if (isPlatformSilent() && monotonicMs() >= nextCheck) await standIn(signal);
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
