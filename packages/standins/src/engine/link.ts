/** A link of limited rate that all transfers share equally. No bytes are moved. */

interface Transfer {
  remainingBytes: number;
  readonly finish: (completed: boolean) => void;
}

export interface TransferHandle {
  /** True when the transfer completed, false when it was cancelled. */
  readonly done: Promise<boolean>;
  cancel(): void;
}

export interface Link {
  transfer(bytes: number): TransferHandle;
  /** To be called when the rate has changed. */
  refresh(): void;
  active(): number;
  stop(): void;
}

/** Rounding of timers must not leave a rest of a byte behind. */
const DONE_BYTES = 1;

/** Creates a link; a rate of 0 stalls it. */
export function createLink(bytesPerMs: () => number): Link {
  const transfers = new Set<Transfer>();
  let rate = bytesPerMs();
  let updatedAtMs = performance.now();
  let timer: NodeJS.Timeout | undefined;

  const advance = (): void => {
    const now = performance.now();
    const share = transfers.size === 0 ? 0 : (rate * (now - updatedAtMs)) / transfers.size;
    for (const transfer of transfers) transfer.remainingBytes -= share;
    updatedAtMs = now;
    rate = bytesPerMs();
  };
  const schedule = (): void => {
    clearTimeout(timer);
    timer = undefined;
    if (transfers.size === 0 || rate <= 0) return;
    const least = Math.min(...[...transfers].map((transfer) => transfer.remainingBytes));
    const waitMs = Math.max(0, (least * transfers.size) / rate);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    timer = setTimeout(update, Math.ceil(waitMs));
  };
  const update = (): void => {
    advance();
    for (const transfer of [...transfers]) {
      if (transfer.remainingBytes > DONE_BYTES) continue;
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
