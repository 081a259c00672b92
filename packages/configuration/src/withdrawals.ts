/**
 * Pending withdrawals: keys that were withdrawn but that the platform does not have as withdrawn yet.
 * They override the platform's entries, are shared between nodes, and are kept until the key's entry is
 * marked as withdrawn.
 */
import { hash32, monotonicMs, repeatUntilAborted, unwrap } from '@hibiscusbank/core';
import type { DataCentreId, KeyDigest, Random, Telemetry, VmId } from '@hibiscusbank/core';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { ObjectApi } from '@hibiscusbank/object-api';
import type { ReplicaMetrics } from './metrics.js';
import { configurationKeys } from './types.js';
import type { TenantKey } from './types.js';

const CALL_TIMEOUT_MS = 1_000;

/** VMs notified in each other data centre; each of them notifies its whole data centre. */
const RELAYS_PER_DATA_CENTRE = 2;

/** Limits the fetches of nodes whose lists differ until the platform's entry has reached them all. */
const FETCH_INTERVAL_MS = 1_000;

const WRITE_INTERVAL_MS = 2_000;

/** Digest of a key and the time of its withdrawal in Unix milliseconds. */
type Withdrawal = readonly [digest: KeyDigest, time: number];

interface WithdrawMessage {
  readonly withdrawals: readonly Withdrawal[];
  /** Whether the receiver notifies the other VMs of its data centre. */
  readonly relay: boolean;
}

export interface Withdrawals {
  has(digest: KeyDigest): boolean;
  /** Withdraws a key on this node and on all reachable nodes. */
  withdraw(digest: KeyDigest): Promise<void>;
  /** Removes a pending withdrawal once the key's entry is marked as withdrawn. */
  observe(key: TenantKey): void;
  /** Adds the pending withdrawals of a peer. */
  fetchFrom(peer: VmId): Promise<void>;
  /** Returns the hash of the pending withdrawals, which probes carry. */
  digest(): number;
  receiveDigest(digest: number, from: VmId): void;
  /** Writes pending withdrawals to the platform until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

export interface WithdrawalsOptions {
  readonly objectApi: ObjectApi;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly metrics: ReplicaMetrics;
  readonly findKey: (digest: KeyDigest) => TenantKey | undefined;
  /** Whether this VM also writes withdrawals that were made on other VMs. */
  readonly isWriter: () => boolean;
}

/** Creates the pending withdrawals of one node and handles `keys.withdraw` and `keys.list`. */
export function createWithdrawals(options: WithdrawalsOptions): Withdrawals {
  const { network, membership, objectApi, telemetry, metrics } = options;
  const { self } = membership;
  const pending = new Map<KeyDigest, number>();
  const withdrawnLocally = new Set<KeyDigest>();
  let nextFetchAt = -Infinity;

  const add = (withdrawals: readonly Withdrawal[]): Withdrawal[] => {
    const added = withdrawals.filter(
      ([digest]) => !pending.has(digest) && options.findKey(digest)?.withdrawn !== true,
    );
    for (const [digest, time] of added) {
      pending.set(digest, time);
      telemetry.log('keyWithdrawn', { digest, time });
    }
    metrics.pendingWithdrawals.set(pending.size);
    return added;
  };

  const removePending = (digest: KeyDigest): void => {
    pending.delete(digest);
    withdrawnLocally.delete(digest);
    metrics.pendingWithdrawals.set(pending.size);
  };

  const notify = async (vms: readonly VmId[], message: WithdrawMessage): Promise<void> => {
    const others = vms.filter((vm) => vm !== self.vm);
    await Promise.all(
      others.map((vm) =>
        network.call(vm, 'keys.withdraw', message, { timeoutMs: CALL_TIMEOUT_MS }),
      ),
    );
  };

  const pickRelays = (dataCentre: DataCentreId): VmId[] => {
    const live = [...membership.listLive(dataCentre)];
    const relays: VmId[] = [];
    while (relays.length < RELAYS_PER_DATA_CENTRE && live.length > 0) {
      relays.push(...live.splice(options.random.nextInt(live.length), 1));
    }
    return relays;
  };

  const notifyDataCentre = (withdrawals: readonly Withdrawal[]): Promise<void> =>
    notify(membership.listLive(self.dataCentre), { withdrawals, relay: false });

  const fetchFrom = async (peer: VmId): Promise<void> => {
    const result = await network.call<{ withdrawals: Withdrawal[] }>(
      peer,
      'keys.list',
      {},
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (result.isOk()) add(result.value.withdrawals);
  };

  /** Writes on condition of the version read, so that a concurrent edit of the key is not lost. */
  const write = async (digest: KeyDigest): Promise<void> => {
    const key = configurationKeys.tenantKey(digest);
    const stored = unwrap(await objectApi.get(key));
    const value = stored?.value as TenantKey | undefined;
    if (value?.withdrawn === true) return;
    const writeId = `withdraw-${self.vm}-${digest.slice(0, 16)}`;
    const withdrawn = { digest, organisation: '', hint: '', ...value, withdrawn: true };
    const condition = stored === undefined ? { ifAbsent: true } : { ifVersion: stored.version };
    unwrap(await objectApi.put(key, withdrawn, { ...condition, writeId }));
    telemetry.log('keyWithdrawalWritten', { digest });
  };

  const writePending = async (): Promise<void> => {
    const due = options.isWriter() ? [...pending.keys()] : [...withdrawnLocally];
    try {
      for (const digest of due) await write(digest);
    } catch {
      // The platform is unreachable or another node wrote first; the next round reads again.
    }
  };

  network.handle('keys.withdraw', async (params) => {
    const { withdrawals, relay } = params as WithdrawMessage;
    const added = add(withdrawals);
    if (relay && added.length > 0) void notifyDataCentre(added);
  });
  network.handle('keys.list', async () => ({ withdrawals: [...pending] }));

  return {
    has: (digest) => pending.has(digest),
    withdraw: async (digest) => {
      const withdrawal: Withdrawal = [digest, Date.now()];
      if (add([withdrawal]).length === 0) return;
      withdrawnLocally.add(digest);
      const relayed = membership
        .otherDataCentres()
        .map((dc) => notify(pickRelays(dc), { withdrawals: [withdrawal], relay: true }));
      await Promise.all([notifyDataCentre([withdrawal]), ...relayed]);
    },
    observe: (key) => {
      if (key.withdrawn) removePending(key.digest);
    },
    fetchFrom,
    // eslint-disable-next-line no-bitwise
    digest: () => [...pending.keys()].reduce((sum, digest) => (sum ^ hash32(digest)) >>> 0, 0),
    receiveDigest: (digest, from) => {
      if (digest === 0 || monotonicMs() < nextFetchAt) return;
      nextFetchAt = monotonicMs() + FETCH_INTERVAL_MS;
      void fetchFrom(from);
    },
    run: (signal) => repeatUntilAborted(signal, () => WRITE_INTERVAL_MS, writePending),
  };
}
