/** Admission control of an engine: refusals and the cold-start limit. */
import type { ColdStart } from '../cold-start.js';
import type { EngineCounters, EngineOptions, Refusal } from './types.js';

const HTTP_UNAVAILABLE = 503;

/** Creates the refusal of a call that did not run. */
export function refuseNotRun(status: Refusal['status'], reason: string): Refusal {
  return { status, reason, notRun: true };
}

export interface AdmissionOptions {
  readonly options: EngineOptions;
  readonly coldStart: ColdStart;
  readonly counters: EngineCounters;
  readonly countRunning: () => number;
}

export interface Admission {
  /** Counts the refusal and returns it. */
  refuse(refusal: Refusal): Refusal;
  /** Refuses one more call if it exceeds the cold-start limit; otherwise returns `undefined`. */
  checkCold(): Refusal | undefined;
  /**
   * Returns the factor on all durations: `coldSlowFactor` if the engine is cold and its limit was
   * exceeded within the last second, else 1.
   */
  coldSlowdown(): number;
}

/** Time for which a cold engine is slow after a call above its limit. */
const OVERLOAD_SLOWDOWN_MS = 1_000;

/** Creates the admission control of an engine. */
export function createAdmission(context: AdmissionOptions): Admission {
  const { options, coldStart, counters, countRunning } = context;
  let overloadedUntilMs = 0;
  const refuse = (refusal: Refusal): Refusal => {
    if (refusal.cold) counters.coldRefused += 1;
    else counters.refused += 1;
    return refusal;
  };
  return {
    refuse,
    checkCold: () => {
      const next = countRunning() + 1;
      if (!coldStart.isOverloaded(next)) {
        counters.peakRunning = Math.max(counters.peakRunning, next);
        return undefined;
      }
      overloadedUntilMs = performance.now() + OVERLOAD_SLOWDOWN_MS;
      return refuse({
        status: HTTP_UNAVAILABLE,
        reason: `cold start with a limit of ${options.coldLimit} requests`,
        notRun: options.coldNotRun,
        cold: true,
      });
    },
    coldSlowdown: () =>
      coldStart.isCold() && performance.now() < overloadedUntilMs ? options.coldSlowFactor : 1,
  };
}
