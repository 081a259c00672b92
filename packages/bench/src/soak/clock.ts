/** Replaces the clock and `crypto.randomUUID` of the runtime by deterministic ones for a run. */
import crypto from 'node:crypto';
import { syncBuiltinESMExports } from 'node:module';
import type { Random } from '@hibiscusbank/core';
import FakeTimers from '@sinonjs/fake-timers';
import { currentProcess } from './process.js';

/** Start time of every run; a fixed value makes the dates reproducible. */
const START_TIME_MS = Date.UTC(2026, 0, 1);

const realSetImmediate = setImmediate;

export interface SoakClock {
  nowMs(): number;
  /** Fires all timers due in the next `ms` in order, and flushes promises between two timers. */
  advance(ms: number): Promise<void>;
  uninstall(): void;
}

type TimerCallback = (...args: unknown[]) => void;

/** Waits until pending promises, next-tick callbacks and stream events are processed. */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => {
    realSetImmediate(resolve);
  });
}

/** Binds each timer to the emulated process that sets it. */
function bindTimersToProcesses(): void {
  const { setTimeout: setFakeTimeout, clearTimeout: clearFakeTimeout } = globalThis;
  const { setInterval: setFakeInterval, clearInterval: clearFakeInterval } = globalThis;
  const cleared = new WeakSet<object>();
  const bindSetter =
    (set: typeof setFakeTimeout | typeof setFakeInterval) =>
    (callback: TimerCallback, ms?: number, ...args: unknown[]): NodeJS.Timeout => {
      const emulatedProcess = currentProcess();
      if (emulatedProcess === undefined) return set(callback, ms, ...args);
      if (!emulatedProcess.isAlive()) return set(() => {});
      let isDeferred = false;
      const handle: NodeJS.Timeout = set(() => {
        // A paused process sees at most one expiry of each timer when it resumes.
        if (isDeferred) return;
        isDeferred = true;
        emulatedProcess.run(() => {
          isDeferred = false;
          if (!cleared.has(handle)) callback(...args);
        });
        if (!emulatedProcess.isAlive()) isDeferred = true;
      }, ms);
      return handle;
    };
  const bindClearer =
    (clear: (handle: NodeJS.Timeout | undefined) => void) =>
    (handle: NodeJS.Timeout | undefined): void => {
      if (typeof handle === 'object') cleared.add(handle);
      clear(handle);
    };
  globalThis.setTimeout = bindSetter(setFakeTimeout) as typeof setTimeout;
  globalThis.setInterval = bindSetter(setFakeInterval) as typeof setInterval;
  globalThis.clearTimeout = bindClearer((handle) =>
    clearFakeTimeout(handle),
  ) as typeof clearTimeout;
  globalThis.clearInterval = bindClearer((handle) =>
    clearFakeInterval(handle),
  ) as typeof clearInterval;
}

const UUID_DIGITS = [8, 4, 4, 4, 12];

/**
 * Replaces `crypto.randomUUID` by a seeded generator, because placement hashes these ids. Returns a function
 * that restores the original.
 */
function seedRandomUuids(random: Random): () => void {
  const original = crypto.randomUUID;
  const digits = (count: number): string =>
    Array.from({ length: count }, () => random.nextInt(16).toString(16)).join('');
  crypto.randomUUID = () =>
    UUID_DIGITS.map(digits).join('-') as ReturnType<typeof crypto.randomUUID>;
  syncBuiltinESMExports();
  return () => {
    crypto.randomUUID = original;
    syncBuiltinESMExports();
  };
}

/** Installs the fake clock and the seeded UUIDs until `uninstall` is called. */
export function installClock(random: Random): SoakClock {
  const clock = FakeTimers.install({
    now: START_TIME_MS,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  bindTimersToProcesses();
  const restoreRandomUuid = seedRandomUuids(random);
  return {
    nowMs: () => performance.now(),
    advance: async (ms) => {
      let done = false;
      clock.setTimeout(() => {
        done = true;
      }, ms);
      await flushPromises();
      while (!done) {
        clock.next();
        await flushPromises();
      }
    },
    uninstall: () => {
      clock.reset();
      clock.uninstall();
      restoreRandomUuid();
    },
  };
}
