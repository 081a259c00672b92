/**
 * Requests that wait for memory on a decode engine of one pool. The engine itself grants the memory,
 * so that nodes need no owner for it; the queue decides who asks first and when waiting is no use.
 *
 * Load: bursts that last longer than callers' targets. A run holds its memory for seconds, so a late
 * request that is served makes one or more punctual ones late. Late requests therefore ask only
 * while no punctual one waits, and only for memory that leaves room for the next punctual ones.
 */
import { createError, monotonicMs } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { createFairQueue } from '@hibiscusbank/scheduler';
import type { Queueable } from '@hibiscusbank/scheduler';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Reservations that are asked for at once; more would let late entries overtake early ones. */
const MAX_ASKING = 6;
/** Pause after all engines refused, unless a run of this node ends before. */
const REFUSED_PAUSE_MS = 40;

export interface QueueRequest<T> {
  readonly organisation: string;
  /** Work in tokens, which organisations are kept fair by. */
  readonly cost: number;
  /** Time from now on after which the answer is late. */
  readonly lateMs: number;
  /** Time from now on after which waiting is given up. */
  readonly patienceMs: number;
  readonly signal: AbortSignal;
  /** Asks engines for a reservation; `undefined` when none has room. */
  readonly reserve: (isLate: boolean) => Promise<T | undefined>;
  /** Gives back a reservation that came after the request had ended. */
  readonly drop: (reservation: T) => void;
}

export interface EngineQueue<T> {
  /** Waits for a reservation. Errors: `no_capacity` (not run), `cancelled`. */
  wait(req: QueueRequest<T>): Promise<Result<T, RouterError>>;
  /** Tells that memory may have become free. */
  notifyFree(): void;
  size(): number;
}

export interface EngineQueueOptions {
  /** Time after which a refused caller should come back. */
  readonly retryAfterMs: () => number;
}

interface Entry<T> extends Queueable {
  readonly req: QueueRequest<T>;
  settle: ((result: Result<T, RouterError>) => void) | undefined;
}

/** Creates the queue of a pool. */
export function createEngineQueue<T>({ retryAfterMs }: EngineQueueOptions): EngineQueue<T> {
  const queue = createFairQueue<Entry<T>>();
  const late = new Set<Entry<T>>();
  const asking = new Set<Entry<T>>();
  let pausedUntil = 0;
  let timer: NodeJS.Timeout | undefined;
  let pump = (): void => {};

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
      pump();
    }, REFUSED_PAUSE_MS);
  };

  const ask = async (entry: Entry<T>, isLate: boolean): Promise<void> => {
    asking.add(entry);
    const reservation = await entry.req.reserve(isLate);
    asking.delete(entry);
    if (reservation === undefined) {
      if (entry.settle !== undefined) pause();
      return;
    }
    if (entry.settle === undefined) {
      entry.req.drop(reservation);
    } else {
      if (!late.delete(entry)) queue.serve(entry);
      finish(entry, ok(reservation));
    }
    pump();
  };

  /** One late request at a time, the oldest first. */
  const askLate = (): void => {
    if (queue.size() > 0) return;
    const [oldest] = late;
    if (oldest !== undefined && !asking.has(oldest)) void ask(oldest, true);
  };

  pump = (): void => {
    while (asking.size < MAX_ASKING && monotonicMs() >= pausedUntil) {
      const entry = queue.pick(monotonicMs(), asking);
      if (entry === undefined) {
        askLate();
        return;
      }
      void ask(entry, false);
    }
  };

  return {
    size: () => queue.size() + late.size,
    notifyFree: () => {
      pausedUntil = 0;
      pump();
    },
    wait: (req) =>
      new Promise((resolve) => {
        const now = monotonicMs();
        const entry: Entry<T> = {
          organisation: req.organisation,
          urgency: 'urgent',
          cost: req.cost,
          arrivedAt: now,
          patienceMs: req.patienceMs,
          lateAt: now + req.lateMs,
          req,
          settle: undefined,
        };
        const giveUp = (error: RouterError): void => {
          queue.remove(entry);
          late.delete(entry);
          finish(entry, err(error));
        };
        const expiry = setTimeout(() => {
          giveUp(
            createError('no_capacity', 'no engine has memory for the request; retry later', {
              effect: 'not_run',
              retryAfterMs: retryAfterMs(),
            }),
          );
        }, req.patienceMs);
        const onAbort = (): void =>
          giveUp(createError('cancelled', 'the request ended', { effect: 'not_run' }));
        const lateness = setTimeout(() => {
          queue.remove(entry);
          late.add(entry);
          pump();
        }, req.lateMs);
        entry.settle = (result) => {
          clearTimeout(expiry);
          clearTimeout(lateness);
          req.signal.removeEventListener('abort', onAbort);
          resolve(result);
        };
        req.signal.addEventListener('abort', onAbort, { once: true });
        if (req.lateMs > 0) queue.add(entry);
        else late.add(entry);
        pump();
      }),
  };
}
