/**
 * Emulates processes. Timers and responses belong to the process in whose asynchronous context they were
 * requested; they are dropped when the process is killed and deferred while it is paused.
 */
import { AsyncLocalStorage } from 'node:async_hooks';

export interface EmulatedProcess {
  isAlive(): boolean;
  isPaused(): boolean;
  /** Runs a function in the process: immediately, on resume if the process is paused, or never if it was killed. */
  run(fn: () => void): void;
  /** Calls a function immediately in the context of the process, also while it is paused or after `kill`. */
  runImmediately<T>(fn: () => T): T;
  /** Resolves as soon as the process is not paused; never resolves after `kill`. */
  whenRunning(): Promise<void>;
  pause(): void;
  resume(): void;
  kill(): void;
}

const processStorage = new AsyncLocalStorage<EmulatedProcess | undefined>();

/** Returns the process in whose asynchronous context the caller runs. */
export function currentProcess(): EmulatedProcess | undefined {
  return processStorage.getStore();
}

/** Calls a function outside of the context of any emulated process. */
export function runOutsideProcesses<T>(fn: () => T): T {
  return processStorage.run(undefined, fn);
}

export function createProcess(): EmulatedProcess {
  let alive = true;
  let paused = false;
  let deferred: (() => void)[] = [];
  const emulatedProcess: EmulatedProcess = {
    isAlive: () => alive,
    isPaused: () => paused,
    run: (fn) => {
      if (!alive) return;
      if (paused) deferred.push(fn);
      else processStorage.run(emulatedProcess, fn);
    },
    runImmediately: (fn) => processStorage.run(emulatedProcess, fn),
    whenRunning: () =>
      new Promise((resolve) => {
        emulatedProcess.run(resolve);
      }),
    pause: () => {
      paused = true;
    },
    resume: () => {
      paused = false;
      const callbacks = deferred;
      deferred = [];
      for (const fn of callbacks) emulatedProcess.run(fn);
    },
    kill: () => {
      alive = false;
      deferred = [];
    },
  };
  return emulatedProcess;
}
