/** Runs prefills one after another, higher priority first, then in order of arrival. */
import { attemptKey } from './types.js';
import type { AttemptRef } from './types.js';

export interface PrefillJob extends AttemptRef {
  readonly priority: number;
  /** Runs when the turn has come; returns the duration in ms, or `undefined` to drop the job. */
  readonly begin: () => number | undefined;
  readonly complete: (elapsedMs: number) => void;
  readonly cancel: () => void;
}

export interface PrefillQueue {
  add(job: PrefillJob): void;
  /** Cancels waiting and running jobs; returns their number. */
  cancel(matches: (ref: AttemptRef) => boolean): number;
  /** Jobs that wait or run. */
  size(): number;
  /** Ends the running job's wait when the engine was frozen or thawed. */
  setPaused(paused: boolean): void;
  /** Time until the running job ends. */
  remainingMs(): number;
}

interface Running {
  readonly job: PrefillJob;
  readonly startedAtMs: number;
  endsAtMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Creates an empty queue. */
export function createPrefillQueue(): PrefillQueue {
  const waiting: PrefillJob[] = [];
  let running: Running | undefined;
  let pausedAtMs: number | undefined;

  const takeNext = (): PrefillJob | undefined => {
    let best = 0;
    for (let i = 1; i < waiting.length; i += 1) {
      if ((waiting[i]?.priority ?? 0) > (waiting[best]?.priority ?? 0)) best = i;
    }
    return waiting.splice(best, 1)[0];
  };
  const finish = (): void => {
    const done = running;
    running = undefined;
    if (done !== undefined) done.job.complete(performance.now() - done.startedAtMs);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    startNext();
  };
  const arm = (): void => {
    if (running === undefined || pausedAtMs !== undefined) return;
    running.timer = setTimeout(finish, Math.max(0, running.endsAtMs - performance.now()));
  };
  const startNext = (): void => {
    while (running === undefined && pausedAtMs === undefined && waiting.length > 0) {
      const job = takeNext();
      const durationMs = job?.begin();
      if (job === undefined || durationMs === undefined) continue;
      const startedAtMs = performance.now();
      running = { job, startedAtMs, endsAtMs: startedAtMs + durationMs, timer: undefined };
      arm();
    }
  };
  const cancelRunning = (matches: (ref: AttemptRef) => boolean): number => {
    if (running === undefined || !matches(running.job)) return 0;
    clearTimeout(running.timer);
    const { job } = running;
    running = undefined;
    job.cancel();
    startNext();
    return 1;
  };

  return {
    add: (job) => {
      waiting.push(job);
      startNext();
    },
    cancel: (matches) => {
      const cancelled = waiting.filter(matches);
      for (const job of cancelled) {
        waiting.splice(waiting.indexOf(job), 1);
        job.cancel();
      }
      return cancelled.length + cancelRunning(matches);
    },
    size: () => waiting.length + (running === undefined ? 0 : 1),
    setPaused: (paused) => {
      const now = performance.now();
      if (paused === (pausedAtMs !== undefined)) return;
      if (paused) {
        pausedAtMs = now;
        clearTimeout(running?.timer);
        return;
      }
      if (running !== undefined) running.endsAtMs += now - (pausedAtMs ?? now);
      pausedAtMs = undefined;
      arm();
      startNext();
    },
    remainingMs: () =>
      running === undefined ? 0 : Math.max(0, running.endsAtMs - performance.now()),
  };
}

/** Selects one attempt of a request, or all of them. */
export function matchAttempt(
  requestId: string,
  attempt: number | undefined,
): (ref: AttemptRef) => boolean {
  if (attempt === undefined) return (ref) => ref.requestId === requestId;
  const key = attemptKey({ requestId, attempt });
  return (ref) => attemptKey(ref) === key;
}
