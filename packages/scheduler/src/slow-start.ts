/** Slow start: limits the concurrent requests on a cold upstream. */
export interface SlowStart {
  isCold(): boolean;
  /** Returns the limit of concurrent requests; the capacity when warm. */
  level(): number;
  /** Restarts at the cold limit, or at `minLevel` if that is higher. */
  restart(now: number, minLevel?: number): void;
  /** Continues at the level that was reached under a previous owner or table entry. */
  resumeAt(level: number, now: number): void;
  recordSuccess(now: number): void;
}

export interface SlowStartOptions {
  readonly capacity: number;
  readonly coldLimit: number;
  readonly coldStepMs: number;
}

/**
 * Creates the slow start of an upstream, which is cold at first. The limit grows by one per
 * `coldLimit` successes and at most doubles within `coldStepMs`.
 */
export function createSlowStart(options: SlowStartOptions, startedAt: number): SlowStart {
  const { capacity, coldLimit, coldStepMs } = options;
  let cold = true;
  let limit = Math.min(coldLimit, capacity);
  let successes = 0;
  let stepBase = limit;
  let stepStartedAt = startedAt;
  const setLevel = (level: number, now: number): void => {
    limit = Math.min(level, capacity);
    cold = limit < capacity || coldLimit >= capacity;
    stepBase = limit;
    stepStartedAt = now;
    successes = 0;
  };
  return {
    isCold: () => cold,
    level: () => (cold ? limit : capacity),
    restart: (now, minLevel = 0) => {
      setLevel(Math.max(coldLimit, minLevel), now);
      cold = true;
    },
    resumeAt: (level, now) => {
      setLevel(Math.max(level, coldLimit), now);
      if (level >= capacity) cold = false;
    },
    recordSuccess: (now) => {
      if (!cold) return;
      if (now - stepStartedAt >= coldStepMs) {
        stepBase = limit;
        stepStartedAt = now;
      }
      successes += 1;
      if (successes < coldLimit) return;
      successes = 0;
      limit = Math.min(limit + 1, Math.max(stepBase * 2, 1), capacity);
      if (limit >= capacity) cold = false;
    },
  };
}
