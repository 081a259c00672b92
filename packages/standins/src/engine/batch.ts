/** Continuous batching: one timer a engine makes one token for each running stream. */
import { isFinished, produceToken } from './streams.js';
import type { Stream } from './streams.js';

export interface BatchOptions {
  /** Time of a step for a batch size. */
  readonly stepMs: (size: number) => number;
  readonly onFinish: (stream: Stream) => void;
  /** Runs after each token; true ends the step, for instance after a crash. */
  readonly onToken: (stream: Stream) => boolean;
}

export interface Batch {
  add(stream: Stream): void;
  remove(stream: Stream): boolean;
  streams(): readonly Stream[];
  setPaused(paused: boolean): void;
  clear(): void;
}

/** A step that is late by more than this time is not made up for. */
const MAX_LAG_MS = 100;

/** Creates an empty batch. */
export function createBatch(options: BatchOptions): Batch {
  let running: Stream[] = [];
  let timer: NodeJS.Timeout | undefined;
  let dueAtMs = 0;
  let paused = false;

  const arm = (): void => {
    if (timer !== undefined || paused || running.length === 0) return;
    const now = performance.now();
    const stepMs = options.stepMs(running.length);
    // Steps follow the schedule and not the timer, so that late timers do not lower the rate.
    dueAtMs = dueAtMs + MAX_LAG_MS < now ? now + stepMs : dueAtMs + stepMs;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    timer = setTimeout(step, Math.max(0, dueAtMs - now));
  };
  const produceAll = (): void => {
    for (const stream of running) {
      produceToken(stream);
      if (options.onToken(stream)) return;
    }
  };
  const step = (): void => {
    timer = undefined;
    produceAll();
    const finished = running.filter(isFinished);
    if (finished.length > 0) {
      running = running.filter((stream) => !isFinished(stream));
      for (const stream of finished) options.onFinish(stream);
    }
    arm();
  };

  return {
    add: (stream) => {
      // An idle batch starts a new schedule.
      if (running.length === 0) dueAtMs = performance.now();
      running.push(stream);
      arm();
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
      arm();
    },
    clear: () => {
      running = [];
      clearTimeout(timer);
      timer = undefined;
    },
  };
}
