/**
 * Withdrawn keys that the platform does not have as withdrawn yet. They override the entries of the
 * platform, spread between nodes, and are kept until an entry says the same.
 */
import { hash32, monotonicMs, repeatUntilAborted, unwrap } from '@hibiscusbank/core';
import type { DataCentreId, KeyDigest, Random, Telemetry, VmId } from '@hibiscusbank/core';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { ObjectApi } from '@hibiscusbank/object-api';
import type { ReplicaMetrics } from './metrics.js';
import { configurationKeys } from './types.js';
import type { TenantKey } from './types.js';

const CALL_TIMEOUT_MS = 1_000;

/** VMs of another data centre that are told, each of which tells its whole data centre. */
const RELAYS_PER_DATA_CENTRE = 2;

/** Bounds the exchanges while lists differ, as they do until the platform's entry has arrived. */
const FETCH_INTERVAL_MS = 1_000;

const WRITE_INTERVAL_MS = 2_000;

/** Digest of a key and the time of its withdrawal in milliseconds since 1970. */
type Withdrawal = readonly [digest: KeyDigest, time: number];

interface WithdrawMessage {
  readonly withdrawals: readonly Withdrawal[];
  /** Whether the receiver tells the other VMs of its data centre. */
  readonly relay: boolean;
}

export interface Withdrawals {
  has(digest: KeyDigest): boolean;
  /** Withdraws a key here and on all reachable nodes. */
  withdraw(digest: KeyDigest): Promise<void>;
  /** Drops a pending withdrawal once a key's entry says the same. */
  observe(key: TenantKey): void;
  /** Takes over the list of a peer. */
  fetchFrom(peer: VmId): Promise<void>;
  /** Hash of the list, carried by probes. */
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
  /** Whether this VM writes the withdrawals of others, too. */
  readonly isWriter: () => boolean;
}

/** Creates the list of one node and answers `keys.withdraw` and `keys.list`. */
export function createWithdrawals(options: WithdrawalsOptions): Withdrawals {
  const { network, membership, objectApi, telemetry, metrics } = options;
  const { self } = membership;
  const pending = new Map<KeyDigest, number>();
  const own = new Set<KeyDigest>();
  let nextFetch = -Infinity;

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

  const drop = (digest: KeyDigest): void => {
    pending.delete(digest);
    own.delete(digest);
    metrics.pendingWithdrawals.set(pending.size);
  };

  const tell = async (vms: readonly VmId[], message: WithdrawMessage): Promise<void> => {
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
      relays.push(...live.splice(options.random.below(live.length), 1));
    }
    return relays;
  };

  const tellDataCentre = (withdrawals: readonly Withdrawal[]): Promise<void> =>
    tell(membership.listLive(self.dataCentre), { withdrawals, relay: false });

  const fetchFrom = async (peer: VmId): Promise<void> => {
    const result = await network.call<{ withdrawals: Withdrawal[] }>(
      peer,
      'keys.list',
      {},
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (result.isOk()) add(result.value.withdrawals);
  };

  /** Writes on the version read, so that a concurrent edit of the key is not overwritten. */
  const write = async (digest: KeyDigest): Promise<void> => {
    const key = configurationKeys.tenantKey(digest);
    const found = unwrap(await objectApi.get(key));
    const value = found?.value as TenantKey | undefined;
    if (value?.withdrawn === true) return;
    const writeId = `withdraw-${self.vm}-${digest.slice(0, 16)}`;
    const withdrawn = { digest, organisation: '', hint: '', ...value, withdrawn: true };
    const condition = found === undefined ? { ifAbsent: true } : { ifVersion: found.version };
    unwrap(await objectApi.put(key, withdrawn, { ...condition, writeId }));
    telemetry.log('keyWithdrawalWritten', { digest });
  };

  const writePending = async (): Promise<void> => {
    const due = options.isWriter() ? [...pending.keys()] : [...own];
    try {
      for (const digest of due) await write(digest);
    } catch {
      // The platform is out or another node was faster; the next round reads again.
    }
  };

  network.handle('keys.withdraw', async (params) => {
    const { withdrawals, relay } = params as WithdrawMessage;
    const added = add(withdrawals);
    if (relay && added.length > 0) void tellDataCentre(added);
  });
  network.handle('keys.list', async () => ({ withdrawals: [...pending] }));

  return {
    has: (digest) => pending.has(digest),
    withdraw: async (digest) => {
      const withdrawal: Withdrawal = [digest, Date.now()];
      if (add([withdrawal]).length === 0) return;
      own.add(digest);
      const relayed = membership
        .otherDataCentres()
        .map((dc) => tell(pickRelays(dc), { withdrawals: [withdrawal], relay: true }));
      await Promise.all([tellDataCentre([withdrawal]), ...relayed]);
    },
    observe: (key) => {
      if (key.withdrawn) drop(key.digest);
    },
    fetchFrom,
    // eslint-disable-next-line no-bitwise
    digest: () => [...pending.keys()].reduce((sum, digest) => (sum ^ hash32(digest)) >>> 0, 0),
    receiveDigest: (digest, from) => {
      if (digest === 0 || monotonicMs() < nextFetch) return;
      nextFetch = monotonicMs() + FETCH_INTERVAL_MS;
      void fetchFrom(from);
    },
    run: (signal) => repeatUntilAborted(signal, () => WRITE_INTERVAL_MS, writePending),
  };
}
