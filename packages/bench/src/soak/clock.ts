/** The controlled clock of a run and the seeded ids of `node:crypto`. */
import crypto from 'node:crypto';
import { syncBuiltinESMExports } from 'node:module';
import type { Random } from '@hibiscusbank/core';
import FakeTimers from '@sinonjs/fake-timers';
import { currentProcess } from './process.js';

/** Start of all runs, so that dates in a run are determined. */
const START_MS = Date.UTC(2026, 0, 1);

const immediately = setImmediate;

export interface SoakClock {
  nowMs(): number;
  /** Fires all timers of the next `ms` in order; promises settle between two timers. */
  advance(ms: number): Promise<void>;
  uninstall(): void;
}

type Callback = (...args: unknown[]) => void;

/** Lets promises, next-tick callbacks and streams proceed. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    immediately(resolve);
  });
}

/** Makes timers belong to the process that sets them. */
function bindTimersToProcesses(): void {
  const { setTimeout: setFake, clearTimeout: clearFake } = globalThis;
  const { setInterval: repeatFake, clearInterval: clearRepeatFake } = globalThis;
  const cleared = new WeakSet<object>();
  const bind =
    (set: typeof setFake | typeof repeatFake) =>
    (callback: Callback, ms?: number, ...args: unknown[]): NodeJS.Timeout => {
      const owner = currentProcess();
      if (owner === undefined) return set(callback, ms, ...args);
      if (!owner.isAlive()) return set(() => {});
      let isHeld = false;
      const handle: NodeJS.Timeout = set(() => {
        // A paused process finds at most one expiry of each timer when it wakes.
        if (isHeld) return;
        isHeld = true;
        owner.run(() => {
          isHeld = false;
          if (!cleared.has(handle)) callback(...args);
        });
        if (!owner.isAlive()) isHeld = true;
      }, ms);
      return handle;
    };
  const bindClear =
    (clear: (handle: NodeJS.Timeout | undefined) => void) =>
    (handle: NodeJS.Timeout | undefined): void => {
      if (typeof handle === 'object') cleared.add(handle);
      clear(handle);
    };
  globalThis.setTimeout = bind(setFake) as typeof setTimeout;
  globalThis.setInterval = bind(repeatFake) as typeof setInterval;
  globalThis.clearTimeout = bindClear((handle) => clearFake(handle)) as typeof clearTimeout;
  globalThis.clearInterval = bindClear((handle) => clearRepeatFake(handle)) as typeof clearInterval;
}

const UUID_DIGITS = [8, 4, 4, 4, 12];

/** Replaces `randomUUID`, whose ids decide placements by hash. Returns a function that restores it. */
function seedIds(random: Random): () => void {
  const original = crypto.randomUUID;
  const digits = (count: number): string =>
    Array.from({ length: count }, () => random.below(16).toString(16)).join('');
  crypto.randomUUID = () =>
    UUID_DIGITS.map(digits).join('-') as ReturnType<typeof crypto.randomUUID>;
  syncBuiltinESMExports();
  return () => {
    crypto.randomUUID = original;
    syncBuiltinESMExports();
  };
}

/** Installs the clock in place of the runtime's. */
export function installClock(random: Random): SoakClock {
  const clock = FakeTimers.install({
    now: START_MS,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  bindTimersToProcesses();
  const restoreIds = seedIds(random);
  return {
    nowMs: () => performance.now(),
    advance: async (ms) => {
      let done = false;
      clock.setTimeout(() => {
        done = true;
      }, ms);
      await settle();
      while (!done) {
        clock.next();
        await settle();
      }
    },
    uninstall: () => {
      clock.reset();
      clock.uninstall();
      restoreIds();
    },
  };
}
