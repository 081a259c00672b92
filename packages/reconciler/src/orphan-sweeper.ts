/**
 * Frees what engines hold for requests that no longer run. A hold is cancelled only after every live
 * node has confirmed that it does not run the request, so that a node which wrongly considers itself
 * the owner of a cell cannot abort a running request.
 */
import { monotonicMs, repeatUntilAborted } from '@hibiscusbank/core';
import type { CellId, RouterError, Telemetry } from '@hibiscusbank/core';
import type { EngineHold, EnginePort } from '@hibiscusbank/engines';
import type { Member, Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { formatRef, listEngines } from './types.js';
import type { AttemptRef, OwnedCell } from './types.js';

/** Without failures, each engine is asked for its holds once per interval. */
const SWEEP_INTERVAL_MS = 5_000;
/** Interval of sweeps after a failure that can leave holds behind, and while orphans are known. */
const EXPEDITED_INTERVAL_MS = 1_000;
/** How long sweeps run at the shorter interval after such a failure. */
const EXPEDITED_DURATION_MS = 15_000;
/** Wait before an orphan is cancelled, so that a client can resume its stream through another node. */
const ORPHAN_GRACE_MS = 5_000;
const VERIFY_TIMEOUT_MS = 1_000;

export const VERIFY_METHOD = 'requests.verify';

export interface SweeperOptions {
  readonly engines: EnginePort;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly telemetry: Telemetry;
  readonly listCells: () => readonly OwnedCell[];
  /** Whether this node, as owner of a cell, has granted the attempt. */
  readonly isGranted: (ref: AttemptRef) => boolean;
  /** Whether this node runs the request for a caller. */
  readonly isRunningHere: (ref: AttemptRef) => boolean;
}

export interface OrphanSweeper {
  start(): void;
  stop(): void;
  /** Sweeps at the shorter interval for a while. Called after a node died. */
  expedite(): void;
  /** Runs one sweep at once. */
  sweep(): Promise<void>;
}

interface LocatedHold {
  readonly engine: UpstreamEntry;
  readonly ref: AttemptRef;
}

/**
 * Whether a peer runs no requests any more. A leaving VM listens until its last request has ended; one
 * that refuses connections has stopped, though other data centres may still list it as leaving.
 */
function hasStopped(peer: Member | undefined, error: RouterError): boolean {
  return peer?.state === 'leaving' && error.kind === 'peer_unavailable';
}

/** Creates the sweeper of a node and answers `requests.verify` from other nodes. */
export function createOrphanSweeper(options: SweeperOptions): OrphanSweeper {
  const { engines, membership, network, telemetry } = options;
  const stopController = new AbortController();
  /** Time at which a hold was first seen without a grant, by engine and attempt. */
  const firstOrphanedAt = new Map<string, number>();
  let expeditedUntil = 0;
  let lastSweepAt = -Infinity;
  let lastSweptCells: ReadonlySet<CellId> = new Set();

  network.handle(VERIFY_METHOD, async (params) => {
    const { refs } = params as { refs: AttemptRef[] };
    return { running: refs.filter(options.isRunningHere) };
  });

  const listOrphans = async (): Promise<LocatedHold[]> => {
    const lists = await Promise.all(
      listEngines(options.listCells()).map(async (engine) => {
        const holds = await engines.listHolds(engine.address);
        return { engine, holds: holds.unwrapOr<readonly EngineHold[]>([]) };
      }),
    );
    return lists.flatMap(({ engine, holds }) =>
      holds.filter((hold) => !options.isGranted(hold)).map((ref) => ({ engine, ref })),
    );
  };

  const keyOf = ({ engine, ref }: LocatedHold): string => `${engine.id} ${formatRef(ref)}`;

  /** Records when each orphan was first seen. Returns those past the grace period. */
  const selectOverdue = (found: readonly LocatedHold[]): LocatedHold[] => {
    const now = monotonicMs();
    const seen = new Set(found.map(keyOf));
    for (const key of firstOrphanedAt.keys()) {
      if (!seen.has(key)) firstOrphanedAt.delete(key);
    }
    for (const key of seen) {
      if (!firstOrphanedAt.has(key)) firstOrphanedAt.set(key, now);
    }
    return found.filter(
      (hold) => now - (firstOrphanedAt.get(keyOf(hold)) ?? now) >= ORPHAN_GRACE_MS,
    );
  };

  /** Asks all live nodes which requests they run. Resolves to `undefined` if one did not answer. */
  const queryRunning = async (refs: readonly AttemptRef[]): Promise<Set<string> | undefined> => {
    const peers = membership.members().filter(({ state }) => state !== 'dead');
    const answers = await Promise.all(
      peers.map(({ vm }) =>
        network.call<{ running: AttemptRef[] }>(
          vm,
          VERIFY_METHOD,
          { refs },
          {
            timeoutMs: VERIFY_TIMEOUT_MS,
          },
        ),
      ),
    );
    const running = new Set<string>();
    for (const [index, answer] of answers.entries()) {
      if (answer.isErr()) {
        if (hasStopped(peers[index], answer.error)) continue;
        return undefined;
      }
      for (const ref of answer.value.running) running.add(formatRef(ref));
    }
    return running;
  };

  const cancel = async (hold: LocatedHold): Promise<void> => {
    const { engine, ref } = hold;
    const cancelled = await engines.cancel(engine.address, ref);
    if (cancelled.isErr()) return;
    firstOrphanedAt.delete(keyOf(hold));
    telemetry.log('orphanCancelled', { upstream: engine.id, request: ref.requestId });
  };

  const sweep = async (): Promise<void> => {
    const overdue = selectOverdue(await listOrphans());
    if (overdue.length === 0) return;
    const refs = overdue.map(({ ref }) => ({ requestId: ref.requestId, attempt: ref.attempt }));
    const running = await queryRunning(refs);
    if (running === undefined) return;
    await Promise.all(
      overdue.filter(({ ref }) => !running.has(formatRef(ref))).map((hold) => cancel(hold)),
    );
  };

  const isExpedited = (): boolean => monotonicMs() < expeditedUntil || firstOrphanedAt.size > 0;

  /** A newly owned cell can have holds of requests that ended with its previous owner. */
  const hasNewCell = (): boolean =>
    options.listCells().some(({ cell }) => !lastSweptCells.has(cell));

  const isDue = (): boolean =>
    isExpedited() || hasNewCell() || monotonicMs() - lastSweepAt >= SWEEP_INTERVAL_MS;

  const sweepWhenDue = async (): Promise<void> => {
    if (!isDue()) return;
    lastSweepAt = monotonicMs();
    lastSweptCells = new Set(options.listCells().map(({ cell }) => cell));
    await sweep();
  };

  return {
    start: () => {
      void repeatUntilAborted(stopController.signal, () => EXPEDITED_INTERVAL_MS, sweepWhenDue);
    },
    stop: () => stopController.abort(),
    expedite: () => {
      expeditedUntil = monotonicMs() + EXPEDITED_DURATION_MS;
    },
    sweep,
  };
}
