/**
 * Emulated processes. Timers and answers belong to the process in whose asynchronous context they were
 * requested; they are dropped when it is killed and held while it is paused.
 */
import { AsyncLocalStorage } from 'node:async_hooks';

export interface EmulatedProcess {
  isAlive(): boolean;
  isPaused(): boolean;
  /** Runs a function in the process: at once, after a pause, or never. */
  run(fn: () => void): void;
  /** Calls a function in the context of the process at once. */
  enter<T>(fn: () => T): T;
  /** Resolves when the process runs; never after `kill`. */
  whenRunning(): Promise<void>;
  pause(): void;
  resume(): void;
  kill(): void;
}

const current = new AsyncLocalStorage<EmulatedProcess | undefined>();

/** The process in whose context the caller runs. */
export function currentProcess(): EmulatedProcess | undefined {
  return current.getStore();
}

/** Calls a function outside of all processes. */
export function runOutside<T>(fn: () => T): T {
  return current.run(undefined, fn);
}

/** Creates a running process. */
export function createProcess(): EmulatedProcess {
  let alive = true;
  let paused = false;
  let held: (() => void)[] = [];
  const emulated: EmulatedProcess = {
    isAlive: () => alive,
    isPaused: () => paused,
    run: (fn) => {
      if (!alive) return;
      if (paused) held.push(fn);
      else current.run(emulated, fn);
    },
    enter: (fn) => current.run(emulated, fn),
    whenRunning: () =>
      new Promise((resolve) => {
        emulated.run(resolve);
      }),
    pause: () => {
      paused = true;
    },
    resume: () => {
      paused = false;
      const due = held;
      held = [];
      for (const fn of due) emulated.run(fn);
    },
    kill: () => {
      alive = false;
      held = [];
    },
  };
  return emulated;
}
