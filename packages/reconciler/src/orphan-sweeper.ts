/**
 * Frees what engines hold for requests that are gone. A hold is cancelled only after every live node
 * has said that it does not run the request, so that a node which wrongly believes to own a cell
 * cannot cut a running request.
 */
import { monotonicMs, repeatUntilAborted } from '@hibiscusbank/core';
import type { CellId, RouterError, Telemetry } from '@hibiscusbank/core';
import type { EngineHold, EnginePort } from '@hibiscusbank/engines';
import type { Member, Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { formatRef, listEngines } from './types.js';
import type { HoldRef, OwnedCell } from './types.js';

/** Baseline cost: one list of holds per engine in this time. */
const SWEEP_INTERVAL_MS = 5_000;
/** After a failure that can leave holds behind, sweeps follow each other faster for a while. */
const ALERT_INTERVAL_MS = 1_000;
const ALERT_TIME_MS = 15_000;
/** Leaves time for a caller to resume its stream through another node. */
const ORPHAN_GRACE_MS = 5_000;
const VERIFY_TIMEOUT_MS = 1_000;

export const VERIFY_METHOD = 'requests.verify';

export interface SweeperOptions {
  readonly engines: EnginePort;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly telemetry: Telemetry;
  readonly listCells: () => readonly OwnedCell[];
  /** Whether this node, as owner of a cell, has a grant for the attempt. */
  readonly isGranted: (ref: HoldRef) => boolean;
  /** Whether this node runs the request for a caller. */
  readonly isRunningHere: (ref: HoldRef) => boolean;
}

export interface OrphanSweeper {
  start(): void;
  stop(): void;
  /** Sweeps faster for a while, after a node died or a release may be lost. */
  alert(): void;
  /** Runs one sweep; for tests and for the end of a bench. */
  sweep(): Promise<void>;
}

interface FoundHold {
  readonly engine: UpstreamEntry;
  readonly ref: HoldRef;
}

/**
 * A leaving VM listens until its last request has ended. One that refuses connections has stopped,
 * though other data centres may list it as leaving for a while.
 */
function hasStopped(peer: Member | undefined, error: RouterError): boolean {
  return peer?.state === 'leaving' && error.kind === 'peer_unavailable';
}

/** Creates the sweeper of a node. It also answers other nodes' questions. */
export function createOrphanSweeper(options: SweeperOptions): OrphanSweeper {
  const { engines, membership, network, telemetry } = options;
  const stopping = new AbortController();
  /** First time that a hold was seen without a grant, by engine and attempt. */
  const orphanSince = new Map<string, number>();
  let alertUntil = 0;
  let sweptAt = -Infinity;
  let sweptCells: ReadonlySet<CellId> = new Set();

  network.handle(VERIFY_METHOD, async (params) => {
    const { refs } = params as { refs: HoldRef[] };
    return { running: refs.filter(options.isRunningHere) };
  });

  const listOrphans = async (): Promise<FoundHold[]> => {
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

  const keyOf = ({ engine, ref }: FoundHold): string => `${engine.id} ${formatRef(ref)}`;

  const selectOverdue = (found: readonly FoundHold[]): FoundHold[] => {
    const now = monotonicMs();
    const seen = new Set(found.map(keyOf));
    for (const key of orphanSince.keys()) {
      if (!seen.has(key)) orphanSince.delete(key);
    }
    for (const key of seen) {
      if (!orphanSince.has(key)) orphanSince.set(key, now);
    }
    return found.filter((hold) => now - (orphanSince.get(keyOf(hold)) ?? now) >= ORPHAN_GRACE_MS);
  };

  /** Asks all live nodes; `undefined` when one of them did not answer. */
  const askRunning = async (refs: readonly HoldRef[]): Promise<Set<string> | undefined> => {
    const peers = membership.members().filter(({ state }) => state !== 'dead');
    const answers = await Promise.all(
      peers.map(({ vm }) =>
        network.call<{ running: HoldRef[] }>(
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

  const cancel = async (hold: FoundHold): Promise<void> => {
    const { engine, ref } = hold;
    const cancelled = await engines.cancel(engine.address, ref);
    if (cancelled.isErr()) return;
    orphanSince.delete(keyOf(hold));
    telemetry.log('orphanCancelled', { upstream: engine.id, request: ref.requestId });
  };

  const sweep = async (): Promise<void> => {
    const overdue = selectOverdue(await listOrphans());
    if (overdue.length === 0) return;
    const refs = overdue.map(({ ref }) => ({ requestId: ref.requestId, attempt: ref.attempt }));
    const running = await askRunning(refs);
    if (running === undefined) return;
    await Promise.all(
      overdue.filter(({ ref }) => !running.has(formatRef(ref))).map((hold) => cancel(hold)),
    );
  };

  const isHurried = (): boolean => monotonicMs() < alertUntil || orphanSince.size > 0;

  /** A cell that was taken over can have holds of requests that ended with its previous owner. */
  const hasNewCell = (): boolean => options.listCells().some(({ cell }) => !sweptCells.has(cell));

  const isDue = (): boolean =>
    isHurried() || hasNewCell() || monotonicMs() - sweptAt >= SWEEP_INTERVAL_MS;

  const sweepWhenDue = async (): Promise<void> => {
    if (!isDue()) return;
    sweptAt = monotonicMs();
    sweptCells = new Set(options.listCells().map(({ cell }) => cell));
    await sweep();
  };

  return {
    start: () => {
      void repeatUntilAborted(stopping.signal, () => ALERT_INTERVAL_MS, sweepWhenDue);
    },
    stop: () => stopping.abort(),
    alert: () => {
      alertUntil = monotonicMs() + ALERT_TIME_MS;
    },
    sweep,
  };
}
