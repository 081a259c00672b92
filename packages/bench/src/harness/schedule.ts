/** Injects the faults of a bench at their scheduled times. */
import { sleep } from '@hibiscusbank/core';

const MS_PER_S = 1_000;

export interface ScheduledFault {
  /** Seconds from the start of the load. */
  readonly atS: number;
  readonly name: string;
  readonly run: () => Promise<void> | void;
}

/** Runs each fault at its time. Resolves with the start of the last one, by `performance.now()`. */
export async function runSchedule(
  faults: readonly ScheduledFault[],
  print: (line: string) => void,
): Promise<number> {
  const startedAtMs = performance.now();
  let lastAtMs = startedAtMs;
  const runAtTime = async ({ atS, name, run }: ScheduledFault): Promise<void> => {
    await sleep(Math.max(0, startedAtMs + atS * MS_PER_S - performance.now()));
    lastAtMs = Math.max(lastAtMs, performance.now());
    print(`${atS.toFixed(1)} s: ${name}`);
    await run();
  };
  await Promise.all(faults.map(runAtTime));
  return lastAtMs;
}
