/** Reads the platform's VM list at an interval that grows with the list, to limit the traffic. */
import { monotonicMs, repeatUntilAborted } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { ListedVm, VmList } from '@hibiscusbank/object-api';
import type { MembershipMetrics } from './metrics.js';

const MIN_LIST_INTERVAL_MS = 2_000;
const MAX_LIST_INTERVAL_MS = 30_000;

/** A list entry takes about 90 bytes, so reading costs less than 1 KB/s. */
const LIST_INTERVAL_PER_VM_MS = 100;

/**
 * After this time without contact with any peer the list is read at the shortest interval, because
 * only a successful read then shows that this VM is not isolated.
 */
const PEER_CONTACT_TIMEOUT_MS = 5_000;

export interface ListReader {
  /** Resolves after the first read, then keeps reading in the background until aborted. */
  start(signal: AbortSignal): Promise<void>;
  /** Returns the last list read, or `undefined` before the first. */
  last(): readonly ListedVm[] | undefined;
}

export interface ListReaderOptions {
  readonly vmList: VmList;
  readonly telemetry: Telemetry;
  readonly metrics: MembershipMetrics;
  readonly onList: (vms: readonly ListedVm[]) => void;
  readonly lastPeerContactMs: () => number;
}

/** Creates the VM list reader of one node. */
export function createListReader(options: ListReaderOptions): ListReader {
  let lastList: readonly ListedVm[] | undefined;
  let lastReadFailed = false;

  const read = async (): Promise<void> => {
    const result = await options.vmList.read();
    lastReadFailed = result.isErr();
    if (result.isErr()) {
      options.metrics.listFailures.inc();
      options.telemetry.log('vmListUnavailable', { error: result.error.message });
      return;
    }
    lastList = result.value;
    options.onList(lastList);
  };

  const chooseInterval = (): number => {
    const hasNoPeerContact = monotonicMs() - options.lastPeerContactMs() > PEER_CONTACT_TIMEOUT_MS;
    if (lastReadFailed || hasNoPeerContact) return MIN_LIST_INTERVAL_MS;
    const interval = (lastList?.length ?? 0) * LIST_INTERVAL_PER_VM_MS;
    return Math.min(MAX_LIST_INTERVAL_MS, Math.max(MIN_LIST_INTERVAL_MS, interval));
  };

  return {
    last: () => lastList,
    start: async (signal) => {
      await read();
      let isFirst = true;
      void repeatUntilAborted(signal, chooseInterval, async () => {
        if (!isFirst) await read();
        isFirst = false;
      });
    },
  };
}
