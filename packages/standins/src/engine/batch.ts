/** Continuous batching: in each step, the engine produces one token for every running stream. */
import { isFinished, produceToken } from './streams.js';
import type { Stream } from './streams.js';

export interface BatchOptions {
  /** Returns the duration of a step for a batch size. */
  readonly stepMs: (size: number) => number;
  readonly onFinish: (stream: Stream) => void;
  /** Runs after each token. Returns true to end the step, for instance after a crash. */
  readonly onToken: (stream: Stream) => boolean;
}

export interface Batch {
  add(stream: Stream): void;
  remove(stream: Stream): boolean;
  streams(): readonly Stream[];
  setPaused(paused: boolean): void;
  clear(): void;
}

/**
 * After a step that is late by up to this time, the next steps follow sooner until the batch is back
 * on schedule; after a longer delay, the schedule restarts.
 */
const MAX_CATCH_UP_MS = 100;

/** Creates an empty batch. */
export function createBatch(options: BatchOptions): Batch {
  let running: Stream[] = [];
  let timer: NodeJS.Timeout | undefined;
  let nextStepAtMs = 0;
  let paused = false;

  const scheduleStep = (): void => {
    if (timer !== undefined || paused || running.length === 0) return;
    const now = performance.now();
    const stepMs = options.stepMs(running.length);
    // The next step is due relative to the schedule, so that late timers do not lower the rate.
    nextStepAtMs = nextStepAtMs + MAX_CATCH_UP_MS < now ? now + stepMs : nextStepAtMs + stepMs;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    timer = setTimeout(step, Math.max(0, nextStepAtMs - now));
  };
  const produceTokens = (): void => {
    for (const stream of running) {
      produceToken(stream);
      if (options.onToken(stream)) return;
    }
  };
  const step = (): void => {
    timer = undefined;
    produceTokens();
    const finished = running.filter(isFinished);
    if (finished.length > 0) {
      running = running.filter((stream) => !isFinished(stream));
      for (const stream of finished) options.onFinish(stream);
    }
    scheduleStep();
  };

  return {
    add: (stream) => {
      // An idle batch starts a new schedule.
      if (running.length === 0) nextStepAtMs = performance.now();
      running.push(stream);
      scheduleStep();
    },
    remove: (stream) => {
      const index = running.indexOf(stream);
      if (index === -1) return false;
      running = running.filter((other) => other !== stream);
      return true;
    },
    streams: () => running,
    setPaused: (next) => {
      paused = next;
      clearTimeout(timer);
      timer = undefined;
      scheduleStep();
    },
    clear: () => {
      running = [];
      clearTimeout(timer);
      timer = undefined;
    },
  };
}
