/**
 * Queue of requests that wait for memory on a decode engine of one pool. The engines themselves
 * grant their memory, so no node has to own it. The queue decides which request asks first, and
 * refuses a request whose maximum wait has passed.
 *
 * Designed for bursts that last longer than the latency target. A run holds its memory for seconds,
 * so serving a request that missed its target makes one or more other requests miss theirs.
 * Requests past their target therefore ask only while no request that can be on target waits, and
 * are granted memory only if enough stays free for the next request that can be on target.
 */
import { createError, monotonicMs } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { createFairQueue } from '@hibiscusbank/scheduler';
import type { Queueable } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/**
 * Maximum number of concurrent reservation attempts. With more, later requests could overtake
 * earlier ones.
 */
const MAX_CONCURRENT_ATTEMPTS = 6;
/** Pause after all engines refused, unless a run of this node ends earlier. */
const REFUSED_PAUSE_MS = 40;

export interface QueueRequest<T> {
  readonly organisation: string;
  /** Size in tokens, by which the queue is fair between organisations. */
  readonly cost: number;
  /** Time for which the request can wait and still be answered on target. */
  readonly onTargetMs: number;
  /** Maximum wait. */
  readonly maxWaitMs: number;
  readonly signal: AbortSignal;
  /** Asks engines for a reservation. Resolves to `undefined` when none has free capacity. */
  readonly reserve: (missedTarget: boolean) => Promise<T | undefined>;
  /** Releases a reservation that was granted after the request had ended. */
  readonly release: (reservation: T) => void;
}

export interface EngineQueue<T> {
  /** Waits for a reservation. Errors: `no_capacity` (not run), `cancelled`. */
  wait(req: QueueRequest<T>): Promise<Result<T, RouterError>>;
  /** Notifies the queue that memory may have become free. */
  notifyFreeMemory(): void;
  size(): number;
}

export interface EngineQueueOptions {
  /** Returns the retry delay for refused callers. */
  readonly retryAfterMs: () => number;
}

interface Entry<T> extends Queueable {
  readonly req: QueueRequest<T>;
  settle: ((result: Result<T, RouterError>) => void) | undefined;
}

/** Creates the queue of one pool. */
export function createEngineQueue<T>({ retryAfterMs }: EngineQueueOptions): EngineQueue<T> {
  const queue = createFairQueue<Entry<T>>();
  const pastTarget = new Set<Entry<T>>();
  const asking = new Set<Entry<T>>();
  let pausedUntil = 0;
  let timer: NodeJS.Timeout | undefined;
  let askNext = (): void => {};

  const finish = (entry: Entry<T>, result: Result<T, RouterError>): void => {
    const { settle } = entry;
    entry.settle = undefined;
    settle?.(result);
  };

  const pause = (): void => {
    pausedUntil = monotonicMs() + REFUSED_PAUSE_MS;
    timer ??= setTimeout(() => {
      timer = undefined;
      // Timers fire up to a millisecond early by the monotonic clock.
      pausedUntil = 0;
      askNext();
    }, REFUSED_PAUSE_MS);
  };

  const ask = async (entry: Entry<T>, missedTarget: boolean): Promise<void> => {
    asking.add(entry);
    const reservation = await entry.req.reserve(missedTarget);
    asking.delete(entry);
    if (reservation === undefined) {
      if (entry.settle !== undefined) pause();
      return;
    }
    if (entry.settle === undefined) {
      entry.req.release(reservation);
    } else {
      if (!pastTarget.delete(entry)) queue.serve(entry);
      finish(entry, ok(reservation));
    }
    askNext();
  };

  /** Asks for one request past its target at a time, oldest first. */
  const askPastTarget = (): void => {
    if (queue.size() > 0) return;
    const [oldest] = pastTarget;
    if (oldest !== undefined && !asking.has(oldest)) void ask(oldest, true);
  };

  askNext = (): void => {
    while (asking.size < MAX_CONCURRENT_ATTEMPTS && monotonicMs() >= pausedUntil) {
      const entry = queue.pick(monotonicMs(), asking);
      if (entry === undefined) {
        askPastTarget();
        return;
      }
      void ask(entry, false);
    }
  };

  return {
    size: () => queue.size() + pastTarget.size,
    notifyFreeMemory: () => {
      pausedUntil = 0;
      askNext();
    },
    wait: (req) =>
      new Promise((resolve) => {
        const now = monotonicMs();
        const entry: Entry<T> = {
          organisation: req.organisation,
          urgency: 'urgent',
          cost: req.cost,
          arrivedAt: now,
          patienceMs: req.maxWaitMs,
          targetExpiresAt: now + req.onTargetMs,
          req,
          settle: undefined,
        };
        const reject = (error: RouterError): void => {
          queue.remove(entry);
          pastTarget.delete(entry);
          finish(entry, err(error));
        };
        const maxWaitTimer = setTimeout(() => {
          reject(
            createError('no_capacity', 'no engine has memory for the request; retry later', {
              effect: 'not_run',
              retryAfterMs: retryAfterMs(),
            }),
          );
        }, req.maxWaitMs);
        const onAbort = (): void =>
          reject(createError('cancelled', 'the request ended', { effect: 'not_run' }));
        const targetTimer = setTimeout(() => {
          queue.remove(entry);
          pastTarget.add(entry);
          askNext();
        }, req.onTargetMs);
        entry.settle = (result) => {
          clearTimeout(maxWaitTimer);
          clearTimeout(targetTimer);
          req.signal.removeEventListener('abort', onAbort);
          resolve(result);
        };
        req.signal.addEventListener('abort', onAbort, { once: true });
        if (req.onTargetMs > 0) queue.add(entry);
        else pastTarget.add(entry);
        askNext();
      }),
  };
}
