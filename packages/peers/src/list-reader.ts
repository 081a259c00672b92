/** Reads the platform's VM list at a rate that keeps its cost constant as the fleet grows. */
import { monotonicMs, repeatUntilAborted } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { ListedVm, VmList } from '@hibiscusbank/object-api';
import type { MembershipMetrics } from './metrics.js';

const MIN_LIST_INTERVAL_MS = 2_000;
const MAX_LIST_INTERVAL_MS = 30_000;

/** An entry of the list has about 90 bytes, so that reading costs less than 1 KB/s. */
const LIST_INTERVAL_PER_VM_MS = 100;

/** Without contact to any peer the list is the only sign that this VM is not cut off. */
const LONELY_AFTER_MS = 5_000;

export interface ListReader {
  /** Reads the list once and then goes on in the background. */
  start(signal: AbortSignal): Promise<void>;
  /** The last list, or `undefined` before the first. */
  last(): readonly ListedVm[] | undefined;
}

export interface ListReaderOptions {
  readonly vmList: VmList;
  readonly telemetry: Telemetry;
  readonly metrics: MembershipMetrics;
  readonly onList: (vms: readonly ListedVm[]) => void;
  readonly lastPeerContactMs: () => number;
}

/** Creates the reader of one node. */
export function createListReader(options: ListReaderOptions): ListReader {
  let listed: readonly ListedVm[] | undefined;
  let failed = false;

  const read = async (): Promise<void> => {
    const result = await options.vmList.read();
    failed = result.isErr();
    if (result.isErr()) {
      options.metrics.listFailures.inc();
      options.telemetry.log('vmListUnavailable', { error: result.error.message });
      return;
    }
    listed = result.value;
    options.onList(listed);
  };

  const chooseInterval = (): number => {
    const isLonely = monotonicMs() - options.lastPeerContactMs() > LONELY_AFTER_MS;
    if (failed || isLonely) return MIN_LIST_INTERVAL_MS;
    const interval = (listed?.length ?? 0) * LIST_INTERVAL_PER_VM_MS;
    return Math.min(MAX_LIST_INTERVAL_MS, Math.max(MIN_LIST_INTERVAL_MS, interval));
  };

  return {
    last: () => listed,
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
