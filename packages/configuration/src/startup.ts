/** Loads the initial state of a replica: that of the platform, or the highest revision among peers. */
import { sleep } from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { EntryStore } from './entry-store.js';
import type { Propagation } from './propagation.js';
import type { Watcher } from './watcher.js';
import type { Withdrawals } from './withdrawals.js';

const RESPONSE_TIMEOUT_MS = 1_000;
const RETRY_INTERVAL_MS = 1_000;

/** Peers that are asked for withdrawals which the platform may not have yet. */
const MAX_WITHDRAWAL_PEERS = 3;

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

/** Retries until the initial state is loaded or the signal aborts. */
export async function loadInitialState(options: StartupOptions): Promise<void> {
  const { store, watcher, propagation, withdrawals, network, membership, signal } = options;

  const listPeers = (): VmId[] =>
    [network.self.dataCentre, ...membership.otherDataCentres()]
      .flatMap((dataCentre) => membership.listLive(dataCentre))
      .filter((vm) => vm !== network.self.vm);

  const fetchRevision = async (vm: VmId): Promise<PeerRevision[]> => {
    const result = await network.call<{ revision: number; ready: boolean }>(
      vm,
      'config.revision',
      {},
      { timeoutMs: RESPONSE_TIMEOUT_MS },
    );
    if (result.isErr() || !result.value.ready) return [];
    return [{ vm, revision: result.value.revision }];
  };

  const fetchWithdrawals = async (peers: readonly VmId[]): Promise<void> => {
    await Promise.all(peers.slice(0, MAX_WITHDRAWAL_PEERS).map(withdrawals.fetchFrom));
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

  /** Asks all reachable peers, because the latest change may be on only one of them. */
  const loadFromPeers = async (): Promise<boolean> => {
    const answers = (await Promise.all(listPeers().map(fetchRevision))).flat();
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
    await sleep(RETRY_INTERVAL_MS, signal);
  }
}
