/** Simulated network link whose rate all transfers share equally. No bytes are sent. */

interface Transfer {
  remainingBytes: number;
  readonly finish: (completed: boolean) => void;
}

export interface TransferHandle {
  /** Resolves to true when the transfer completes, or to false when it is cancelled. */
  readonly done: Promise<boolean>;
  cancel(): void;
}

export interface Link {
  transfer(bytes: number): TransferHandle;
  /** Applies the current rate. Must be called when the rate has changed. */
  refresh(): void;
  /** Returns the number of running transfers. */
  active(): number;
  /** Cancels all transfers. */
  stop(): void;
}

/**
 * A transfer with this little remaining is complete: rounded timers can leave a fraction of a byte.
 */
const COMPLETION_TOLERANCE_BYTES = 1;

/** Creates a link. A rate of 0 stalls all transfers. */
export function createLink(bytesPerMs: () => number): Link {
  const transfers = new Set<Transfer>();
  let rate = bytesPerMs();
  let updatedAtMs = performance.now();
  let timer: NodeJS.Timeout | undefined;

  const advance = (): void => {
    const now = performance.now();
    const bytesPerTransfer =
      transfers.size === 0 ? 0 : (rate * (now - updatedAtMs)) / transfers.size;
    for (const transfer of transfers) transfer.remainingBytes -= bytesPerTransfer;
    updatedAtMs = now;
    rate = bytesPerMs();
  };
  const schedule = (): void => {
    clearTimeout(timer);
    timer = undefined;
    if (transfers.size === 0 || rate <= 0) return;
    const smallestRemainingBytes = Math.min(
      ...[...transfers].map((transfer) => transfer.remainingBytes),
    );
    const waitMs = Math.max(0, (smallestRemainingBytes * transfers.size) / rate);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    timer = setTimeout(update, Math.ceil(waitMs));
  };
  const update = (): void => {
    advance();
    for (const transfer of [...transfers]) {
      if (transfer.remainingBytes > COMPLETION_TOLERANCE_BYTES) continue;
      transfers.delete(transfer);
      transfer.finish(true);
    }
    schedule();
  };
  const remove = (transfer: Transfer): void => {
    advance();
    if (!transfers.delete(transfer)) return;
    transfer.finish(false);
    schedule();
  };

  return {
    transfer: (bytes) => {
      let finish: (completed: boolean) => void = () => {};
      const done = new Promise<boolean>((resolve) => {
        finish = resolve;
      });
      advance();
      const transfer: Transfer = { remainingBytes: bytes, finish };
      transfers.add(transfer);
      schedule();
      return { done, cancel: () => remove(transfer) };
    },
    refresh: update,
    active: () => transfers.size,
    stop: () => {
      clearTimeout(timer);
      for (const transfer of [...transfers]) remove(transfer);
      clearTimeout(timer);
    },
  };
}
