/** Runs prefills one at a time: higher priority first, equal priorities in order of arrival. */
import { attemptKey } from './types.js';
import type { AttemptRef } from './types.js';

export interface PrefillJob extends AttemptRef {
  readonly priority: number;
  /** Starts the job and returns its duration in ms, or `undefined` if the job is dropped. */
  readonly begin: () => number | undefined;
  readonly complete: (elapsedMs: number) => void;
  readonly cancel: () => void;
}

export interface PrefillQueue {
  add(job: PrefillJob): void;
  /** Cancels the waiting and running jobs that match and returns their number. */
  cancel(matches: (ref: AttemptRef) => boolean): number;
  /** Returns the number of waiting and running jobs. */
  size(): number;
  /** Pauses or resumes the queue. A pause delays the end of the running job by its length. */
  setPaused(paused: boolean): void;
  /** Returns the time until the running job ends, or 0 without one. */
  remainingMs(): number;
}

interface RunningJob {
  readonly job: PrefillJob;
  readonly startedAtMs: number;
  endsAtMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Creates an empty queue. */
export function createPrefillQueue(): PrefillQueue {
  const waiting: PrefillJob[] = [];
  let running: RunningJob | undefined;
  let pausedAtMs: number | undefined;

  const dequeueNext = (): PrefillJob | undefined => {
    let best = 0;
    for (let i = 1; i < waiting.length; i += 1) {
      if ((waiting[i]?.priority ?? 0) > (waiting[best]?.priority ?? 0)) best = i;
    }
    return waiting.splice(best, 1)[0];
  };
  const finish = (): void => {
    const finished = running;
    running = undefined;
    if (finished !== undefined) finished.job.complete(performance.now() - finished.startedAtMs);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    startNext();
  };
  const scheduleFinish = (): void => {
    if (running === undefined || pausedAtMs !== undefined) return;
    running.timer = setTimeout(finish, Math.max(0, running.endsAtMs - performance.now()));
  };
  const startNext = (): void => {
    while (running === undefined && pausedAtMs === undefined && waiting.length > 0) {
      const job = dequeueNext();
      const durationMs = job?.begin();
      if (job === undefined || durationMs === undefined) continue;
      const startedAtMs = performance.now();
      running = { job, startedAtMs, endsAtMs: startedAtMs + durationMs, timer: undefined };
      scheduleFinish();
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
      scheduleFinish();
      startNext();
    },
    remainingMs: () =>
      running === undefined ? 0 : Math.max(0, running.endsAtMs - performance.now()),
  };
}

/** Returns a predicate for one attempt of a request, or for all attempts if none is given. */
export function matchAttempt(
  requestId: string,
  attempt: number | undefined,
): (ref: AttemptRef) => boolean {
  if (attempt === undefined) return (ref) => ref.requestId === requestId;
  const key = attemptKey({ requestId, attempt });
  return (ref) => attemptKey(ref) === key;
}
