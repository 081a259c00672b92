/** A load that is split into windows of one second, so that goodput can be followed over time. */
import { hash32 } from '@hibiscusbank/core';
import { runLoad } from '@hibiscusbank/standins';
import type { LoadOptions, LoadReport } from '@hibiscusbank/standins';

export const WINDOW_S = 1;
const MS_PER_S = 1_000;

export interface LoadWindow {
  /** Start of the arrivals by `performance.now()`. */
  readonly startedAtMs: number;
  readonly report: LoadReport;
}

export interface WindowedLoad {
  /** Stops the arrivals and resolves with all windows when their requests have ended. */
  end(): Promise<readonly LoadWindow[]>;
}

/** Starts the load. Each window has its own sequence of requests. */
export function startWindowedLoad(options: Omit<LoadOptions, 'seconds'>): WindowedLoad {
  const windows: Promise<LoadWindow>[] = [];
  let ended = false;
  const startWindow = (): void => {
    const startedAtMs = performance.now();
    // The seed is hashed because small adjacent seeds give correlated random numbers, which would
    // bias the rate of all windows in the same direction.
    const seed = hash32(`window/${options.seed}/${windows.length}`);
    const report = runLoad({ ...options, seconds: WINDOW_S, seed });
    windows.push(report.then((loadReport) => ({ startedAtMs, report: loadReport })));
  };
  startWindow();
  const timer = setInterval(() => {
    if (!ended) startWindow();
  }, WINDOW_S * MS_PER_S);
  return {
    end: () => {
      ended = true;
      clearInterval(timer);
      return Promise.all(windows);
    },
  };
}
