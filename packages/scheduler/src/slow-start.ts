/** Slow start: how many requests at a time an upstream in cold start bears. */
export interface SlowStart {
  isCold(): boolean;
  /** Requests at a time; the capacity when warm. */
  level(): number;
  /** Starts over from the cold limit, or from `atLeast` when that is higher. */
  restart(now: number, atLeast?: number): void;
  /** Continues at a level that a previous owner had reached. */
  continueAt(level: number, now: number): void;
  recordSuccess(now: number): void;
}

export interface SlowStartOptions {
  readonly capacity: number;
  readonly coldLimit: number;
  readonly coldStepMs: number;
}

/**
 * The limit grows by one per `coldLimit` successes and at most doubles within `coldStepMs`. A new
 * upstream is cold.
 */
export function createSlowStart(options: SlowStartOptions, startedAt: number): SlowStart {
  const { capacity, coldLimit, coldStepMs } = options;
  let cold = true;
  let limit = Math.min(coldLimit, capacity);
  let successes = 0;
  let stepBase = limit;
  let stepAt = startedAt;
  const begin = (level: number, now: number): void => {
    limit = Math.min(level, capacity);
    cold = limit < capacity || coldLimit >= capacity;
    stepBase = limit;
    stepAt = now;
    successes = 0;
  };
  return {
    isCold: () => cold,
    level: () => (cold ? limit : capacity),
    restart: (now, atLeast = 0) => {
      begin(Math.max(coldLimit, atLeast), now);
      cold = true;
    },
    continueAt: (level, now) => {
      begin(Math.max(level, coldLimit), now);
      if (level >= capacity) cold = false;
    },
    recordSuccess: (now) => {
      if (!cold) return;
      if (now - stepAt >= coldStepMs) {
        stepBase = limit;
        stepAt = now;
      }
      successes += 1;
      if (successes < coldLimit) return;
      successes = 0;
      limit = Math.min(limit + 1, Math.max(stepBase * 2, 1), capacity);
      if (limit >= capacity) cold = false;
    },
  };
}
