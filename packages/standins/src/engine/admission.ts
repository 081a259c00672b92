/** Decides whether the engine takes a call. */
import type { ColdStart } from '../cold-start.js';
import type { EngineCounters, EngineOptions, Refusal } from './types.js';

const HTTP_UNAVAILABLE = 503;

/** A refusal of a call that did not run. */
export function refuseNotRun(status: Refusal['status'], reason: string): Refusal {
  return { status, reason, notRun: true };
}

export interface AdmissionOptions {
  readonly options: EngineOptions;
  readonly cold: ColdStart;
  readonly counters: EngineCounters;
  readonly running: () => number;
}

export interface Admission {
  /** Counts the refusal and returns it. */
  refuse(refusal: Refusal): Refusal;
  /** The refusal of one more call in a cold start, or `undefined`. */
  checkCold(): Refusal | undefined;
  /** Slows everything for a while after a cold engine got too much. */
  coldSlowdown(): number;
}

/** An overloaded cold engine is slow for this time. */
const OVERLOAD_MS = 1_000;

/** Creates the checks. */
export function createAdmission(context: AdmissionOptions): Admission {
  const { options, cold, counters, running } = context;
  let overloadedUntilMs = 0;
  const refuse = (refusal: Refusal): Refusal => {
    if (refusal.cold) counters.coldRefused += 1;
    else counters.refused += 1;
    return refusal;
  };
  return {
    refuse,
    checkCold: () => {
      const next = running() + 1;
      if (!cold.isOverloaded(next)) {
        counters.peakRunning = Math.max(counters.peakRunning, next);
        return undefined;
      }
      overloadedUntilMs = performance.now() + OVERLOAD_MS;
      return refuse({
        status: HTTP_UNAVAILABLE,
        reason: `cold start with a limit of ${options.coldLimit} requests`,
        notRun: options.coldNotRun,
        cold: true,
      });
    },
    coldSlowdown: () =>
      cold.isCold() && performance.now() < overloadedUntilMs ? options.coldSlowFactor : 1,
  };
}
