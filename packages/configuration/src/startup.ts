/** Brings a started replica to the highest revision that the platform or its peers can tell. */
import { sleep } from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { EntryStore } from './entry-store.js';
import type { Propagation } from './propagation.js';
import type { Watcher } from './watcher.js';
import type { Withdrawals } from './withdrawals.js';

const ANSWER_TIMEOUT_MS = 1_000;
const RETRY_PAUSE_MS = 1_000;

/** Peers asked for withdrawals that the platform may not have yet. */
const WITHDRAWAL_PEERS = 3;

export interface StartupOptions {
  readonly store: EntryStore;
  readonly watcher: Watcher;
  readonly propagation: Propagation;
  readonly withdrawals: Withdrawals;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly signal: AbortSignal;
}

interface PeerRevision {
  readonly vm: VmId;
  readonly revision: number;
}

/** Resolves when the replica may serve, or when the signal aborts. */
export async function loadInitialState(options: StartupOptions): Promise<void> {
  const { store, watcher, propagation, withdrawals, network, membership, signal } = options;

  const listPeers = (): VmId[] =>
    [network.self.dataCentre, ...membership.otherDataCentres()]
      .flatMap((dataCentre) => membership.listLive(dataCentre))
      .filter((vm) => vm !== network.self.vm);

  const askRevision = async (vm: VmId): Promise<PeerRevision[]> => {
    const result = await network.call<{ revision: number; ready: boolean }>(
      vm,
      'config.revision',
      {},
      { timeoutMs: ANSWER_TIMEOUT_MS },
    );
    if (result.isErr() || !result.value.ready) return [];
    return [{ vm, revision: result.value.revision }];
  };

  const fetchWithdrawals = async (peers: readonly VmId[]): Promise<void> => {
    await Promise.all(peers.slice(0, WITHDRAWAL_PEERS).map(withdrawals.fetchFrom));
  };

  const loadFromPlatform = async (): Promise<boolean> => {
    try {
      await watcher.list();
    } catch {
      return false;
    }
    await fetchWithdrawals(listPeers());
    return true;
  };

  /** Asks all reachable peers, because any one of them may be the only one with the last change. */
  const loadFromPeers = async (): Promise<boolean> => {
    const answers = (await Promise.all(listPeers().map(askRevision))).flat();
    answers.sort((a, b) => b.revision - a.revision);
    const [highest] = answers;
    if (highest === undefined) return false;
    if (!(await propagation.pull(highest.vm))) return false;
    if (store.position().revision < highest.revision) return false;
    await fetchWithdrawals(answers.map((answer) => answer.vm));
    return true;
  };

  while (!signal.aborted) {
    if ((await loadFromPlatform()) || (await loadFromPeers())) return;
    await sleep(RETRY_PAUSE_MS, signal);
  }
}
