/** Time that is left of a drain. */
import { monotonicMs } from '@hibiscusbank/core';

export interface DrainTime {
  /** Begins the drain. `endsAt` is the monotonic time in milliseconds at which the process ends. */
  begin(endsAt: number): void;
  isDraining(): boolean;
  /** Returns the milliseconds since the drain began, 0 before it. */
  elapsedMs(): number;
  /** Returns the milliseconds until the process ends, Infinity before the drain. */
  leftMs(): number;
  /**
   * Calls `listener` once work that takes `workMs` can no longer end before the process does.
   * Returns a function that cancels the call.
   */
  onTooLate(workMs: number, listener: () => void): () => void;
}

interface Watch {
  readonly workMs: number;
  readonly listener: () => void;
  timer: NodeJS.Timeout | undefined;
}

/** Creates the time of a node that is not draining. */
export function createDrainTime(): DrainTime {
  const watches = new Set<Watch>();
  let startedAt = Infinity;
  let end = Infinity;

  const leftMs = (): number => end - monotonicMs();

  const arm = (watch: Watch): void => {
    watch.timer = setTimeout(watch.listener, Math.max(0, leftMs() - watch.workMs));
  };

  return {
    begin: (endsAt) => {
      if (end !== Infinity) return;
      startedAt = monotonicMs();
      end = endsAt;
      watches.forEach(arm);
    },
    isDraining: () => end !== Infinity,
    elapsedMs: () => Math.max(0, monotonicMs() - startedAt),
    leftMs,
    onTooLate: (workMs, listener) => {
      const watch: Watch = { workMs, listener, timer: undefined };
      watches.add(watch);
      if (end !== Infinity) arm(watch);
      return () => {
        clearTimeout(watch.timer);
        watches.delete(watch);
      };
    },
  };
}
